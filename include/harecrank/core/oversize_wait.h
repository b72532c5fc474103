// Computes how long a prompt that is larger than any engine's memory waits for
// several idle engines.
//
// If such a prompt were rejected after a fraction of its latency target, its
// retry would meet the same busy engines and would be lost. If it waited until
// its deadline, its caller would have no time left for a retry.

#ifndef HARECRANK_CORE_OVERSIZE_WAIT_H_
#define HARECRANK_CORE_OVERSIZE_WAIT_H_

#include "harecrank/core/placement.h"

namespace harecrank {

// Returns the end of the wait of `request`, which must not fit into one
// engine's memory. This is `PlacementPolicy::oversize_wait_share` latency
// targets after the request's arrival, but early enough that its prompt can
// still be prefilled before `deadline`. `first_event_due` is the time from
// which its first event is late.
TimePoint OversizeWaitEnd(const PlacementRequest& request,
                          const PlacementPolicy& policy,
                          TimePoint first_event_due, TimePoint deadline);

}  // namespace harecrank

#endif  // HARECRANK_CORE_OVERSIZE_WAIT_H_
