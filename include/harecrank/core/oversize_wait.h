// Computes how long a prompt that is larger than the memory of any engine waits
// until several engines are idle.
//
// If such a prompt were rejected after a fraction of its latency target, its
// retry would meet the same busy engines and would be lost. If it waited until
// its deadline, its caller would have no time left for a retry.

#ifndef HARECRANK_CORE_OVERSIZE_WAIT_H_
#define HARECRANK_CORE_OVERSIZE_WAIT_H_

#include "harecrank/core/placement.h"

namespace harecrank {

// Returns the time until which `request` may wait; the request must be too
// large for the memory of a single engine. The wait ends when the request has
// waited for `PlacementPolicy::oversize_wait_share` times its latency target,
// or earlier if its prompt could otherwise not be prefilled before `deadline`.
// `first_event_due` is the time after which its first event is late.
TimePoint OversizeWaitEnd(const PlacementRequest& request,
                          const PlacementPolicy& policy,
                          TimePoint first_event_due, TimePoint deadline);

}  // namespace harecrank

#endif  // HARECRANK_CORE_OVERSIZE_WAIT_H_
