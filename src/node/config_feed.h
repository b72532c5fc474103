// Brings configuration and the host list to this node, and passes them on.

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

// What a feed is made from. All must outlive it.
struct ConfigFeedPorts {
  ConfigServicePort* service = nullptr;
  // Null where the platform has no host list.
  HostListPort* host_list = nullptr;
  ActiveConfig* active_config = nullptr;
  HostListCache* hosts = nullptr;
  Metrics* metrics = nullptr;
  MonotonicClock clock;
  RandomSource random;
};

// Keeps the active_config at the highest revision that any reachable peer or
// the service has.
//
// One thread reads the service: a reader's waits on it, another's looks rarely.
// One thread compares revisions with a random peer at intervals. One thread
// pushes what is new to this node's children. Thread-safe.
class ConfigFeed {
 public:
  ConfigFeed(const NodeSettings& settings, ConfigFeedPorts ports);
  ~ConfigFeed();
  ConfigFeed(const ConfigFeed&) = delete;
  ConfigFeed& operator=(const ConfigFeed&) = delete;

  // Starts the threads.
  void Start();
  void Stop();

  // Returns whether this node has a configuration and has asked its peers for
  // a newer one. Until then it must not take work.
  bool IsReady() const { return ready_.load(); }

  // Answers a peer's comparison.
  PeerUpdate OnCompare(const PeerState& theirs);

  // Takes what a peer pushed, and returns what this node has afterwards.
  PeerState OnPush(const PeerUpdate& update);

  PeerState MyState() const;

  // Calls `listener` after each revision that comes into force, on the thread
  // that brought it. Set before Start.
  void SetListener(std::function<void()> listener) {
    listener_ = std::move(listener);
  }

 private:
  void RunService();
  void RunCompare();
  void RunPush();
  void ReadDocument();
  void TakeChanges(const std::string& changes_json, ConfigSource source);
  void WatchOnce();
  void LookOnce();
  bool WaitToLook(Millis interval);
  void ReadHosts();
  void Bootstrap();
  bool CompareWith(const std::string& address);
  void TakeUpdate(const PeerUpdate& update);
  void PushTo(const std::string& address);
  std::optional<PeerState> Give(const std::string& address,
                                const PeerUpdate& update);
  PeerUpdate LatestStep() const;
  void OfferDocument(const std::string& document, ConfigSource source);
  void Settle(OfferResult offer);
  std::shared_ptr<const DisseminationPlan> Plan();
  std::vector<std::string> BootstrapPeers();
  PeerUpdate UpdateFor(const PeerState& theirs) const;
  bool Sleep(Millis time);
  Millis Jittered(Millis time) const;

  NodeSettings settings_;
  ConfigFeedPorts ports_;
  std::function<void()> listener_;
  std::atomic<bool> ready_{false};
  // On this process's monotonic clock.
  std::atomic<std::int64_t> in_force_since_{0};
  std::atomic<bool> stopping_{false};
  // Comparisons in a row that brought no answer.
  std::atomic<int> failures_{0};
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
