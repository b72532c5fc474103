// This host's part in its fleet: it tells the others of itself, follows the
// host that plans, or plans for them.

#ifndef HARECRANK_SRC_GATEWAY_FLEET_MEMBER_H_
#define HARECRANK_SRC_GATEWAY_FLEET_MEMBER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "harecrank/core/endpoint_health.h"
#include "harecrank/core/host_book.h"
#include "harecrank/core/planner.h"
#include "src/adapters/event_log.h"
#include "src/adapters/metrics.h"
#include "src/gateway/fleet_socket.h"
#include "src/gateway/http_client.h"
#include "src/gateway/place_client.h"
#include "src/gateway/timer.h"

namespace harecrank {

// What the member asks of its owner.
struct FleetMemberPorts {
  // Fills the owner's part of the host's word: what it knows of the platform.
  std::function<void(HostWord* word)> describe;
  // Returns what the platform has published since `since`, for hosts that know
  // all before it.
  std::function<std::string(StoreRevision since)> published;
  // Takes what another host told of that. Returns false if it cannot be used.
  std::function<bool(const std::string& changes, bool source_well)>
      on_published;
  // Whether a newer routing table is known and about to be in force.
  std::function<bool()> reads_routing;
  // Another host, whom the platform answered `age` ago, knows no more than this
  // one.
  std::function<void(Millis age)> on_informed;
  // Whether others rely on this host's reading of the platform.
  std::function<void(bool should_read)> on_should_read;
  // Takes what another host told of requests that end endpoints. Returns what
  // was news, and fills `missing` with what that host does not know.
  std::function<std::vector<CrashReport>(
      const std::vector<CrashReport>& reports,
      std::vector<CrashReport>* missing)>
      on_crashes;
  // What hosts that have missed such words need.
  std::function<std::vector<CrashReport>()> shared_crashes;
  // What this host and others have heard of limits that endpoints name.
  std::function<std::vector<LimitReport>()> limits;
  std::function<void(const std::vector<LimitReport>& reports)> on_limits;
};

// Not thread-safe; runs on its io_context.
class FleetMember {
 public:
  // All pointers must outlive this.
  FleetMember(boost::asio::io_context* io, NodeId node, KnownHost self,
              Incarnation life, HostBook* book, Planner* planner,
              EndpointHealth* health, FleetSocket* socket,
              FleetMemberPorts ports, EventLog* log, Metrics* metrics,
              MonotonicClock clock, RandomSource random);

  void Start();

  // This host is about to stop: another one plans from now on.
  void Leave();

  // Tells the planner soon, and not only when the next word is due.
  void TellSoon();

  // What this host knows of the platform has changed: others are told at once.
  void OnPublished();

  // The platform answers again, or no more, this host or those that tell it.
  void OnSourceChanged();

  // Tells the others what this host knows of a request that ends endpoints.
  void TellCrash(CrashReport report);

  PlaceClient* Places() { return &places_; }
  bool IsPlanner() { return book_->IsPlanner(); }

  // Path at which a host gives what the platform has published since the
  // revision that follows it.
  static constexpr char kPublishedPath[] = "/peer/published/";
  // The pause between two words to the planner. A planner that dies is noticed
  // by the asks that it does not answer; words find it where nothing is asked.
  static constexpr Millis kWordInterval{300};
  // A planner that answered no word for this long is silent.
  static constexpr Millis kWordSilence{650};
  // How often prompts that wait are tried while nothing is heard.
  static constexpr Millis kTryInterval{40};
  // What ends within so long is taken together before those that wait are
  // tried. A try of one prompt looks at every engine.
  static constexpr Millis kTryPause{4};

 private:
  // Handles each kind of message.
  struct Receiver;

  PlaceClientPorts MakePlacePorts();
  void Send(const HostAddress& to, const FleetMessage& message);
  void OnMessage(const FleetMessage& message);
  void OnWord(const HostWord& word);
  void OnAsk(const PlaceAsk& ask);
  void OnNote(const WorkNote& note);
  void OnCrashReports(const CrashReports& told);
  void TellCrashes();
  // Sends what it has missed to a host whose digest is another than this one's.
  void RepairCrashes(const HostWord& word);
  HostWord OwnWord() const;
  // Asks a host that another one takes for the planner for its own word: two
  // hosts plan, or this one follows the wrong one.
  void Probe(const HostAddress& planner);
  void TellPlanner();
  void TellStrangers();
  void Announce();
  void Tick();
  void TryWaiting();
  // Logs who is told to return, and when.
  void NoteTurnedAway(const HostAddress& host, AskId id,
                      const PlaceDecision& decision);
  void TryWaitingSoon();
  // Looks whether another host plans now, and tells of it if so.
  void FollowPlanner();
  void LookForSilence();
  // Asks a host that knows more of the platform, unless this one is about to
  // learn it by itself.
  void AskBetterInformed();
  void OnChanges(const PublishedChanges& published);
  void TellPublished();
  void HearOfSource(const HostWord& word);

  boost::asio::io_context* io_;
  NodeId node_;
  KnownHost self_;
  Incarnation life_;
  HostBook* book_;
  Planner* planner_;
  EndpointHealth* health_;
  FleetSocket* socket_;
  FleetMemberPorts ports_;
  EventLog* log_;
  Metrics* metrics_;
  MonotonicClock clock_;
  RandomSource random_;
  PlaceClient places_;
  Timer tick_timer_;
  Timer tell_timer_;
  Timer try_timer_;
  std::optional<HostAddress> followed_;
  // When the followed planner was last heard.
  TimePoint planner_heard_{};
  TimePoint told_at_{};
  TimePoint strangers_told_{};
  TimePoint probed_at_{};
  TimePoint tried_at_{};
  bool tells_soon_ = false;
  bool tries_soon_ = false;
  std::shared_ptr<HttpClient> asking_;
  TimePoint asked_at_{};
  bool asks_ = false;
  // Since when another host has known more; unset while none does.
  std::optional<TimePoint> behind_since_;
  // How long it waits before it asks for everything.
  Millis start_spread_{0};
  Millis search_interval_{50};
  // What ended together is told together.
  std::vector<CrashReport> untold_crashes_;
  // Up to where the others have been told.
  StoreRevision told_up_to_;
  bool tells_published_ = false;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_FLEET_MEMBER_H_
