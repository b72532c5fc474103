// Reports regions that the configuration names and the settings do not.

#ifndef HARECRANK_SRC_GATEWAY_REGION_REPORTER_H_
#define HARECRANK_SRC_GATEWAY_REGION_REPORTER_H_

#include <set>

#include "harecrank/core/region_rule.h"
#include "src/adapters/event_log.h"
#include "src/gateway/gateway_services.h"

namespace harecrank {

// Writes a log line for each permitted region that has no data centre, since
// requests that depend on it are rejected. Not thread-safe.
class RegionReporter {
 public:
  // All pointers must outlive this.
  RegionReporter(const RoutingState* routing, const DataCentreRegions* regions,
                 EventLog* log);

  // Compares the configuration in force with the settings. To be called after
  // either has changed.
  void ReportUnknown();

  // Returns the regions that the last call of ReportUnknown has found.
  const std::set<RegionId>& Unknown() const { return unknown_; }

 private:
  const RoutingState* routing_;
  const DataCentreRegions* regions_;
  EventLog* log_;
  std::set<RegionId> unknown_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_REGION_REPORTER_H_
