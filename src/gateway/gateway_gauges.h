// Reports the gateway's state to operators, as gauges and as a JSON dump.

#ifndef HARECRANK_SRC_GATEWAY_GATEWAY_GAUGES_H_
#define HARECRANK_SRC_GATEWAY_GATEWAY_GAUGES_H_

#include <nlohmann/json.hpp>

#include "harecrank/core/membership.h"
#include "harecrank/core/part_quarantine.h"
#include "harecrank/core/planner.h"
#include "harecrank/core/request_quarantine.h"
#include "src/gateway/caller_listener.h"
#include "src/gateway/dispatch_queue.h"
#include "src/gateway/endpoint_connection_pool.h"
#include "src/gateway/endpoint_updater.h"
#include "src/gateway/fleet_member.h"
#include "src/gateway/gateway_services.h"
#include "src/gateway/region_reporter.h"
#include "src/gateway/snapshot_server.h"
#include "src/gateway/start_limiter.h"
#include "src/gateway/store_sync_state.h"

namespace harecrank {

// The components whose state is reported. All must outlive the Metrics object,
// whose gauges read them.
struct GatewayParts {
  RoutingState* routing;
  const DataCentreRegions* regions;
  const RegionReporter* region_reporter;
  EndpointDirectory* directory;
  EndpointLoads* loads;
  EndpointHealth* health;
  EndpointConnectionPool* connections;
  EndpointUpdater* updater;
  RequestQuarantine* quarantine;
  PartQuarantine* prompt_parts;
  DispatchQueue* queue;
  Membership* membership;
  StartLimiter* start_limiter;
  RepeatBudgets* budgets;
  Planner* planner;
  FleetMember* fleet;
  StoreSyncState* store_sync;
  SnapshotServer* snapshots;
  CallerListener* callers;
  EventLog* log;
};

// Adds the gauges of `parts` to `metrics`.
void RegisterGauges(const GatewayParts& parts, Metrics* metrics);

// Returns the state of `parts` as JSON, for operators.
nlohmann::json DumpOf(const GatewayParts& parts);

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_GATEWAY_GAUGES_H_
