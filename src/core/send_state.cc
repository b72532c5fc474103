#include "harecrank/core/send_state.h"

namespace harecrank {
namespace {

// A single probe, or its acknowledgement, may be lost.
constexpr std::uint32_t kMaxUnansweredProbes = 2;

}  // namespace

SendVerdict JudgeSend(const SendState& state, Millis limit) {
  if (state.in_flight > 0) {
    return SendVerdict::kSending;
  }
  if (state.unsent_bytes == 0) {
    return SendVerdict::kDone;
  }
  const bool is_lost = state.unanswered_probes >= kMaxUnansweredProbes &&
                       state.since_acknowledged >= limit;
  return is_lost ? SendVerdict::kPeerLost : SendVerdict::kPeerNotReading;
}

}  // namespace harecrank
