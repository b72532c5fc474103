// Decides whether a piece of an answer is the next one of its run.
//
// Pieces have positions: the numbers in the ids of an event stream, or those
// that an engine gives its tokens. A piece that does not continue what the
// caller has must not reach it: the run is broken, or it is another one.

#ifndef HARECRANK_CORE_PIECE_SEQUENCE_H_
#define HARECRANK_CORE_PIECE_SEQUENCE_H_

#include <cstdint>
#include <optional>

namespace harecrank {

// Why bytes of an endpoint are not the next piece of an answer.
enum class PieceFault {
  // Not UTF-8.
  kNotText,
  // Not in the form that pieces have.
  kMalformed,
  kNoId,
  kSeveralIds,
  // The id has no number at its end, or contains what an id must not contain.
  kMalformedId,
  // The id differs from the earlier ones of the answer in more than its number.
  kForeignId,
  kNoData,
  // The position of the piece before.
  kRepeated,
  // A position before that of the piece before.
  kBackwards,
  // Positions are left out.
  kGap,
  // The first piece does not come after those that the caller says it has from
  // an earlier answer. The caller may be at fault.
  kNotResumed,
  // No end within the size limit of one piece.
  kTooLarge
};

// Returns the name for logs and metrics, such as "no_id".
const char* NameOf(PieceFault fault);

// How the positions of an answer follow each other.
enum class PieceStep {
  // A piece may stand for several positions and has that of the last.
  kAscending,
  kConsecutive
};

// The positions of one answer, across all runs that produce it. Not
// thread-safe.
class PieceSequence {
 public:
  // `next` is the first position that the caller does not have.
  explicit PieceSequence(PieceStep step, std::uint64_t next = 0)
      : step_(step), next_(next) {}

  // Accepts the piece at `position`, which must be less than 2^64 - 1. Returns
  // the fault if it is not the next one; then nothing changes.
  std::optional<PieceFault> Accept(std::uint64_t position);

  // Returns the first position that has not been accepted.
  std::uint64_t Next() const { return next_; }

 private:
  PieceStep step_;
  std::uint64_t next_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_PIECE_SEQUENCE_H_
