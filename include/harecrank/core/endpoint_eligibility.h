// Decides which endpoints of its service a request may be sent to.

#ifndef HARECRANK_CORE_ENDPOINT_ELIGIBILITY_H_
#define HARECRANK_CORE_ENDPOINT_ELIGIBILITY_H_

#include "harecrank/core/endpoint_directory.h"
#include "harecrank/core/placement.h"
#include "harecrank/core/region_rule.h"

namespace harecrank {

// Returns whether the request may run at `endpoint`, now or later: it was not
// sent there before, and the endpoint's data centre is permitted. The endpoint
// may be unusable or of another service.
bool IsEligible(const PlacementRequest& request,
                const EndpointRecord& endpoint);

// Returns whether the requesting host may start the request at `endpoint` now:
// it is eligible, and no start limit withholds it.
bool MayUse(const PlacementRequest& request, const EndpointRecord& endpoint);

// Returns whether no endpoint of `service` that `directory` knows is in a
// permitted data centre, although others could be used. False without a bound.
// True for a bound that permits no data centre at all.
bool AreAllForbidden(const EndpointDirectory& directory,
                     const ServiceName& service,
                     const PermittedDataCentres& permitted);

}  // namespace harecrank

#endif  // HARECRANK_CORE_ENDPOINT_ELIGIBILITY_H_
