// The links from one entry host to the sidecars it uses.

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

// The link that carried a stream is gone.
struct LinkLost {
  StreamId stream;
};
using StreamEvent = std::variant<wire::Message, LinkLost>;

// Returns the stream that a message from a sidecar belongs to, or zero.
StreamId StreamOf(const wire::Message& message);

// The events of one stream, from the link's thread to the request's.
class StreamInbox {
 public:
  // Adds an event. Never waits: what may come is bounded by the stream's
  // window.
  void Put(StreamEvent event);

  // Waits for an event until `until`. Returns nothing if none came.
  std::optional<StreamEvent> Take(TimePoint until);

 private:
  std::mutex mutex_;
  std::condition_variable added_;
  std::deque<StreamEvent> events_;
};

// One link, or the attempt to open one. Thread-safe.
class Link {
 public:
  Link(EndpointId endpoint, std::string address, MonotonicClock clock);

  const EndpointId& Endpoint() const { return endpoint_; }
  const std::string& Address() const { return address_; }

  // Returns whether requests may be sent: it is open, its sidecar's clock is
  // known, and it is not silent.
  bool IsUsable() const;

  // Returns whether nothing has come for so long that a request that may go
  // elsewhere should.
  bool IsSilent() const;

  // Returns whether the sidecar has said that it takes nothing new.
  bool IsDraining() const;

  // Returns what routing knows of the endpoint.
  EndpointView View() const;

  // Returns `deadline` on the sidecar's clock, or nothing while that is not
  // known.
  std::optional<RemoteMillis> Convert(TimePoint deadline) const;

  // Notes work that the next report will show.
  void AddUnreported(Tokens tokens);

  // How many of its sidecar's pulses a link may miss before it counts as
  // silent, and before it is cut and all that waits on it told so.
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
  Millis pulse_interval_{1000};
  TimePoint last_heard_;
  TimePoint last_used_;
  TimePoint next_dial_;
  std::unordered_map<std::uint64_t, std::shared_ptr<StreamInbox>> streams_;
};

// All links of one process. Thread-safe.
class LinkPool {
 public:
  LinkPool(NodeId self, Incarnation incarnation, MonotonicClock clock,
           Metrics* metrics);
  ~LinkPool();
  LinkPool(const LinkPool&) = delete;
  LinkPool& operator=(const LinkPool&) = delete;

  // Returns the link to `endpoint`, and begins to open one if there is none.
  std::shared_ptr<Link> Get(const EndpointId& endpoint,
                            const std::string& address);

  // Keeps links to `wanted` open, opens lost ones again, cuts silent ones, and
  // closes others that are idle. Called at intervals.
  void Maintain(const std::map<EndpointId, std::string>& wanted);

  // Opens a stream on `link` whose events go to the inbox.
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
  Counter* pulses_;
  std::unique_ptr<LinkClient> client_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_ENTRY_LINK_POOL_H_
