// Tells other hosts what the platform has published, and learns it from them.

#ifndef HARECRANK_SRC_GATEWAY_PUBLICATION_RELAY_H_
#define HARECRANK_SRC_GATEWAY_PUBLICATION_RELAY_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "harecrank/core/membership.h"
#include "src/adapters/event_log.h"
#include "src/gateway/fleet_socket.h"
#include "src/gateway/http_client.h"

namespace harecrank {

// What the relay asks of its owner.
struct PublicationRelayPorts {
  // Returns what this host knows of the platform.
  std::function<Heartbeat()> describe;
  // Returns what the platform has published since `since`, for hosts that know
  // all before it, in parts of at most `max_bytes` that follow each other; the
  // last one may be larger.
  std::function<std::vector<std::string>(StoreRevision since,
                                         std::size_t max_bytes)>
      published;
  // Takes what another host told of that. Returns false if it cannot be used.
  std::function<bool(const std::string& changes, bool store_data_fresh)>
      on_published;
  // Whether a newer routing table is known and about to be in force.
  std::function<bool()> is_parsing_routing;
  std::function<bool()> is_planner;
  // Tell this host's word to all others, and to the planner.
  std::function<void()> announce;
  std::function<void()> tell_planner;
};

// Not thread-safe; runs on its io_context.
class PublicationRelay {
 public:
  // All pointers must outlive this.
  PublicationRelay(boost::asio::io_context* io, HostAddress self,
                   Membership* book, FleetSocket* socket,
                   PublicationRelayPorts ports, EventLog* log,
                   MonotonicClock clock, RandomSource random);

  // What this host knows has changed: others are told at once.
  void OnPublished();

  // This host plans from now on, and tells the others what follows.
  void OnBecamePlanner();

  // The planner tells what has changed.
  void OnChanges(const PublishedChanges& published);

  // Asks a host that knows more of the platform, unless this one, which knows
  // what `own` says, is about to learn it by itself. To be called with each
  // word and every few tens of milliseconds.
  void FetchIfBehind(const Heartbeat& own);

 private:
  void TellPublished();
  // Returns how long another host may know more before it is asked.
  Millis Grace(const Heartbeat& own) const;
  void Ask(const HostAddress& host, StoreRevision since, bool sent_on);
  void OnAnswer(const HostAddress& host, StoreRevision since, bool sent_on,
                const CallResult& result);
  // Notes when to come again, by the answer's own word if it has one.
  void WaitAfter(const HttpReply* reply);

  boost::asio::io_context* io_;
  HostAddress self_;
  Membership* book_;
  FleetSocket* socket_;
  PublicationRelayPorts ports_;
  EventLog* log_;
  MonotonicClock clock_;
  RandomSource random_;
  std::shared_ptr<HttpClient> asking_;
  bool asks_ = false;
  TimePoint ask_from_{};
  // Since when another host has known more; unset while none does.
  std::optional<TimePoint> behind_since_;
  // Up to where the others have been told.
  StoreRevision told_up_to_;
  bool tells_published_ = false;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_PUBLICATION_RELAY_H_
