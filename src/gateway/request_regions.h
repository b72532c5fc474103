// Determines where one request may run, by the configuration in force.

#ifndef HARECRANK_SRC_GATEWAY_REQUEST_REGIONS_H_
#define HARECRANK_SRC_GATEWAY_REQUEST_REGIONS_H_

#include <memory>

#include "harecrank/core/region_rule.h"
#include "src/gateway/gateway_services.h"

namespace harecrank {

// The region bound of one request. The request keeps the route and the account
// with which it was admitted, but a later configuration may change the regions
// that they permit.
class RequestRegions {
 public:
  // `services` must outlive this. `table` is the routing table that owns
  // `route` and `account`; `account` may be null.
  RequestRegions(const GatewayServices* services,
                 std::shared_ptr<const RoutingTable> table,
                 const RouteRule* route, const AccountEntry* account);

  // Returns the data centres in which the request may run now. A route or an
  // account that the configuration in force does not have keeps the regions
  // with which the request was admitted.
  PermittedDataCentres Permitted() const;

 private:
  const GatewayServices* services_;
  std::shared_ptr<const RoutingTable> table_;
  const RouteRule* route_;
  const AccountEntry* account_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_REQUEST_REGIONS_H_
