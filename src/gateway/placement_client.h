// Queries the planner for placements and reports the progress of the requests
// to it.

#ifndef HARECRANK_SRC_GATEWAY_PLACEMENT_CLIENT_H_
#define HARECRANK_SRC_GATEWAY_PLACEMENT_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "harecrank/core/clock.h"
#include "harecrank/core/fleet_messages.h"
#include "harecrank/core/placement.h"
#include "src/gateway/timer.h"

namespace harecrank {

// Callbacks of PlacementClient.
struct PlacementClientPorts {
  // Returns the planner, if it is known.
  std::function<std::optional<HostAddress>()> planner;
  std::function<void(const HostAddress& to, const FleetMessage& message)> send;
  // Called when `host` has left a query unanswered for the time-out.
  std::function<void(const HostAddress& host)> on_unresponsive;
  // Called when `host` replies that `planner` is the planner.
  std::function<void(const HostAddress& host, const HostAddress& planner)>
      on_redirect;
};

// No planner has replied: the host places the request itself, based on its own
// data.
struct PlaceLocally {};
using QueryResult = std::variant<PlannedPlacement, QueryQueued, QueryRejected,
                                 NoEndpoint, PlaceLocally>;

// Not thread-safe; runs on its io_context. Does not call back from within
// SendQuery.
class PlacementClient {
 public:
  // Called once with the final result, which is not QueryQueued. Before that it
  // may be called once with QueryQueued.
  using OnResult = std::function<void(const QueryResult& result)>;

  PlacementClient(boost::asio::io_context* io, HostAddress self,
                  Incarnation incarnation, PlacementClientPorts ports,
                  MonotonicClock clock);

  // Queries the planner for a placement. The query counts as in progress until
  // OnEnd is called with the returned id.
  QueryId SendQuery(const PlacementRequest& request, bool may_have_run,
                    OnResult on_result);

  // Returns an id for a placement that this host has chosen itself.
  QueryId NewId() { return QueryId{next_id_++}; }

  // Records that the request was sent to its endpoints.
  void OnStarted(QueryId id, std::vector<WorkPart> parts);
  // Records that the first event has arrived, after `pace` times the predicted
  // time.
  void OnPrefillDone(QueryId id, double pace);
  // Records that the request has ended or that its placement is no longer
  // needed. Ignores ids that have ended already.
  void OnEnd(QueryId id, bool failed);

  void OnReply(const PlacementReply& reply);

  // To be called when another host has become the planner. Queries without a
  // final reply are sent to it.
  void OnPlannerChanged();

  // Returns all work in progress, for the planner.
  std::vector<QueryWork> Work() const;

  // How long the reply to a query may take before the query is sent again, and
  // before its host is considered unresponsive. The first covers a lost
  // datagram, the second a dead planner. Replies take 2 ms within a region;
  // between regions both time-outs adapt to the observed reply time.
  static constexpr Millis kResendAfter{30};
  static constexpr Millis kUnresponsiveAfter{100};
  // How long a query waits for a planner to become known, after a start of this
  // host or of the whole fleet.
  static constexpr Millis kPlannerSearchTimeout{150};
  // Interval at which a queued query is repeated, so that a dead planner or a
  // lost placement is noticed.
  static constexpr Millis kQueuedRepeatInterval{200};

 private:
  struct Pending {
    PlacementQuery query;
    // When the request passes its latency target, and its deadline.
    TimePoint target_at{};
    TimePoint deadline{};
    OnResult on_result;
    HostAddress host;
    // `last_reply_at`: when this host was first queried or last replied.
    // `sent_at`: when the query was last sent.
    TimePoint last_reply_at{};
    TimePoint sent_at{};
    bool queued = false;
    int hosts_queried = 0;
  };

  void SendToPlanner(QueryId id);
  void Resend(Pending* pending);
  // Tells `host` that the placement which it has granted, or may still grant,
  // is not used.
  void ReleasePlacement(const HostAddress& host, QueryId id);
  void Resolve(QueryId id, const QueryResult& result);
  // Returns when the query must be checked next.
  TimePoint NextCheckAt(const Pending& pending) const;
  void CheckPending(QueryId id);
  void ArmTimer();
  void OnTimer();
  void FlushSoon();
  void Flush();
  Millis AdaptiveTimeout(Millis min_timeout, double factor) const;

  HostAddress self_;
  Incarnation incarnation_;
  PlacementClientPorts ports_;
  MonotonicClock clock_;
  Timer timer_;
  Timer flush_timer_;
  std::uint64_t next_id_ = 1;
  std::map<QueryId, Pending> pending_;
  std::unordered_map<QueryId, QueryWork> in_progress_;
  std::vector<PrefillDone> prefill_done_;
  std::vector<RequestDone> requests_done_;
  bool flush_scheduled_ = false;
  // Moving average of the reply time.
  FractionalMillis reply_time_{0};
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_PLACEMENT_CLIENT_H_
