// Components of a gateway that all its requests share.

#ifndef HARECRANK_SRC_GATEWAY_GATEWAY_SERVICES_H_
#define HARECRANK_SRC_GATEWAY_GATEWAY_SERVICES_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "harecrank/core/endpoint_directory.h"
#include "harecrank/core/endpoint_health.h"
#include "harecrank/core/endpoint_loads.h"
#include "harecrank/core/placement.h"
#include "harecrank/core/region_rule.h"
#include "harecrank/core/repeat_budgets.h"
#include "harecrank/core/routing_table.h"
#include "src/adapters/event_log.h"
#include "src/adapters/metrics.h"
#include "src/gateway/backoff_notifier.h"
#include "src/gateway/crash_guard.h"
#include "src/gateway/dispatch_queue.h"
#include "src/gateway/endpoint_connection_pool.h"
#include "src/gateway/endpoint_response_handler.h"
#include "src/gateway/memory_orders.h"
#include "src/gateway/placement_client.h"
#include "src/gateway/protocol_names.h"
#include "src/gateway/start_limiter.h"

namespace harecrank {

// Holds the active routing table, whose version only increases during the
// lifetime of the process.
class RoutingState {
 public:
  // Activates `table` if its version is higher than that of the active table.
  // Returns whether it was activated.
  bool Offer(std::shared_ptr<const RoutingTable> table);

  // Returns the active table, or null if there has been none yet.
  std::shared_ptr<const RoutingTable> InForce() const { return table_; }

 private:
  std::shared_ptr<const RoutingTable> table_;
};

// References to the components of the process that requests use; there is one
// of each. All must outlive every request.
struct GatewayServices {
  boost::asio::io_context* io = nullptr;
  const ProtocolNames* names = nullptr;
  const RoutingState* routing = nullptr;
  // The settings' regions; they may change while a request runs.
  const DataCentreRegions* regions = nullptr;
  EndpointDirectory* directory = nullptr;
  EndpointLoads* loads = nullptr;
  EndpointHealth* health = nullptr;
  EndpointConnectionPool* connections = nullptr;
  CrashGuard* crashes = nullptr;
  const Placer* placer = nullptr;
  const PlacementPolicy* policy = nullptr;
  RepeatBudgets* budgets = nullptr;
  StartLimiter* start_limiter = nullptr;
  EndpointResponseHandler* response_handler = nullptr;
  BackoffNotifier* backoff_notifier = nullptr;
  DispatchQueue* queue = nullptr;
  MemoryOrders* orders = nullptr;
  EventLog* log = nullptr;
  Metrics* metrics = nullptr;
  // Returns the time by which requests that start now must end because this
  // host is about to stop; nothing if this host is not about to stop.
  std::function<std::optional<TimePoint>()> stops_at;
  // The client that queries the planner for placements.
  PlacementClient* places = nullptr;
  // Called when an endpoint was found to be at fault, to inform the planner
  // soon.
  std::function<void()> on_endpoint_fault;
  // To be called when a request waits or is rejected because this host has used
  // up its part of the limits of all endpoints.
  std::function<void()> on_start_quota_exhausted;
  MonotonicClock clock;
  RandomSource random;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_GATEWAY_SERVICES_H_
