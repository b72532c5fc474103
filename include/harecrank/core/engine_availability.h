// Derives from an engine's load when, and for how large a part of a long
// prompt, the engine is available.

#ifndef HARECRANK_CORE_ENGINE_AVAILABILITY_H_
#define HARECRANK_CORE_ENGINE_AVAILABILITY_H_

#include <vector>

#include "harecrank/core/endpoint_loads.h"
#include "harecrank/core/engine_timetable.h"
#include "harecrank/core/placement_policy.h"
#include "harecrank/core/prefill_group.h"

namespace harecrank {

// Returns the availability of the engine of `candidate`, which decodes
// `streams`. An engine that is not open at `now` (IsOpen) is free at the
// predicted end of its prefill, at its observed pace. A prefill that has
// overrun its prediction is expected to last as long again as it has overrun,
// and at least for EndpointLoads::kMinOverrun.
EngineAvailability AvailabilityOf(const EngineProfile& engine,
                                  const PlacementPolicy& policy,
                                  const EngineCandidate& candidate,
                                  const std::vector<ActiveStream>& streams,
                                  FractionalMillis tightest_gap, TimePoint now);

}  // namespace harecrank

#endif  // HARECRANK_CORE_ENGINE_AVAILABILITY_H_
