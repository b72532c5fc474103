// How long a prompt that no engine holds waits for several to be idle.
//
// The load that it answers: the largest prompts among many long ones. Sent away
// after a part of their target they come again to the same engines, and are
// lost the second time; held to the end they leave their callers no time.

#ifndef HARECRANK_CORE_OVERSIZE_WAIT_H_
#define HARECRANK_CORE_OVERSIZE_WAIT_H_

#include "harecrank/core/placement.h"

namespace harecrank {

// Returns when waiting ends for `request`, which an engine's memory cannot
// hold: after the policy's share of its target, and no later than its prompt
// can still be read before `deadline`. It is in time until `late_at`.
TimePoint OversizeWaitEnd(const PlacementRequest& request,
                          const PlacementPolicy& policy,
                          TimePoint first_event_due, TimePoint deadline);

}  // namespace harecrank

#endif  // HARECRANK_CORE_OVERSIZE_WAIT_H_
