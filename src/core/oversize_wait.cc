#include "harecrank/core/oversize_wait.h"

#include <algorithm>

namespace harecrank {

TimePoint OversizeWaitEnd(const PlacementRequest& request,
                          const PlacementPolicy& policy,
                          TimePoint first_event_due, TimePoint deadline) {
  const FractionalMillis target(request.target_latency);
  const FractionalMillis extra_wait = (policy.oversize_wait_share - 1) * target;
  // Prefill time of each part if the prompt is split among the maximum number
  // of helpers.
  const FractionalMillis min_prefill_time =
      PrefillTime(*request.service->engine, request.prompt) /
      static_cast<double>(kMaxHelpers + 1);
  return std::min(
      first_event_due + std::chrono::duration_cast<Millis>(extra_wait),
      deadline - std::chrono::duration_cast<Millis>(min_prefill_time));
}

}  // namespace harecrank
