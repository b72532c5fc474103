// Answers the placement queries of all hosts while this host is the planner.

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

// Callbacks through which PlannerService finds the current planner and sends
// replies.
struct PlannerServicePorts {
  // Returns the planner, or nothing if it is not known yet.
  std::function<std::optional<HostAddress>()> planner;
  std::function<void(const HostAddress& to, const FleetMessage& message)> send;
};

// Passes queries, progress reports and heartbeats to the Planner while this
// host is the planner, and sends the Planner's replies. While another host is
// the planner, replies to queries with its address. Not thread-safe; runs on
// its io_context.
class PlannerService {
 public:
  // All pointers must outlive this.
  PlannerService(boost::asio::io_context* io, HostAddress self,
                 Planner* planner, PlannerServicePorts ports, EventLog* log,
                 Metrics* metrics, MonotonicClock clock);

  void OnQuery(const PlacementQuery& query);
  void OnProgressReport(const ProgressReport& report);
  void OnHeartbeat(const Heartbeat& heartbeat);

  // To be called when this host has become the planner. Answers the queries
  // that it has from the previous planner, so that their hosts need not ask
  // anew.
  void AnswerRestored();

  // To be called every few tens of milliseconds on the planner.
  void Tick();

  // Interval at which the planner's wait queue is processed if no messages
  // arrive.
  static constexpr Millis kProcessInterval{40};
  // Delay between a message and the processing of the wait queue, so that all
  // requests that end within this time are handled together. Processing is
  // costly because each queued prompt is compared with every engine.
  static constexpr Millis kProcessDelay{4};

 private:
  bool IsPlanner() const { return ports_.planner() == self_; }
  // Returns whether `queries` more of `host` can be remembered, and counts
  // them.
  bool HasRoomFor(const HostAddress& host, std::size_t queries);
  void ProcessWaitQueue();
  void ProcessWaitQueueSoon();
  void Send(DeferredReply reply);
  // Logs a rejection that tells the caller when to return. `not_run` is set if
  // the host had asked only for that time.
  void LogRejection(const HostAddress& host, QueryId id,
                    const PlacementDecision& decision, bool not_run);

  HostAddress self_;
  Planner* planner_;
  PlannerServicePorts ports_;
  EventLog* log_;
  Metrics* metrics_;
  MonotonicClock clock_;
  Timer timer_;
  TimePoint last_processed_at_{};
  bool processing_scheduled_ = false;
  // At most the number of queries that the planner remembers.
  std::size_t query_count_ = 0;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_PLANNER_SERVICE_H_
