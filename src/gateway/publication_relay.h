// Distributes the data that this host has received from the store to the other
// hosts of the fleet, and fetches newer data from them.

#ifndef HARECRANK_SRC_GATEWAY_PUBLICATION_RELAY_H_
#define HARECRANK_SRC_GATEWAY_PUBLICATION_RELAY_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "harecrank/core/catch_up.h"
#include "harecrank/core/membership.h"
#include "src/adapters/event_log.h"
#include "src/gateway/fleet_socket.h"
#include "src/gateway/http_client.h"

namespace harecrank {

// Callbacks through which PublicationRelay accesses this host's data and
// heartbeats.
struct PublicationRelayPorts {
  // Returns a heartbeat that contains only the fields that
  // FleetMemberPorts::describe fills. They include the state of this host's
  // copy of the store's data.
  std::function<Heartbeat()> describe;
  // Returns the changes after `since`, for hosts whose data are complete up to
  // it, in consecutive messages of at most `max_bytes`; only one with a single
  // large change may be larger.
  std::function<std::vector<std::string>(StoreRevision since,
                                         std::size_t max_bytes)>
      published;
  // Imports the changes from another host. Returns false if they cannot be
  // used.
  std::function<bool(const std::string& changes, bool store_data_fresh)>
      on_published;
  // Returns whether a newer routing table is being parsed and will be active
  // soon.
  std::function<bool()> is_parsing_routing;
  std::function<bool()> is_planner;
  // `announce` sends this host's heartbeat to all other hosts,
  // `send_heartbeat` sends it to the planner.
  std::function<void()> announce;
  std::function<void()> send_heartbeat;
};

// On the planner, sends changes of the store's data to the other hosts; on all
// hosts, imports received changes and fetches a snapshot from another host if
// changes are missing. Not thread-safe; runs on its io_context.
class PublicationRelay {
 public:
  // All pointers must outlive this.
  PublicationRelay(boost::asio::io_context* io, HostAddress self,
                   Membership* membership, FleetSocket* socket,
                   PublicationRelayPorts ports, EventLog* log,
                   MonotonicClock clock, RandomSource random);

  // To be called when this host's data have changed. Informs the other hosts.
  void OnPublished();

  // To be called when this host becomes the planner. From then on it sends the
  // other hosts all changes that follow the data it has at the time of the
  // call.
  void OnBecamePlanner();

  // Handles changes that the planner has sent.
  void OnChanges(const PublishedChanges& published);

  // Fetches a snapshot from a host that has newer data. Before the fetch, waits
  // as long as new data usually take to arrive from the planner or the store.
  // `own` is the state of this host. To be called with each heartbeat and every
  // few tens of milliseconds.
  void FetchIfBehind(const Heartbeat& own);

  // Returns whether another host has newer data, and for how long.
  const CatchUp& Progress() const { return catch_up_; }

 private:
  // Informs the other hosts of the changes after `sent_up_to_`: the planner
  // sends the changes, or a heartbeat if they are too large; any other host
  // sends the planner a heartbeat. The first data of a host that polls the
  // store are announced to all hosts by a heartbeat.
  void SendChanges();
  // Returns a host with newer data than `own`, and records in `catch_up_`
  // whether there is one.
  std::optional<HostAddress> FindNewer(const Heartbeat& own);
  // Logs that this host has been behind for a while, and that it no longer is.
  void LogProgress(const std::optional<HostAddress>& newer);
  // After this host has learned that another host has newer data, it waits some
  // time to receive them before it fetches them. Returns this time; zero if
  // this host has no routing table yet.
  Millis FetchDelay(const Heartbeat& own) const;
  void Fetch(const HostAddress& host, StoreRevision since, bool is_redirected);
  void OnFetched(const HostAddress& host, StoreRevision since,
                 bool is_redirected, const CallResult& result);
  // Sets when the next snapshot may be requested: after the Retry-After time of
  // `reply`, or after a default if it has none or is null.
  void ScheduleNextFetch(const HttpReply* reply);

  boost::asio::io_context* io_;
  HostAddress self_;
  Membership* membership_;
  FleetSocket* socket_;
  PublicationRelayPorts ports_;
  EventLog* log_;
  MonotonicClock clock_;
  RandomSource random_;
  std::shared_ptr<HttpClient> fetch_client_;
  bool is_fetching_ = false;
  TimePoint next_fetch_at_{};
  CatchUp catch_up_;
  // Whether the log tells that this host is behind.
  bool behind_logged_ = false;
  // Revision up to which changes have been sent to the other hosts.
  StoreRevision sent_up_to_;
  bool changes_scheduled_ = false;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_PUBLICATION_RELAY_H_
