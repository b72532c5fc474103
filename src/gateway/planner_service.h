// Answers asks for places, on the host that plans.

#ifndef HARECRANK_SRC_GATEWAY_PLANNER_SERVICE_H_
#define HARECRANK_SRC_GATEWAY_PLANNER_SERVICE_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>

#include "harecrank/core/planner.h"
#include "src/adapters/event_log.h"
#include "src/adapters/metrics.h"
#include "src/gateway/timer.h"

namespace harecrank {

// What the desk asks of its owner.
struct PlannerServicePorts {
  // Returns the host that plans, or nothing if it is not known yet.
  std::function<std::optional<HostAddress>()> planner;
  std::function<void(const HostAddress& to, const FleetMessage& message)> send;
};

// Not thread-safe; runs on its io_context.
class PlannerService {
 public:
  // All pointers must outlive this.
  PlannerService(boost::asio::io_context* io, HostAddress self,
                 Planner* planner, PlannerServicePorts ports, EventLog* log,
                 Metrics* metrics, MonotonicClock clock);

  void OnQuery(const PlacementQuery& ask);
  void OnProgressReport(const ProgressReport& note);
  void OnHeartbeat(const Heartbeat& word);

  // To be called every few tens of milliseconds on the host that plans.
  void Tick();

  // How often prompts that wait are tried while nothing is heard.
  static constexpr Millis kTryInterval{40};
  // What ends within so long is taken together before those that wait are
  // tried. A try of one prompt looks at every engine.
  static constexpr Millis kTryPause{4};

 private:
  bool IsPlanner() const { return ports_.planner() == self_; }
  void ProcessWaitQueue();
  void TryWaitingSoon();
  // Logs who is told to return, and when.
  void NoteTurnedAway(const HostAddress& host, QueryId id,
                      const PlacementDecision& decision);

  HostAddress self_;
  Planner* planner_;
  PlannerServicePorts ports_;
  EventLog* log_;
  Metrics* metrics_;
  MonotonicClock clock_;
  Timer timer_;
  TimePoint tried_at_{};
  bool tries_soon_ = false;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_PLANNER_SERVICE_H_
