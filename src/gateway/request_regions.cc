#include "src/gateway/request_regions.h"

#include <utility>

namespace harecrank {

RequestRegions::RequestRegions(const GatewayServices* services,
                               std::shared_ptr<const RoutingTable> table,
                               const RouteRule* route,
                               const AccountEntry* account)
    : services_(services),
      table_(std::move(table)),
      route_(route),
      account_(account) {}

PermittedDataCentres RequestRegions::Permitted() const {
  const RouteRule* route = route_;
  const AccountEntry* account = account_;
  const auto in_force = services_->routing->InForce();
  if (in_force != nullptr && in_force != table_) {
    const RouteRule* new_route =
        in_force->FindRoute(route_->host, route_->path_prefix);
    route = new_route == nullptr ? route_ : new_route;
    const AccountEntry* new_account =
        account_ == nullptr ? nullptr : in_force->FindAccount(account_->id);
    account = new_account == nullptr ? account_ : new_account;
  }
  const std::vector<RegionId> all;
  return services_->regions->PermittedBy(
      route->permitted_regions,
      account == nullptr ? all : account->permitted_regions);
}

}  // namespace harecrank
