// Reconciles the state of one engine with the configuration.

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

// Dependencies of an EngineReconciler. All pointers must outlive it.
struct EngineReconcilerPorts {
  EnginePort* engine = nullptr;
  Node* node = nullptr;
  Incarnation incarnation;
  MonotonicClock clock;
  // Returns the IDs of the allocations that this process still uses.
  std::function<std::set<std::string>()> live_allocations;
  // Called with the total memory of the engine, in tokens, at each status
  // report.
  std::function<void(Tokens)> on_memory;
};

// Periodically reads the engine's status, releases orphaned allocations, and
// sends the orders to load or unload models that the configuration requires.
//
// An allocation owned by another incarnation was left by an earlier process and
// is released immediately. An allocation owned by this incarnation that no
// request uses is released only if two consecutive status reports show it,
// because its request may just be ending.
class EngineReconciler {
 public:
  EngineReconciler(const SidecarSettings& settings,
                   EngineReconcilerPorts ports);
  ~EngineReconciler();
  EngineReconciler(const EngineReconciler&) = delete;
  EngineReconciler& operator=(const EngineReconciler&) = delete;

  void Start();
  void Stop();

  // Makes the next reconciliation start immediately instead of after the
  // configured interval.
  void Wake();

  // Returns whether all allocations of earlier processes have been released.
  bool IsReconciled() const { return reconciled_.load(); }

  // Returns whether the engine had loaded `model` at the latest status report.
  bool HasModel(const ModelId& model) const;

 private:
  void Run();
  // Returns whether the configuration declares an engine for this endpoint.
  bool HasEngine() const;
  void Reconcile();
  void ReleaseOrphans(const EngineStatus& status);
  // Sends the first order that the configuration requires and that is due, if
  // there is one.
  void SendNextOrder(const EngineStatus& status);
  // Returns whether `order` may be sent now. Endpoints that load the same
  // weights send their orders after different delays, so that only a limited
  // number load at once.
  bool IsDue(const EngineOrder& order, const Configuration& configuration);
  // Sends an order. Returns false if it failed, and true if the engine accepted
  // it or if it was not sent because it may be outdated after a pause of the
  // process.
  bool SendOrder(const EngineOrder& order, Revision fence);

  SidecarSettings settings_;
  EngineReconcilerPorts ports_;
  PauseGuard guard_;
  std::atomic<bool> reconciled_{false};
  std::atomic<bool> stopping_{false};
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  bool wake_requested_ = false;
  // Models that the engine had loaded at the latest status report.
  std::set<std::string> models_;
  // Allocations of this incarnation that no request used at the latest status
  // report.
  std::set<std::string> unconfirmed_orphans_;
  // Time at which each required order was first seen. The delay that staggers
  // weight loads across endpoints is measured from this time.
  std::map<std::string, TimePoint> required_since_;
  std::thread thread_;
  Counter* released_;
  Counter* orders_sent_;
  Counter* orders_withheld_;
  Counter* orders_failed_;
  log4cxx::LoggerPtr log_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_SIDECAR_ENGINE_RECONCILER_H_
