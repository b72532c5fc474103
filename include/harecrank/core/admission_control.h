// Admission control for prompts that find no free engine.
//
// When more prompts arrive than the engines can prefill, each prompt without a
// placement is either queued or rejected. Prompts that can meet their latency
// target wait in queue order. Prompts that will miss it, but will still finish
// before their caller gives up, wait for the capacity that prompts within their
// targets leave unused. All others are rejected at once. A rejection guarantees
// that the prompt has not run. It states when capacity is forecast to be free,
// and this capacity is reserved for the caller's retry.

#ifndef HARECRANK_CORE_ADMISSION_CONTROL_H_
#define HARECRANK_CORE_ADMISSION_CONTROL_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "harecrank/core/capacity_forecast.h"
#include "harecrank/core/clock.h"
#include "harecrank/core/fleet_messages.h"
#include "harecrank/core/placement.h"
#include "harecrank/core/placement_policy.h"
#include "harecrank/core/return_promises.h"
#include "harecrank/core/wait_queue.h"

namespace harecrank {

// Short and long prompts have separate queues and forecasts: a prompt competes
// for capacity only with prompts of its own kind.
enum class PromptKind { kShort, kLong };

// A prompt that has no placement.
struct AdmissionCandidate {
  const PlacementRequest* request = nullptr;
  // Prefill time of the prompt on a single engine.
  FractionalMillis work{0};
  PromptKind kind = PromptKind::kLong;
  // Time since the request arrived. A retry after a rejection starts at zero.
  FractionalMillis age{0};
  // The request is in the wait queue. A waiting request is rejected only if the
  // forecast leaves no doubt.
  bool waits = false;
  // The request is the retry of a rejected one, sent at the time that the
  // rejection stated, and has redeemed the capacity reserved for it.
  bool has_reservation = false;
  // Number of usable engines of the service.
  std::size_t engines = 0;
};

// The work of the requests that are ahead in the queue.
struct WorkAhead {
  // Work of the requests that can still meet their latency target (`in_time`),
  // and of those that cannot (`late`).
  FractionalMillis in_time{0};
  FractionalMillis late{0};
  // Least work among waiting requests that can no longer meet their target. A
  // new prompt with at least that much work will miss its target too, whatever
  // the forecast says.
  std::optional<FractionalMillis> least_late;
};

// Returns how long the caller of `request` waits for a first event before it
// gives up.
FractionalMillis FirstEventTimeout(const PlacementRequest& request,
                                   const PlacementPolicy& policy);

// Decides which prompts wait, which are rejected, and when the callers of
// rejected prompts should retry. Not thread-safe.
class AdmissionControl {
 public:
  // `promises` must outlive this.
  AdmissionControl(const PlacementPolicy& policy, const MonotonicClock& clock,
                   ReturnPromises* promises);

  // Returns whether admission control is enabled and the candidate carries a
  // deadline and a request fingerprint.
  bool CanDecide(const AdmissionCandidate& candidate) const;

  // Records an arriving prompt. If it redeems a reservation, returns the time
  // at which its first event is due; the latency target is counted from the
  // first arrival of the request.
  std::optional<TimePoint> OnArrival(const AdmissionCandidate& candidate);
  // Records that the prompt got a placement.
  void OnStarted(const AdmissionCandidate& candidate);
  // Records whether any prompt of `kind` waits.
  void OnWaiting(PromptKind kind, bool any) { ForecastOf(kind).OnWaiting(any); }

  // Returns whether `request`, which waits behind the work `ahead`, may start
  // at `now`. A long prompt that can no longer meet its latency target and has
  // no reservation leaves capacity to prompts that can meet theirs, both those
  // in the queue and those that are expected to arrive. For short prompts the
  // placement policy reserves that capacity on each engine instead.
  bool MayStart(const WaitingRequest& request, PromptKind kind, TimePoint now,
                const WorkAhead& ahead) const;

  // Returns the time from which a candidate with a reservation goes before all
  // others: one latency target before the last moment at which it can start and
  // still finish before its caller gives up.
  TimePoint UrgentFrom(const AdmissionCandidate& candidate) const;

  // Decides whether `candidate` waits or is rejected. Returns nothing if it
  // waits. Otherwise makes a reservation for its retry and returns the
  // rejection. CanDecide(candidate) must be true.
  std::optional<QueryRejected> RejectionOf(const AdmissionCandidate& candidate,
                                           const WorkAhead& ahead);

  // Shortest retry delay that a rejection states.
  static constexpr Millis kMinRetryAfter{100};

 private:
  CapacityForecast& ForecastOf(PromptKind kind) {
    return kind == PromptKind::kShort ? short_forecast_ : long_forecast_;
  }
  PromptTiming TimingOf(const AdmissionCandidate& candidate) const;
  QueryRejected Reject(const AdmissionCandidate& candidate,
                       const WorkAhead& ahead);

  PlacementPolicy policy_;
  MonotonicClock clock_;
  CapacityForecast short_forecast_;
  CapacityForecast long_forecast_;
  ReturnPromises* promises_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_ADMISSION_CONTROL_H_
