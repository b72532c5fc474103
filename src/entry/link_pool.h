// Links from one entry host to the sidecars that it uses. A link is a
// connection that carries the streams of many requests.

#ifndef HARECRANK_SRC_ENTRY_LINK_POOL_H_
#define HARECRANK_SRC_ENTRY_LINK_POOL_H_

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "harecrank/core/remote_clock.h"
#include "harecrank/core/router.h"
#include "src/adapters/link_client.h"
#include "src/adapters/metrics.h"
#include "src/adapters/wire.h"

namespace harecrank {

// Event that tells a request that the link of its stream was closed, so that no
// more messages will arrive.
struct LinkLost {
  StreamId stream;
};
// Event of one stream: a message from the sidecar, or the loss of the link.
using StreamEvent = std::variant<wire::Message, LinkLost>;

// Returns the stream that a message from a sidecar belongs to, or zero if it
// belongs to none.
StreamId StreamOf(const wire::Message& message);

// Queue that passes the events of one stream from the link's thread to the
// request's thread. Thread-safe.
class StreamInbox {
 public:
  // Adds an event. Never blocks: the flow-control window of the stream limits
  // the number of queued events.
  void Put(StreamEvent event);

  // Waits for an event until `until`. Returns nullopt if none arrived.
  std::optional<StreamEvent> Take(TimePoint until);

 private:
  std::mutex mutex_;
  std::condition_variable added_;
  std::deque<StreamEvent> events_;
};

// A link to one sidecar, with the state that the sidecar reported last. The
// link is open, being opened, or waiting to be reopened by LinkPool.
// Thread-safe.
class Link {
 public:
  Link(EndpointId endpoint, std::string address, MonotonicClock clock);

  const EndpointId& Endpoint() const { return endpoint_; }
  const std::string& Address() const { return address_; }

  // Returns whether requests can be sent: the link is open, the offset of the
  // sidecar's clock is known, and the link is not silent.
  bool IsUsable() const;

  // Returns whether kMissedBeforeSilent heartbeat intervals have passed without
  // a message. Requests that can run elsewhere should then be sent to another
  // endpoint.
  bool IsSilent() const;

  // Returns whether the sidecar has announced that it accepts no new work.
  bool IsDraining() const;

  // Returns the input of routing: the endpoint's latest load report, and the
  // work submitted since then.
  EndpointView View() const;

  // Returns `deadline` on the sidecar's clock, or nullopt while the offset of
  // that clock is unknown.
  std::optional<RemoteMillis> Convert(TimePoint deadline) const;

  // Adds work that this host has submitted and that the sidecar's latest load
  // report does not include. The sum returns to zero at the next heartbeat.
  void AddUnreported(Tokens tokens);

  // Limits of the time without a message, in heartbeat intervals. After
  // kMissedBeforeSilent intervals, the link is considered silent. After
  // kMissedBeforeClose, it is closed, and all its streams receive LinkLost.
  static constexpr int kMissedBeforeSilent = 3;
  static constexpr int kMissedBeforeClose = 8;

 private:
  friend class LinkPool;

  const EndpointId endpoint_;
  const std::string address_;
  MonotonicClock clock_;
  mutable std::mutex mutex_;
  DialId dial_;
  bool open_ = false;
  bool draining_ = false;
  RemoteClock remote_clock_;
  LoadReport load_;
  Tokens unreported_;
  Millis heartbeat_interval_{1000};
  TimePoint last_received_at_;
  TimePoint last_used_at_;
  TimePoint next_dial_at_;
  std::unordered_map<std::uint64_t, std::shared_ptr<StreamInbox>> streams_;
};

// Opens, keeps and closes all links of one entry host, and passes the messages
// that arrive on them to the streams' inboxes. Thread-safe.
class LinkPool {
 public:
  LinkPool(NodeId self, Incarnation incarnation, MonotonicClock clock,
           Metrics* metrics);
  ~LinkPool();
  LinkPool(const LinkPool&) = delete;
  LinkPool& operator=(const LinkPool&) = delete;

  // Returns the link to `endpoint`. Starts to open a new one if none exists or
  // if the address has changed.
  std::shared_ptr<Link> Get(const EndpointId& endpoint,
                            const std::string& address);

  // Opens links to all `endpoints`, reopens lost links, and closes silent and
  // idle ones. Must be called periodically.
  void Maintain(const std::map<EndpointId, std::string>& endpoints);

  // Opens a stream on `link` whose events are put into `inbox`.
  StreamId OpenStream(const std::shared_ptr<Link>& link,
                      std::shared_ptr<StreamInbox> inbox);
  void CloseStream(const std::shared_ptr<Link>& link, StreamId stream);

  // Sends a message. Returns false if the link is not open.
  bool Send(const std::shared_ptr<Link>& link, const wire::Message& message);

  std::vector<std::shared_ptr<Link>> All() const;
  void Stop();

 private:
  void OnOpen(DialId dial);
  void OnMessage(DialId dial, wire::Message message);
  void OnClose(DialId dial);
  void DialLink(const std::shared_ptr<Link>& link);
  std::shared_ptr<Link> Find(DialId dial) const;

  NodeId self_;
  Incarnation incarnation_;
  MonotonicClock clock_;
  mutable std::mutex mutex_;
  std::map<EndpointId, std::shared_ptr<Link>> links_;
  std::unordered_map<std::uint64_t, std::shared_ptr<Link>> by_dial_;
  std::atomic<std::uint64_t> next_stream_{1};
  Counter* opened_;
  Counter* lost_;
  Counter* heartbeats_;
  std::unique_ptr<LinkClient> client_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_ENTRY_LINK_POOL_H_
