// Keeps this host to its part of what cold endpoints take.

#ifndef HARECRANK_SRC_GATEWAY_COLD_GATE_H_
#define HARECRANK_SRC_GATEWAY_COLD_GATE_H_

#include <functional>
#include <optional>
#include <set>
#include <vector>

#include "harecrank/core/cold_starts.h"
#include "harecrank/core/planner.h"
#include "src/adapters/event_log.h"
#include "src/adapters/metrics.h"

namespace harecrank {

// Follows what the platform tells of cold endpoints and counts what this host
// begins at them. Each change of an endpoint's state leaves a line in the log.
// Not thread-safe.
class ColdGate {
 public:
  // All pointers must outlive this. `hosts` returns how many hosts the fleet
  // may have, or nothing while that is not known.
  ColdGate(HostAddress self, ColdBound bound,
           std::function<std::optional<int>()> hosts, RoutingSource routing,
           EventLog* log, Metrics* metrics, MonotonicClock clock);

  // Takes what was published.
  void OnListing(const std::vector<EndpointRecord>& records);
  void OnEndpoint(const EndpointRecord& record);
  void OnGone(const EndpointId& id) { endpoints_.OnGone(id); }

  // Looks which endpoints are warm again. To be called several times a second.
  void Tick();

  // Returns where this host may begin nothing now, and counts that a choice is
  // made without those.
  std::set<EndpointId> Withheld(const ServiceProfile& service);

  // Returns whether this host may begin a request at `endpoint` now, and counts
  // it if not.
  bool MayStart(const EndpointId& endpoint, const ServiceProfile& service);

  // Notes that it begins one.
  void OnStart(const EndpointId& endpoint, const ServiceProfile& service);

  // The parts of all hosts, for the planner.
  const ColdShares* Shares() const { return &shares_; }

  std::size_t ColdCount() const { return endpoints_.Count(); }

 private:
  void CountWithheld();
  void Take(const EndpointRecord& record, Millis after_start);

  HostAddress self_;
  RoutingSource routing_;
  EventLog* log_;
  Metrics* metrics_;
  ColdEndpoints endpoints_;
  ColdShares shares_;
  StartCounts starts_;
  // Endpoints that were there when this host came are no new lives.
  bool has_listing_ = false;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_COLD_GATE_H_
