// The regions in which a request may run.
//
// A route and a client account may each list the regions that they permit. If
// both do, both lists bind. The settings of a host state the region of each
// data centre. A data centre without a region is in none, and a listed region
// that the settings do not name has no data centres. A request is therefore
// rather refused than run in the wrong region.

#ifndef HARECRANK_CORE_REGION_RULE_H_
#define HARECRANK_CORE_REGION_RULE_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "harecrank/core/routing_table.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// The data centres in which a request may run. Unset: all, also those that are
// not known yet. Empty: none.
using PermittedDataCentres = std::optional<std::set<DataCentreId>>;

// Returns whether a request may run in `data_centre`.
bool IsPermitted(const PermittedDataCentres& permitted,
                 const DataCentreId& data_centre);

// The region of each data centre.
class DataCentreRegions {
 public:
  DataCentreRegions() = default;
  explicit DataCentreRegions(std::map<DataCentreId, RegionId> regions);

  const std::map<DataCentreId, RegionId>& All() const { return regions_; }

  // Returns whether any data centre is in `region`.
  bool Has(const RegionId& region) const;

  // Returns the data centres that both lists permit. An empty list permits all.
  PermittedDataCentres PermittedBy(
      const std::vector<RegionId>& route_regions,
      const std::vector<RegionId>& account_regions) const;

 private:
  std::map<DataCentreId, RegionId> regions_;
};

// Returns the regions that routes or accounts of `document` permit but in which
// no data centre of `regions` is, in ascending order.
std::set<RegionId> FindUnknownRegions(const RoutingDocument& document,
                                      const DataCentreRegions& regions);

}  // namespace harecrank

#endif  // HARECRANK_CORE_REGION_RULE_H_
