#include "harecrank/core/region_rule.h"

#include <algorithm>
#include <utility>

namespace harecrank {
namespace {

// Returns whether a list of permitted regions permits `region`.
bool Permits(const std::vector<RegionId>& list, const RegionId& region) {
  return list.empty() ||
         std::find(list.begin(), list.end(), region) != list.end();
}

void AddUnknown(const std::vector<RegionId>& list,
                const DataCentreRegions& regions, std::set<RegionId>* unknown) {
  for (const RegionId& region : list) {
    if (!regions.Has(region)) {
      unknown->insert(region);
    }
  }
}

}  // namespace

bool IsPermitted(const PermittedDataCentres& permitted,
                 const DataCentreId& data_centre) {
  return !permitted.has_value() || permitted->count(data_centre) != 0;
}

DataCentreRegions::DataCentreRegions(std::map<DataCentreId, RegionId> regions)
    : regions_(std::move(regions)) {}

bool DataCentreRegions::Has(const RegionId& region) const {
  return std::any_of(
      regions_.begin(), regions_.end(),
      [&region](const auto& entry) { return entry.second == region; });
}

PermittedDataCentres DataCentreRegions::PermittedBy(
    const std::vector<RegionId>& route_regions,
    const std::vector<RegionId>& account_regions) const {
  if (route_regions.empty() && account_regions.empty()) {
    return std::nullopt;
  }
  std::set<DataCentreId> permitted;
  for (const auto& [data_centre, region] : regions_) {
    if (Permits(route_regions, region) && Permits(account_regions, region)) {
      permitted.insert(data_centre);
    }
  }
  return permitted;
}

std::set<RegionId> FindUnknownRegions(const RoutingDocument& document,
                                      const DataCentreRegions& regions) {
  std::set<RegionId> unknown;
  for (const auto& route : document.routes) {
    AddUnknown(route->permitted_regions, regions, &unknown);
  }
  if (document.accounts.has_value()) {
    for (const AccountEntry& account : *document.accounts) {
      AddUnknown(account.permitted_regions, regions, &unknown);
    }
  }
  return unknown;
}

}  // namespace harecrank
