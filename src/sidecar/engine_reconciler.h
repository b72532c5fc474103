// Keeps one engine's memory and models in order.

#ifndef HARECRANK_SRC_SIDECAR_ENGINE_RECONCILER_H_
#define HARECRANK_SRC_SIDECAR_ENGINE_RECONCILER_H_

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include "harecrank/core/pause_guard.h"
#include "src/adapters/logging.h"
#include "src/adapters/settings.h"
#include "src/node/node.h"
#include "src/sidecar/engine_port.h"

namespace harecrank {

// What a keeper is made from. All must outlive it.
struct EngineReconcilerPorts {
  EnginePort* engine = nullptr;
  Node* node = nullptr;
  Incarnation incarnation;
  MonotonicClock clock;
  // Returns the names of what this process knows the engine to hold for it.
  std::function<std::set<std::string>()> live_allocations;
  // Takes the engine's memory as the engine tells it.
  std::function<void(Tokens)> on_memory;
};

// Compares the engine's own account with what this process holds, releases
// what nobody owns, and gives the orders that the configuration asks for.
//
// Releasing: a holding of another incarnation was left by a process that is
// gone, and goes at once; one of this incarnation that nothing here knows goes
// when two accounts in a row show it, since a run may just be ending.
class EngineReconciler {
 public:
  EngineReconciler(const SidecarSettings& settings,
                   EngineReconcilerPorts ports);
  ~EngineReconciler();
  EngineReconciler(const EngineReconciler&) = delete;
  EngineReconciler& operator=(const EngineReconciler&) = delete;

  void Start();
  void Stop();

  // Looks at the configuration now and not at the next interval.
  void Wake();

  // Returns whether the engine has been cleaned of what an earlier process
  // left.
  bool IsReconciled() const { return reconciled_.load(); }

  // Returns whether the engine holds `model`, as of the latest account.
  bool HasModel(const ModelId& model) const;

 private:
  void Run();
  bool IsBesideEngine() const;
  void Keep();
  void Release(const EngineStatus& account);
  void GiveOrders(const EngineStatus& account);
  bool IsDue(const EngineOrder& order, const Configuration& configuration);
  bool Give(const EngineOrder& order, Revision fence);

  SidecarSettings settings_;
  EngineReconcilerPorts ports_;
  PauseGuard guard_;
  std::atomic<bool> reconciled_{false};
  std::atomic<bool> stopping_{false};
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  bool woken_ = false;
  std::set<std::string> models_;
  // Holdings of ours that nothing knew at the last account.
  std::set<std::string> suspects_;
  // When each wanted load was first seen, so that its wave is counted from
  // there.
  std::map<std::string, TimePoint> wanted_since_;
  std::thread thread_;
  Counter* released_;
  Counter* orders_;
  Counter* orders_withheld_;
  Counter* orders_failed_;
  log4cxx::LoggerPtr log_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_SIDECAR_ENGINE_RECONCILER_H_
