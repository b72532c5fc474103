// Queries the planner for placements and reports to it the progress of the
// requests that were placed.

#ifndef HARECRANK_SRC_GATEWAY_PLACEMENT_CLIENT_H_
#define HARECRANK_SRC_GATEWAY_PLACEMENT_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

#include "harecrank/core/clock.h"
#include "harecrank/core/fleet_messages.h"
#include "harecrank/core/placement.h"
#include "src/gateway/timer.h"

namespace harecrank {

// Callbacks through which PlacementClient finds the planner and sends messages
// to it.
struct PlacementClientPorts {
  // Returns the current planner, or nothing if none is known.
  std::function<std::optional<HostAddress>()> planner;
  std::function<void(const HostAddress& to, const FleetMessage& message)> send;
  // Called when `host` has not answered a query within the time-out for
  // unresponsive hosts (see kUnresponsiveAfter).
  std::function<void(const HostAddress& host)> on_unresponsive;
  // Called when `host` replies that it is not the planner but `planner` is.
  std::function<void(const HostAddress& host, const HostAddress& planner)>
      on_redirect;
  // Called when a second planner has placed a request that was placed already.
  // That planner needs to learn where the request runs.
  std::function<void()> on_placed_twice;
};

// What a query that waits in the planner's queue does when another host becomes
// the planner.
enum class OnTakeover {
  // It is sent to the new planner at once.
  kAskAnew,
  // It waits for a reply of the new planner, which may have it from the
  // previous
  // one, and is sent to it only after PlacementClient::kTakeoverGrace.
  kAwaitReply
};

// Result of a query that no planner has answered: the querying host places the
// request itself, based on its own data.
struct PlaceLocally {};
using QueryResult = std::variant<PlannedPlacement, QueryQueued, QueryRejected,
                                 NoEndpoint, PlaceLocally>;

// Sends placement queries to the planner, resends them if replies are late, and
// reports the work in progress. Not thread-safe; runs on its io_context. Does
// not call back from within SendQuery.
class PlacementClient {
 public:
  // Called once with the final result of a query, which is never QueryQueued.
  // May be called once with QueryQueued before the final result.
  using OnResult = std::function<void(const QueryResult& result)>;

  PlacementClient(boost::asio::io_context* io, HostAddress self,
                  Incarnation incarnation, OnTakeover on_takeover,
                  PlacementClientPorts ports, MonotonicClock clock);

  // Queries the planner for a placement. The query, and the placement that
  // results from it, count as in progress until OnEnd is called with the
  // returned id.
  QueryId SendQuery(const PlacementRequest& request, bool may_have_run,
                    OnResult on_result);

  // Asks the planner when the caller of a request that was not run should
  // return. The result is QueryRejected, or PlaceLocally if no planner answers.
  // OnEnd must be called with the returned id.
  QueryId SendReturnQuery(const PlacementRequest& request, OnResult on_result);

  // Returns a new id for a placement that this host has chosen itself.
  // OnStarted and OnEnd report such a placement to the planner, too.
  QueryId NewId() { return QueryId{next_id_++}; }

  // Records that this host uses a placement, which causes the work `parts` at
  // endpoints.
  void OnStarted(QueryId id, std::vector<WorkPart> parts);
  // Records that the first event has arrived. `pace` is the actual time to the
  // first event divided by the predicted time.
  void OnPrefillDone(QueryId id, double pace);
  // Records trouble of the request's engines; see GroupTrouble.
  void OnGroupTrouble(QueryId id, double pace);
  // Records that the request has ended or that its placement is no longer
  // needed; `failed` tells whether its endpoint failed. Ignores ids that have
  // ended already.
  void OnEnd(QueryId id, bool failed);

  void OnReply(const PlacementReply& reply);

  // To be called when another host has become the planner. Queries that have no
  // final reply yet are sent to the new planner, those that wait in the
  // previous planner's queue according to OnTakeover.
  void OnPlannerChanged();

  // Returns the work of all requests in progress, which is sent to the planner
  // in heartbeats.
  std::vector<QueryWork> Work() const;

  // Minimum time-outs of the reply to a query. After kResendAfter the query is
  // sent again, since a datagram may have been lost; after kUnresponsiveAfter
  // the planner is considered dead. Both are much longer than the 2 ms that a
  // reply takes within a region. Where replies take longer, as between regions,
  // the time-outs are raised to a multiple of the observed reply time.
  static constexpr Millis kResendAfter{30};
  static constexpr Millis kUnresponsiveAfter{100};
  // How long a query waits for a planner to become known before the request is
  // placed locally. No planner is known right after the start of this host or
  // of the whole fleet.
  static constexpr Millis kPlannerSearchTimeout{150};
  // Interval at which a query that waits in the planner's queue is sent again,
  // so that a dead planner or a lost reply is noticed.
  static constexpr Millis kQueuedRepeatInterval{200};
  // How long a queued query waits for a reply of a new planner before it is
  // sent to it: longer than hosts differ in when they notice that a planner is
  // gone.
  static constexpr Millis kTakeoverGrace{100};

 private:
  // A query without a final reply.
  struct Pending {
    PlacementQuery query;
    // When the request passes its latency target, and its deadline.
    TimePoint target_at{};
    TimePoint deadline{};
    OnResult on_result;
    HostAddress host;
    // `last_reply_at`: when `host` last replied to this query; before its first
    // reply, when the query was first sent to it. While no planner is known for
    // a new query, the time at which the wait for a planner began. `sent_at`:
    // when the query was last sent.
    TimePoint last_reply_at{};
    TimePoint sent_at{};
    bool queued = false;
    int hosts_queried = 0;
    // When the query is sent to the new planner unless that planner replies
    // earlier; unset if the planner has not changed.
    std::optional<TimePoint> move_at;
    // Hosts that were told that a placement of theirs is not used.
    std::set<HostAddress> left_hosts;
  };

  // Sends a query, with its times taken from `request`.
  QueryId Send(PlacementQuery query, const PlacementRequest& request,
               OnResult on_result);
  // Returns the query for `request`, without its id and its times.
  PlacementQuery QueryOf(const PlacementRequest& request) const;
  void SendToPlanner(QueryId id);
  // Sends a query whose planner has changed to the new planner, at once or
  // after kTakeoverGrace.
  void MoveToPlanner(QueryId id);
  // Returns whether the query accepts a reply of a host to which it was not
  // sent because that host has taken the query over from the planner.
  bool IsTakenOver(const Pending& pending, const PlacementReply& reply) const;
  // Handles a reply to a query that is not pending at the replying host.
  void OnStrayReply(const PlacementReply& reply);
  void Resend(Pending* pending);
  // Informs `host` that a placement which it has granted, or may still grant,
  // is not used, so that it frees the engines.
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
  OnTakeover on_takeover_;
  PlacementClientPorts ports_;
  MonotonicClock clock_;
  Timer timer_;
  Timer flush_timer_;
  std::uint64_t next_id_ = 1;
  std::map<QueryId, Pending> pending_;
  std::unordered_map<QueryId, QueryWork> in_progress_;
  // The host whose placement each query has, from the placement to OnEnd.
  std::unordered_map<QueryId, HostAddress> placed_by_;
  std::vector<PrefillDone> prefill_done_;
  std::vector<RequestDone> requests_done_;
  std::vector<GroupTrouble> troubles_;
  bool flush_scheduled_ = false;
  // Moving average of the reply time.
  FractionalMillis reply_time_{0};
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_PLACEMENT_CLIENT_H_
