#include "harecrank/core/attempt_timeout.h"

#include <algorithm>

namespace harecrank {
namespace {

// Before its first event, a stream is overdue after a silence of
// kFirstEventFactor times the predicted time to the first event, plus this
// margin.
constexpr Millis kFirstEventMargin{500};
constexpr double kFirstEventFactor = 3;
// Margin instead of kFirstEventMargin for an endpoint with helpers, which
// prefill parts of the prompt. An engine whose helper has died stalls for 1.5 s
// before it reports the helper; a shorter time-out would discard that report.
constexpr Millis kHelperStallMargin{1700};
// A group is in trouble when its first event has not come after
// kGroupTroubleFactor times the predicted time and kGroupTroubleMargin.
constexpr double kGroupTroubleFactor = 2.5;
constexpr Millis kGroupTroubleMargin{500};
// If engines have a standing, a group is overdue after this multiple of the
// predicted time even if its endpoint is alive: one of its other engines may
// never finish. Up to then the slowest engine probably finishes sooner than
// another group would.
constexpr double kAliveGroupFactor = 6;
// A non-streaming response is overdue after this multiple of its target
// latency.
constexpr int kPlainTimeoutFactor = 2;
// After its first event, a stream is overdue after a silence of this multiple
// of its target inter-token gap, but not before kMinStall. Callers give up
// after eight target gaps and at least two seconds; the difference leaves time
// for another endpoint to resume the stream.
constexpr int kStallFactor = 3;
constexpr Millis kMinStall{1300};
// Callers give up on a stream that has been silent for the longest of a fixed
// time, a multiple of the target latency and a multiple of the target
// inter-token gap. A slow but live endpoint may use kUsablePercent of that
// time.
constexpr Millis kCallerMinTimeout{2000};
constexpr int kCallerTimeoutTargets = 4;
constexpr int kCallerTimeoutGaps = 8;
constexpr int kUsablePercent = 75;
constexpr int kPercent = 100;

}  // namespace

Millis UsableCallerTimeout(const RouteRule& route) {
  const Millis caller_timeout =
      std::max({kCallerMinTimeout, kCallerTimeoutTargets * route.target_latency,
                kCallerTimeoutGaps * route.target_gap});
  return caller_timeout * kUsablePercent / kPercent;
}

TimePoint GroupTroubleAt(const AttemptProgress& progress) {
  return progress.sent_at + kGroupTroubleMargin +
         std::chrono::duration_cast<Millis>(kGroupTroubleFactor *
                                            progress.predicted);
}

TimePoint OverdueAt(const RouteRule& route, const AttemptProgress& progress) {
  if (route.kind != RequestKind::kStreaming) {
    return progress.sent_at + kPlainTimeoutFactor * route.target_latency;
  }
  Millis limit = std::max(kMinStall, kStallFactor * route.target_gap);
  if (!progress.first_event_seen) {
    const auto expected = std::chrono::duration_cast<Millis>(
        kFirstEventFactor * progress.predicted);
    limit = expected +
            (progress.has_helpers ? kHelperStallMargin : kFirstEventMargin);
  }
  if (progress.endpoint_is_alive) {
    // The endpoint is alive but slow. Restarting elsewhere costs more than
    // waiting until shortly before the caller gives up.
    const bool watches_group = progress.judges_groups && progress.has_helpers &&
                               !progress.first_event_seen;
    const Millis alive_limit =
        watches_group ? std::min(UsableCallerTimeout(route),
                                 std::chrono::duration_cast<Millis>(
                                     kAliveGroupFactor * progress.predicted))
                      : UsableCallerTimeout(route);
    limit = std::max(limit, alive_limit);
  }
  return progress.last_bytes_at + limit;
}

}  // namespace harecrank
