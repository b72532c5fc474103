#include "harecrank/core/endpoint_eligibility.h"

#include <algorithm>

namespace harecrank {
namespace {

// Returns whether `directory` knows an endpoint of `service` in `data_centre`,
// whether usable or not.
bool HasEndpointIn(const EndpointDirectory& directory,
                   const DataCentreId& data_centre,
                   const ServiceName& service) {
  const std::vector<EndpointId> endpoints = directory.In(data_centre);
  return std::any_of(endpoints.begin(), endpoints.end(),
                     [&](const EndpointId& id) {
                       const EndpointRecord* record = directory.Find(id);
                       return record != nullptr && record->service == service;
                     });
}

}  // namespace

bool IsEligible(const PlacementRequest& request,
                const EndpointRecord& endpoint) {
  return request.tried.count(endpoint.id) == 0 &&
         IsPermitted(request.permitted, endpoint.data_centre);
}

bool MayUse(const PlacementRequest& request, const EndpointRecord& endpoint) {
  return IsEligible(request, endpoint) &&
         request.withheld.count(endpoint.id) == 0;
}

bool AreAllForbidden(const EndpointDirectory& directory,
                     const ServiceName& service,
                     const PermittedDataCentres& permitted) {
  if (!permitted.has_value()) {
    return false;
  }
  if (permitted->empty()) {
    return true;
  }
  const auto& usable = directory.UsableOf(service);
  const bool some_permitted = std::any_of(
      usable.begin(), usable.end(), [&permitted](const EndpointRecord* record) {
        return IsPermitted(permitted, record->data_centre);
      });
  if (some_permitted || usable.empty()) {
    return false;
  }
  return std::none_of(permitted->begin(), permitted->end(),
                      [&](const DataCentreId& data_centre) {
                        return HasEndpointIn(directory, data_centre, service);
                      });
}

}  // namespace harecrank
