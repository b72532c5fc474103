#include "harecrank/core/piece_sequence.h"

namespace harecrank {

const char* NameOf(PieceFault fault) {
  switch (fault) {
    case PieceFault::kNotText:
      return "not_text";
    case PieceFault::kMalformed:
      return "malformed";
    case PieceFault::kNoId:
      return "no_id";
    case PieceFault::kSeveralIds:
      return "several_ids";
    case PieceFault::kMalformedId:
      return "malformed_id";
    case PieceFault::kForeignId:
      return "foreign_id";
    case PieceFault::kNoData:
      return "no_data";
    case PieceFault::kRepeated:
      return "repeated";
    case PieceFault::kBackwards:
      return "backwards";
    case PieceFault::kGap:
      return "gap";
    case PieceFault::kNotResumed:
      return "not_resumed";
    case PieceFault::kTooLarge:
      return "too_large";
  }
  return "unknown";
}

std::optional<PieceFault> PieceSequence::Accept(std::uint64_t position) {
  if (position + 1 == next_) {
    return PieceFault::kRepeated;
  }
  if (position < next_) {
    return PieceFault::kBackwards;
  }
  if (step_ == PieceStep::kConsecutive && position > next_) {
    return PieceFault::kGap;
  }
  next_ = position + 1;
  return std::nullopt;
}

}  // namespace harecrank
