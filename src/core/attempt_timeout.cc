#include "harecrank/core/attempt_timeout.h"

#include <algorithm>

namespace harecrank {
namespace {

// How long a first event may take beyond several times its prediction before
// the request goes elsewhere.
constexpr Millis kPatienceBase{500};
constexpr double kPatienceFactor = 3;
// An engine whose helper has died stands still for a second and a half before
// it says so; to give it up earlier would leave that unsaid.
constexpr Millis kHelperStall{1700};
// A plain answer is overdue at this multiple of its target.
constexpr int kPlainPatienceFactor = 2;
// A stream has stalled after this multiple of its target gap, and not before
// kLeastStall. Callers give a stream up after eight of its gaps, and after two
// seconds at the least; what is left of that must do for the resumption.
constexpr int kStallFactor = 3;
constexpr Millis kLeastStall{1300};
// Callers give a stream up when nothing came for the longest of these: a fixed
// time, so many targets, so many gaps. A slow endpoint gets this much of it.
constexpr Millis kCallerLeastPatience{2000};
constexpr int kCallerPatienceTargets = 4;
constexpr int kCallerPatienceGaps = 8;
constexpr int kPatienceUsed = 75;
constexpr int kPercent = 100;

}  // namespace

Millis UsableCallerTimeout(const RouteRule& route) {
  const Millis given_up = std::max(
      {kCallerLeastPatience, kCallerPatienceTargets * route.target_latency,
       kCallerPatienceGaps * route.target_gap});
  return given_up * kPatienceUsed / kPercent;
}

TimePoint OverdueAt(const RouteRule& route, const AttemptProgress& progress) {
  if (route.kind != RequestKind::kStreaming) {
    return progress.sent_at + kPlainPatienceFactor * route.target_latency;
  }
  Millis limit = std::max(kLeastStall, kStallFactor * route.target_gap);
  if (!progress.first_event_seen) {
    const auto expected = std::chrono::duration_cast<Millis>(
        kPatienceFactor * progress.predicted);
    limit = expected + (progress.has_helpers ? kHelperStall : kPatienceBase);
  }
  if (progress.endpoint_is_alive) {
    // The endpoint is alive and slow. To begin anew elsewhere costs more than
    // to wait, until the caller is about to give the stream up.
    limit = std::max(limit, UsableCallerTimeout(route));
  }
  return progress.last_bytes_at + limit;
}

}  // namespace harecrank
