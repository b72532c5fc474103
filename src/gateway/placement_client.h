// Asks the planner for places, and tells it what became of them.

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

// What the client asks of its owner.
struct PlacementClientPorts {
  // Returns the host that plans, if it is known.
  std::function<std::optional<HostAddress>()> planner;
  std::function<void(const HostAddress& to, const FleetMessage& message)> send;
  // A host left an ask unanswered for as long as one may.
  std::function<void(const HostAddress& host)> on_silent;
  // A host says that another one plans.
  std::function<void(const HostAddress& host, const HostAddress& planner)>
      on_redirect;
};

// Nobody answered: the host places by itself, from what it knows.
struct PlaceLocally {};
using QueryResult = std::variant<PlannedPlacement, QueryQueued, QueryRejected,
                                 NoEndpoint, PlaceLocally>;

// Not thread-safe; runs on its io_context. Never calls back from within
// SendQuery.
class PlacementClient {
 public:
  // Called once with anything but QueryQueued, before that perhaps with
  // QueryQueued.
  using OnResult = std::function<void(const QueryResult& result)>;

  PlacementClient(boost::asio::io_context* io, HostAddress self,
                  Incarnation incarnation, PlacementClientPorts ports,
                  MonotonicClock clock);

  // Asks for a place. Until OnEnd of the id that is returned it counts as under
  // way.
  QueryId SendQuery(const PlacementRequest& request, bool may_have_run,
                    OnResult on_result);

  // Returns an id for a place that this host has chosen itself.
  QueryId NewId() { return QueryId{next_id_++}; }

  // The request was sent to its endpoints.
  void OnStarted(QueryId id, std::vector<WorkPart> parts);
  // Its first event came, `pace` times as late as predicted.
  void OnPrefillDone(QueryId id, double pace);
  // It ended, or is not wanted any more. Ids that have ended are passed over.
  void OnEnd(QueryId id, bool failed);

  void OnReply(const PlacementReply& answer);

  // Another host plans now: what is not answered is asked there.
  void OnPlannerChanged();

  // Returns all that is under way, for the planner.
  std::vector<QueryWork> Work() const;

  // How long an answer may take before the ask is sent again, and before its
  // host counts as silent: a lost datagram costs the first, a planner that died
  // the second. Answers take 2 ms within a region; between regions the pauses
  // follow what answers take.
  static constexpr Millis kResendAfter{30};
  static constexpr Millis kUnresponsiveAfter{100};
  // How long an ask waits for a planner to be found, after a start of this host
  // or of all.
  static constexpr Millis kPlannerSearchTimeout{150};
  // How often an ask that waits is repeated, so that a planner that died, or a
  // place that was lost, is noticed.
  static constexpr Millis kQueuedRepeatInterval{200};

 private:
  struct Pending {
    PlacementQuery ask;
    TimePoint late_at{};
    TimePoint ends_at{};
    OnResult on_result;
    HostAddress asked;
    // When this host was first asked or last answered, and when it was last
    // asked.
    TimePoint since{};
    TimePoint sent{};
    bool waits = false;
    int hosts_asked = 0;
  };

  void SendToPlanner(QueryId id);
  void SendAgain(Pending* pending);
  // Tells `host` that the place it gave, or may yet give, is not used.
  void GiveBack(const HostAddress& host, QueryId id);
  void Resolve(QueryId id, const QueryResult& result);
  // Returns when the ask is looked at next.
  TimePoint DueOf(const Pending& pending) const;
  void LookAt(QueryId id);
  void Arm();
  void OnTimer();
  void FlushSoon();
  void Flush();
  Millis Patience(Millis least, double answers) const;

  HostAddress self_;
  Incarnation incarnation_;
  PlacementClientPorts ports_;
  MonotonicClock clock_;
  Timer timer_;
  Timer flush_timer_;
  std::uint64_t next_id_ = 1;
  std::map<QueryId, Pending> pending_;
  std::unordered_map<QueryId, QueryWork> under_way_;
  std::vector<PrefillDone> read_;
  std::vector<RequestDone> ended_;
  bool flushes_ = false;
  // What answers lately took.
  FractionalMillis answer_time_{0};
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_PLACEMENT_CLIENT_H_
