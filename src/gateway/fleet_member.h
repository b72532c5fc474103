// This host's part in its fleet: it tells the others of itself, follows the
// host that plans, or plans for them.

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
#include "src/gateway/planner_service.h"
#include "src/gateway/publication_relay.h"
#include "src/gateway/timer.h"

namespace harecrank {

// What the member asks of its owner.
struct FleetMemberPorts {
  // Fills the owner's part of the host's word: what it knows of the platform.
  std::function<void(Heartbeat* word)> describe;
  // As those of PublicationRelayPorts.
  std::function<std::vector<std::string>(StoreRevision since,
                                         std::size_t max_bytes)>
      published;
  std::function<bool(const std::string& changes, bool store_data_fresh)>
      on_published;
  std::function<bool()> is_parsing_routing;
  // Another host, whom the platform answered `age` ago, knows no more than this
  // one.
  std::function<void(Millis age)> on_peer_freshness;
  // This host's turn among those that read the platform for all; nothing if it
  // is none of them.
  std::function<void(std::optional<int> turn)> on_poll_rank;
  // As those of CrashRelayPorts.
  std::function<std::vector<CrashReport>(
      const std::vector<CrashReport>& reports,
      std::vector<CrashReport>* missing)>
      on_crashes;
  std::function<std::vector<CrashReport>()> shared_crashes;
  // What this host and others have heard of limits that endpoints name.
  std::function<std::vector<RateLimitReport>()> limits;
  std::function<void(const std::vector<RateLimitReport>& reports)> on_limits;
};

// Not thread-safe; runs on its io_context.
class FleetMember {
 public:
  // All pointers must outlive this.
  FleetMember(boost::asio::io_context* io, NodeId node, KnownHost self,
              Incarnation incarnation, Membership* book, Planner* planner,
              EndpointHealth* health, FleetSocket* socket,
              FleetMemberPorts ports, EventLog* log, Metrics* metrics,
              MonotonicClock clock, RandomSource random);

  void Start();

  // This host is about to stop: another one plans from now on.
  void Leave();

  // Tells the planner soon, and not only when the next word is due.
  void SendHeartbeatSoon();

  // What this host knows of the platform has changed: others are told at once.
  void OnPublished() { relay_.OnPublished(); }

  // The platform has answered this host itself, or failed to.
  void OnPollResult();

  // It is known again, from whomever, that the platform answers, after the
  // turns of others to look had begun to come.
  void OnOverdueRefresh();

  // Tells the others what this host knows of a request that ends endpoints.
  void ShareCrashReport(CrashReport report) {
    crashes_.Tell(std::move(report));
  }

  PlacementClient* Placements() { return &places_; }
  bool IsPlanner() { return book_->IsPlanner(); }

  // The pause between two words to the planner. A planner that dies is noticed
  // by the asks that it does not answer; words find it where nothing is asked.
  static constexpr Millis kHeartbeatInterval{300};
  // How often it looks after itself: words, silence, prompts that wait.
  static constexpr Millis kTick{40};
  // Turns to read the platform count on the pause between two words.
  static_assert(kHeartbeatInterval + kTick <=
                PollSchedule::kMaxHeartbeatInterval);
  // A planner that answered no word for this long is silent.
  static constexpr Millis kPlannerTimeout{650};

 private:
  // Handles each kind of message.
  struct Receiver;

  PlacementClientPorts MakePlacePorts();
  PlannerServicePorts MakeDeskPorts();
  PublicationRelayPorts MakeRelayPorts();
  void Send(const HostAddress& to, const FleetMessage& message);
  void OnMessage(const FleetMessage& message);
  void OnHeartbeat(const Heartbeat& word);
  Heartbeat OwnWord() const;
  // Returns what the owner tells of itself, without the rest of a word.
  Heartbeat Described() const;
  void Reply(const Heartbeat& word);
  // As the planner: adds to `word` whether `reader` is to read the platform.
  void TellTurn(const HostAddress& reader, Heartbeat* word) const;
  // As the planner: tells those that read the platform beside it how its own
  // reading goes.
  void TellReaders();
  // Asks a host that another one takes for the planner for its own word: two
  // hosts plan, or this one follows the wrong one.
  void Probe(const HostAddress& planner);
  void TellPlanner();
  void TellStrangers();
  void Announce();
  void Tick();
  // Looks whether another host plans now, and tells of it if so.
  void FollowPlanner();
  void LookForSilence();
  void OnChanges(const PublishedChanges& published);
  void HearOfSource(const Heartbeat& word, const Heartbeat& own);

  boost::asio::io_context* io_;
  NodeId node_;
  KnownHost self_;
  Incarnation incarnation_;
  Membership* book_;
  Planner* planner_;
  EndpointHealth* health_;
  FleetSocket* socket_;
  FleetMemberPorts ports_;
  EventLog* log_;
  MonotonicClock clock_;
  RandomSource random_;
  PlacementClient places_;
  PlannerService desk_;
  PublicationRelay relay_;
  CrashRelay crashes_;
  PeersLog peers_log_;
  Timer tick_timer_;
  Timer tell_timer_;
  std::optional<HostAddress> followed_;
  // When the followed planner was last heard.
  TimePoint planner_heard_{};
  TimePoint told_at_{};
  TimePoint strangers_told_{};
  TimePoint probed_at_{};
  bool tells_soon_ = false;
  Millis search_interval_{50};
  // As the planner: the hosts that read the platform beside it, and whether its
  // own reading is answered, as of the last look.
  std::vector<HostAddress> readers_;
  bool is_answered_ = false;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_FLEET_MEMBER_H_
