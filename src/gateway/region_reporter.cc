#include "src/gateway/region_reporter.h"

namespace harecrank {

RegionReporter::RegionReporter(const RoutingState* routing,
                               const DataCentreRegions* regions, EventLog* log)
    : routing_(routing), regions_(regions), log_(log) {}

void RegionReporter::ReportUnknown() {
  const auto table = routing_->InForce();
  if (table == nullptr) {
    return;
  }
  unknown_ = FindUnknownRegions(table->Document(), *regions_);
  for (const RegionId& region : unknown_) {
    log_->Write("unknown_region",
                {{"region", region.value},
                 {"configuration", table->Version().value},
                 {"remedy",
                  "name the region in the setting regions, or correct the "
                  "permitted regions of the routes and accounts"}},
                LogRateLimit::kExempt);
  }
}

}  // namespace harecrank
