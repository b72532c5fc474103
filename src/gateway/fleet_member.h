// This host's membership in its fleet: sends heartbeats, follows the planner
// or, if this host is the planner, serves the other hosts.

#ifndef HARECRANK_SRC_GATEWAY_FLEET_MEMBER_H_
#define HARECRANK_SRC_GATEWAY_FLEET_MEMBER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "harecrank/core/endpoint_health.h"
#include "harecrank/core/membership.h"
#include "harecrank/core/planner.h"
#include "harecrank/core/poll_schedule.h"
#include "src/adapters/event_log.h"
#include "src/adapters/metrics.h"
#include "src/gateway/crash_relay.h"
#include "src/gateway/fleet_socket.h"
#include "src/gateway/peers_log.h"
#include "src/gateway/placement_client.h"
#include "src/gateway/planner_handover.h"
#include "src/gateway/planner_service.h"
#include "src/gateway/poll_assignment.h"
#include "src/gateway/publication_relay.h"
#include "src/gateway/timer.h"

namespace harecrank {

// Callbacks through which FleetMember accesses the rest of this host's state.
struct FleetMemberPorts {
  // Fills those fields of a heartbeat that FleetMember does not know itself:
  // routing version, state of this host's copy of the store's data, knowledge
  // of crashes, peak fleet size and recent requests.
  std::function<void(Heartbeat* heartbeat)> describe;
  // Functions that are passed to PublicationRelay; see PublicationRelayPorts.
  std::function<std::vector<std::string>(StoreRevision since,
                                         std::size_t max_bytes)>
      published;
  std::function<bool(const std::string& changes, bool store_data_fresh)>
      on_published;
  std::function<bool()> is_parsing_routing;
  // Called when this host's data are confirmed by another host: the other host
  // has no newer data, and its data are `age` old.
  std::function<void(Millis age)> on_peer_freshness;
  // Sets this host's rank among the hosts that poll the store for the fleet,
  // where zero polls continuously; unset if this host is not one of them.
  std::function<void(std::optional<int> rank)> on_poll_rank;
  // Functions that are passed to CrashRelay; see CrashRelayPorts.
  std::function<std::vector<CrashReport>(
      const std::vector<CrashReport>& reports,
      std::vector<CrashReport>* missing)>
      on_crashes;
  std::function<std::vector<CrashReport>()> shared_crashes;
  std::function<PartEvidence(const PartEvidence& evidence,
                             PartEvidence* missing)>
      on_part_evidence;
  std::function<PartEvidence()> shared_part_evidence;
  // Called when another host was found to hold no crash reports that this host
  // lacks. `may_lack_holds` tells whether the other host may lack some itself;
  // see Heartbeat.
  std::function<void(bool may_lack_holds)> on_crashes_synced;
  // Called with the number of callers' requests that another host got within
  // RequestShare::kWindow; unset if it has no room for more.
  std::function<void(const HostAddress& host, std::optional<int> requests)>
      on_recent_requests;
  // Returns the rate limits that endpoints have advertised to this host and to
  // others.
  std::function<std::vector<RateLimitReport>()> limits;
  std::function<void(const std::vector<RateLimitReport>& reports)> on_limits;
};

// Makes this host a member of its fleet: exchanges heartbeats with the other
// hosts, follows the current planner, relays published data and crash reports,
// and serves the other hosts while this host is the planner. Not thread-safe;
// runs on its io_context.
class FleetMember {
 public:
  // All pointers must outlive this. `planner_standbys` is the number of hosts
  // that receive the planner's state (PlannerHandover).
  FleetMember(boost::asio::io_context* io, NodeId node, KnownHost self,
              Incarnation incarnation, Membership* membership, Planner* planner,
              EndpointHealth* health, FleetSocket* socket,
              std::size_t planner_standbys, FleetMemberPorts ports,
              EventLog* log, Metrics* metrics, MonotonicClock clock,
              RandomSource random);

  void Start();

  // Announces that this host is about to stop, so that another one becomes the
  // planner.
  void Leave();

  // Sends the planner a heartbeat within milliseconds instead of at the end of
  // the heartbeat interval.
  void SendHeartbeatSoon();

  // To be called when this host's copy of the store's data has changed. Informs
  // the other hosts.
  void OnPublished() { publication_relay_.OnPublished(); }

  // Returns whether another host has newer data than this one, and for how
  // long.
  const CatchUp& Progress() const { return publication_relay_.Progress(); }

