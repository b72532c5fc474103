#include "harecrank/core/oversize_wait.h"

#include <algorithm>

namespace harecrank {

TimePoint OversizeWaitEnd(const PlacementRequest& request,
                          const PlacementPolicy& policy, TimePoint late_at,
                          TimePoint deadline) {
  const FractionalMillis target(request.target_latency);
  const FractionalMillis beyond = (policy.oversize_wait_share - 1) * target;
  const FractionalMillis reading =
      PrefillTime(*request.service->engine, request.prompt) /
      static_cast<double>(kMaxHelpers + 1);
  return std::min(late_at + std::chrono::duration_cast<Millis>(beyond),
                  deadline - std::chrono::duration_cast<Millis>(reading));
}

}  // namespace harecrank
