// The entry process, which runs on each entry host.

#ifndef HARECRANK_SRC_ENTRY_ENTRY_NODE_H_
#define HARECRANK_SRC_ENTRY_ENTRY_NODE_H_

#include <condition_variable>
#include <mutex>
#include <thread>

#include "src/adapters/settings.h"
#include "src/entry/caller_server.h"
#include "src/entry/dispatcher.h"
#include "src/entry/link_pool.h"
#include "src/node/node.h"

namespace harecrank {

// Runs the parts of an entry host: the server that accepts callers' requests,
// the dispatcher that runs them, and the links to the sidecars.
class EntryNode {
 public:
  EntryNode(const EntrySettings& settings, const MonotonicClock& clock,
            const RandomSource& random);
  ~EntryNode();
  EntryNode(const EntryNode&) = delete;
  EntryNode& operator=(const EntryNode&) = delete;

  // Starts all servers and threads, and returns.
  void Start();

  // Rejects new requests, waits for the requests in flight, but no longer than
  // `drain_limit` of the settings, and stops all servers and threads.
  void DrainAndStop();

 private:
  void RunMaintenance();
  void Dump(nlohmann::json* dump);

  EntrySettings settings_;
  MonotonicClock clock_;
  Node node_;
  LinkPool links_;
  Dispatcher dispatcher_;
  CallerServer callers_;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool stopping_ = false;
  std::thread maintenance_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_ENTRY_ENTRY_NODE_H_
