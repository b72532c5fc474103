// Receives the configuration and the host list from the platform and from
// peers, and passes them on to peers.

#ifndef HARECRANK_SRC_NODE_CONFIG_FEED_H_
#define HARECRANK_SRC_NODE_CONFIG_FEED_H_

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "harecrank/core/active_config.h"
#include "harecrank/core/dissemination.h"
#include "harecrank/core/host_list_cache.h"
#include "src/adapters/logging.h"
#include "src/adapters/metrics.h"
#include "src/adapters/settings.h"
#include "src/node/peer_messages.h"
#include "src/node/platform.h"

namespace harecrank {

// Dependencies of a ConfigFeed. All pointers must outlive it.
struct ConfigFeedPorts {
  ConfigServicePort* service = nullptr;
  // Null if the platform has no host list.
  HostListPort* host_list = nullptr;
  ActiveConfig* active_config = nullptr;
  HostListCache* hosts = nullptr;
  Metrics* metrics = nullptr;
  MonotonicClock clock;
  RandomSource random;
};

// Keeps the active configuration of this node at the highest revision that the
// configuration service or any reachable peer has, and keeps the newest host
// list.
//
// One thread reads the configuration service: on nodes that the dissemination
// plan selects as watchers, it waits for changes; on all other nodes, it polls
// the service at long intervals. One thread compares revisions with a random
// peer periodically. One thread pushes new revisions to this node's children in
// the dissemination tree. Thread-safe.
class ConfigFeed {
 public:
  ConfigFeed(const NodeSettings& settings, ConfigFeedPorts ports);
  ~ConfigFeed();
  ConfigFeed(const ConfigFeed&) = delete;
  ConfigFeed& operator=(const ConfigFeed&) = delete;

  void Start();
  void Stop();

  // Returns whether this node has a configuration and has tried to compare it
  // with its peers. Until then the node must not accept requests.
  bool IsReady() const { return ready_.load(); }

  // Handles the comparison request of a peer whose versions are `theirs`.
  // Returns the update that the peer needs.
  PeerUpdate OnCompare(const PeerState& theirs);

  // Applies an update that a peer pushed, and returns the state of this node
  // afterwards.
  PeerState OnPush(const PeerUpdate& update);

  PeerState MyState() const;

  // Sets the function that is called whenever a revision becomes active or a
  // host list is adopted, on the thread that received it. Must be called before
  // Start.
  void SetListener(std::function<void()> listener) {
    listener_ = std::move(listener);
  }

 private:
  void RunService();
  void RunCompare();
  void RunPush();
  void ReadDocument();
  // Applies a JSON ChangeLog. If the changes come from the configuration
  // service and the base of the latest change is not active here, reads the
  // whole document from the service.
  void ApplyChanges(const std::string& changes_json, ConfigSource source);
  void WatchOnce();
  // Waits for the poll interval, then reads the changes once.
  void PollOnce();
  // Waits for `interval`, but while the node is isolated (no peer answers its
  // comparisons) at most for kIsolatedPollInterval. Returns false if Stop is
  // called.
  bool WaitForPoll(Millis interval);
  void ReadHosts();
  void Bootstrap();
  bool CompareWith(const std::string& address);
  void ApplyUpdate(const PeerUpdate& update);
  void PushTo(const std::string& address);
  std::optional<PeerState> SendUpdate(const std::string& address,
                                      const PeerUpdate& update);
  // Returns an update that contains only the latest change, if it is stored,
  // and the host list.
  PeerUpdate LatestChangeUpdate() const;
  void OfferDocument(const std::string& document, ConfigSource source);
  // Counts the result of an offered configuration or host list. If it was
  // adopted, calls the listener and schedules a push to the node's children.
  void HandleOfferResult(OfferResult offer);
  std::shared_ptr<const DisseminationPlan> Plan();
  std::vector<std::string> BootstrapPeers();
  PeerUpdate UpdateFor(const PeerState& theirs) const;
  bool Sleep(Millis time);
  // Returns `time` with random jitter of up to 25% in either direction.
  Millis Jittered(Millis time) const;

  NodeSettings settings_;
  ConfigFeedPorts ports_;
  std::function<void()> listener_;
  std::atomic<bool> ready_{false};
  // When this node last adopted a configuration or a host list, in milliseconds
  // of the monotonic clock.
  std::atomic<std::int64_t> in_force_since_{0};
  std::atomic<bool> stopping_{false};
  // Number of consecutive comparisons without an answer.
  std::atomic<int> compare_failures_{0};
  std::mutex mutex_;
  std::condition_variable wake_;
  bool push_due_ = false;
  std::uint64_t watch_version_ = 0;
  Millis service_backoff_{0};
  std::shared_ptr<const DisseminationPlan> plan_;
  Revision plan_revision_;
  std::vector<std::thread> threads_;
  Counter* service_calls_;
  Counter* service_errors_;
  Counter* peer_calls_;
  Counter* peer_errors_;
  Counter* bytes_sent_;
  Counter* bytes_received_;
  log4cxx::LoggerPtr log_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_NODE_CONFIG_FEED_H_
