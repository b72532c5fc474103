#include "src/sidecar/engine_reconciler.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "harecrank/core/weight_loads.h"

namespace harecrank {
namespace {

namespace leaf = boost::leaf;

// Maximum time between the beginning of a reconciliation and the sending of its
// order. If more time has passed, for example because the process was paused,
// the order may be outdated and is not sent.
constexpr Millis kMaxDecisionAge{500};

// Returns the name of an order: its kind and what it loads or unloads.
struct OrderName {
  std::string operator()(const LoadModel& order) const {
    return "load " + order.model.value + " " + order.version;
  }
  std::string operator()(const UnloadModel& order) const {
    return "unload " + order.model.value;
  }
  std::string operator()(const LoadAdapter& order) const {
    return "load " + order.model.value + " adapter " + order.adapter.value +
           " " + order.version;
  }
};

// Returns the names of the endpoints that must load the weights which an order
// loads; none for an order to unload.
struct LoadersOf {
  const Configuration& configuration;

  std::vector<std::string> operator()(const LoadModel& order) const {
    return Names(order.model);
  }
  std::vector<std::string> operator()(const LoadAdapter& order) const {
    return Names(order.model);
  }
  std::vector<std::string> operator()(const UnloadModel&) const { return {}; }

  std::vector<std::string> Names(const ModelId& model) const {
    std::vector<std::string> names;
    for (const EndpointId& id : configuration.EnginesOf(model)) {
      names.push_back(id.value);
    }
    return names;
  }
};

}  // namespace

EngineReconciler::EngineReconciler(const SidecarSettings& settings,
                                   EngineReconcilerPorts ports)
    : settings_(settings),
      ports_(std::move(ports)),
      guard_(kMaxDecisionAge, ports_.clock) {
  Metrics* metrics = ports_.node->GetMetrics();
  released_ = metrics->GetCounter("harecrank_engine_orphans_released_total");
  orders_sent_ = metrics->GetCounter("harecrank_engine_orders_total");
  orders_withheld_ =
      metrics->GetCounter("harecrank_engine_orders_withheld_total");
  orders_failed_ = metrics->GetCounter("harecrank_engine_orders_failed_total");
  log_ = GetLog("engine_keeper");
}

EngineReconciler::~EngineReconciler() { Stop(); }

void EngineReconciler::Start() {
  thread_ = std::thread([this] { Run(); });
}

void EngineReconciler::Stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void EngineReconciler::Wake() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    wake_requested_ = true;
  }
  wake_.notify_all();
}

bool EngineReconciler::HasModel(const ModelId& model) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return models_.count(model.value) > 0;
}

void EngineReconciler::Run() {
  while (!stopping_) {
    Reconcile();
    std::unique_lock<std::mutex> lock(mutex_);
    wake_.wait_for(lock, settings_.reconcile_interval,
                   [this] { return wake_requested_ || stopping_.load(); });
    wake_requested_ = false;
  }
}

bool EngineReconciler::HasEngine() const {
  const auto configuration = ports_.node->InForce();
  const v1::Endpoint* self =
      configuration == nullptr ? nullptr
                               : configuration->FindEndpoint(
                                     EndpointId{settings_.node.node_id.value});
  return self != nullptr && self->has_engine();
}

void EngineReconciler::Reconcile() {
  // An endpoint without an engine is a plain service, which must not receive
  // calls that are intended for an engine.
  if (!HasEngine()) {
    return;
  }
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        guard_.OnDecision();
        BOOST_LEAF_AUTO(status, ports_.engine->GetStatus());
        ports_.on_memory(status.memory);
        {
          const std::lock_guard<std::mutex> lock(mutex_);
          models_.clear();
          for (const auto& model : status.models) {
            models_.insert(model.first);
          }
        }
        ReleaseOrphans(status);
        SendNextOrder(status);
        return {};
      },
      [] {
        // Nothing is reported here if the engine does not respond: the requests
        // to it fail and report it.
      });
}

void EngineReconciler::ReleaseOrphans(const EngineStatus& status) {
  const std::set<std::string> live = ports_.live_allocations();
  std::set<std::string> unconfirmed_orphans;
  bool all_released = true;
  for (const EngineAllocation& allocation : status.allocations) {
    const bool is_own = allocation.owner == ports_.incarnation;
    if (is_own && live.count(allocation.id.value) > 0) {
      continue;
    }
    if (is_own && unconfirmed_orphans_.count(allocation.id.value) == 0) {
      unconfirmed_orphans.insert(allocation.id.value);
      continue;
    }
    released_->Add();
    if (!ports_.engine->Cancel(allocation.id)) {
      all_released = false;
    }
  }
  unconfirmed_orphans_ = std::move(unconfirmed_orphans);
  if (all_released && !reconciled_) {
    reconciled_ = true;
    LOG4CXX_INFO(log_, "released all orphaned allocations of the engine");
  }
}

void EngineReconciler::SendNextOrder(const EngineStatus& status) {
  const auto configuration = ports_.node->InForce();
  if (configuration == nullptr || !ports_.node->IsConfigured()) {
    return;
  }
  const EndpointId self{settings_.node.node_id.value};
  for (const EngineOrder& order :
       PlanOrders(*configuration, self, status.models)) {
    if (!IsDue(order, *configuration)) {
      continue;
    }
    // Only one order is sent for each status report, because the next report
    // shows whether it took effect.
    if (SendOrder(order, configuration->GetRevision())) {
      Wake();
    }
    return;
  }
}

bool EngineReconciler::IsDue(const EngineOrder& order,
                             const Configuration& configuration) {
  const std::string name = std::visit(OrderName{}, order);
  const auto first_seen =
      required_since_.emplace(name, ports_.clock()).first->second;
  const auto loaders = std::visit(LoadersOf{configuration}, order);
  const Millis delay = WeightLoadDelay(
      name, loaders, EndpointId{settings_.node.node_id.value},
      configuration.GetDocument().policy().weight_loads_at_once(),
      loaders.empty() ? Millis(0) : settings_.weight_load_time);
  return ports_.clock() >= first_seen + delay;
}

bool EngineReconciler::SendOrder(const EngineOrder& order, Revision fence) {
  const std::string name = std::visit(OrderName{}, order);
  if (!guard_.MayAct()) {
    orders_withheld_->Add();
    LOG4CXX_WARN(log_, "order withheld after a pause: " << name);
    return true;
  }
  orders_sent_->Add();
  const bool accepted = leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(ports_.engine->Order(order, fence));
        return true;
      },
      [&](const EngineError& error) {
        LOG4CXX_WARN(log_, "order failed: " << name << ": " << Describe(error));
        return false;
      },
      [] { return false; });
  if (accepted) {
    required_since_.erase(name);
    LOG4CXX_INFO(log_, "order accepted by the engine: " << name);
  } else {
    orders_failed_->Add();
  }
  return accepted;
}

}  // namespace harecrank