  // To be called when a poll of the store by this host has succeeded or failed.
  void OnPollResult();

  // To be called when this host has received current data of the store, itself
  // or from another host, after its data had been overdue
  // (PollSchedule::IsOverdue).
  void OnOverdueRefresh();

  // Both send the other hosts reports on what crashes endpoints.
  void ShareCrashReport(CrashReport report) {
    crash_relay_.Share(std::move(report));
  }
  void SharePartEvidence(PartEvidence evidence) {
    crash_relay_.Share(std::move(evidence));
  }

  // Returns the number of queries of the planner that this host, as a standby,
  // knows.
  std::size_t HeldRecords() const { return handover_.HeldRecords(); }
  PlacementClient* Placements() { return &placement_client_; }
  bool IsPlanner() { return membership_->IsPlanner(); }

  // Interval between two heartbeats to the planner. A dead planner is usually
  // noticed earlier, by queries that it leaves unanswered; heartbeats detect it
  // if no queries are made.
  static constexpr Millis kHeartbeatInterval{300};
  // Interval of the periodic work: heartbeats, detection of a dead planner, and
  // the planner's wait queue.
  static constexpr Millis kTick{40};
  // PollSchedule relies on an upper limit of the interval between two
  // heartbeats.
  static_assert(kHeartbeatInterval + kTick <=
                PollSchedule::kMaxHeartbeatInterval);
  // A planner that has sent nothing for this long is considered unresponsive.
  static constexpr Millis kPlannerTimeout{650};

 private:
  // Visitor that passes each type of fleet message to its handler.
  struct Receiver;

  PlacementClientPorts MakePlacementPorts();
  PlannerServicePorts MakePlannerServicePorts();
  PublicationRelayPorts MakeRelayPorts();
  void Send(const HostAddress& to, const FleetMessage& message);
  void OnMessage(const FleetMessage& message);
  void OnHeartbeat(const Heartbeat& heartbeat);
  void OnPlannerUpdate(const PlannerUpdate& update);
  // To be called when another host regards this host as the planner. A standby
  // then becomes the planner if it does not hear the planner either.
  void OnNamedPlanner();
  Heartbeat OwnHeartbeat() const;
  // Returns a heartbeat that contains only the fields that
  // FleetMemberPorts::describe fills.
  Heartbeat DescribeStoreData() const;
  void Reply(const Heartbeat& heartbeat);
  // On the planner: chooses the other hosts that poll the store.
  void UpdatePollers();
  // On the planner: sends each of the other hosts that poll the store a
  // heartbeat with its poll rank. The ranks depend on whether the store answers
  // the planner.
  void InformPollers();
  // To be called with the planner that another host has named. Requests a
  // heartbeat from it if this host does not follow it: either there are two
  // planners, or this host follows the wrong one or none.
  void RequestHeartbeat(const HostAddress& planner);
  void SendHeartbeatToPlanner();
  // Sends a heartbeat to each of Membership::GossipTargets, a few hosts through
  // which hosts without a planner or with different planners find each other.
  void SendGossip();
  // Sends a heartbeat to all other hosts that are known to be alive.
  void Announce();
  void Tick();
  // Updates the planner that this host follows, and logs and announces a
  // change.
  void FollowPlanner();
  void CheckPlannerTimeout();
  void OnChanges(const PublishedChanges& published);
  void UpdateFreshness(const Heartbeat& heartbeat, const Heartbeat& own);

  boost::asio::io_context* io_;
  NodeId node_;
  KnownHost self_;
  Incarnation incarnation_;
  Membership* membership_;
  Planner* planner_;
  EndpointHealth* health_;
  FleetSocket* socket_;
  FleetMemberPorts ports_;
  EventLog* log_;
  MonotonicClock clock_;
  RandomSource random_;
  PlacementClient placement_client_;
  PlannerService planner_service_;
  PlannerHandover handover_;
  PublicationRelay publication_relay_;
  CrashRelay crash_relay_;
  PollAssignment poll_assignment_;
  PeersLog peers_log_;
  Timer tick_timer_;
  Timer heartbeat_timer_;
  std::optional<HostAddress> followed_planner_;
  // When a message from the followed planner last arrived.
  TimePoint planner_heard_at_{};
  TimePoint last_heartbeat_at_{};
  TimePoint last_gossip_at_{};
  TimePoint last_request_at_{};
  bool heartbeat_scheduled_ = false;
  Millis search_interval_{50};
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_FLEET_MEMBER_H_
