#include "src/sidecar/engine_reconciler.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "harecrank/core/weight_loads.h"

namespace harecrank {
namespace {

namespace leaf = boost::leaf;

// A decision older than this was overtaken by a pause.
constexpr Millis kMostDecisionAge{500};

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

// Returns the endpoints that will load the same weights.
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
      guard_(kMostDecisionAge, ports_.clock) {
  Metrics* metrics = ports_.node->GetMetrics();
  released_ = metrics->GetCounter("harecrank_engine_orphans_released_total");
  orders_ = metrics->GetCounter("harecrank_engine_orders_total");
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
    woken_ = true;
  }
  wake_.notify_all();
}

bool EngineReconciler::HasModel(const ModelId& model) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return models_.count(model.value) > 0;
}

void EngineReconciler::Run() {
  while (!stopping_) {
    Keep();
    std::unique_lock<std::mutex> lock(mutex_);
    wake_.wait_for(lock, settings_.reconcile_interval,
                   [this] { return woken_ || stopping_.load(); });
    woken_ = false;
  }
}

bool EngineReconciler::IsBesideEngine() const {
  const auto configuration = ports_.node->InForce();
  const v1::Endpoint* self =
      configuration == nullptr ? nullptr
                               : configuration->FindEndpoint(
                                     EndpointId{settings_.node.node_id.value});
  return self != nullptr && self->has_engine();
}

void EngineReconciler::Keep() {
  // A plain service must not get calls that are meant for an engine.
  if (!IsBesideEngine()) {
    return;
  }
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        guard_.OnDecision();
        BOOST_LEAF_AUTO(account, ports_.engine->GetStatus());
        ports_.on_memory(account.memory);
        {
          const std::lock_guard<std::mutex> lock(mutex_);
          models_.clear();
          for (const auto& model : account.models) {
            models_.insert(model.first);
          }
        }
        Release(account);
        GiveOrders(account);
        return {};
      },
      [] {
        // An engine that is down is seen by the requests that fail on it.
      });
}

void EngineReconciler::Release(const EngineStatus& account) {
  const std::set<std::string> live = ports_.live_allocations();
  std::set<std::string> suspects;
  bool clean = true;
  for (const EngineAllocation& holding : account.allocations) {
    const bool ours = holding.owner == ports_.incarnation;
    if (ours && live.count(holding.id.value) > 0) {
      continue;
    }
    if (ours && suspects_.count(holding.id.value) == 0) {
      suspects.insert(holding.id.value);
      continue;
    }
    released_->Add();
    if (!ports_.engine->Cancel(holding.id)) {
      clean = false;
    }
  }
  suspects_ = std::move(suspects);
  if (clean && !reconciled_) {
    reconciled_ = true;
    LOG4CXX_INFO(log_, "the engine holds nothing that nobody owns");
  }
}

void EngineReconciler::GiveOrders(const EngineStatus& account) {
  const auto configuration = ports_.node->InForce();
  if (configuration == nullptr || !ports_.node->IsConfigured()) {
    return;
  }
  const EndpointId self{settings_.node.node_id.value};
  for (const EngineOrder& order :
       PlanOrders(*configuration, self, account.models)) {
    if (!IsDue(order, *configuration)) {
      continue;
    }
    // One order to one account: what it changes is seen in the next.
    if (Give(order, configuration->GetRevision())) {
      Wake();
    }
    return;
  }
}

bool EngineReconciler::IsDue(const EngineOrder& order,
                             const Configuration& configuration) {
  const std::string name = std::visit(OrderName{}, order);
  const auto seen = wanted_since_.emplace(name, ports_.clock()).first->second;
  const auto loaders = std::visit(LoadersOf{configuration}, order);
  const Millis delay = WeightLoadDelay(
      name, loaders, EndpointId{settings_.node.node_id.value},
      configuration.GetDocument().policy().weight_loads_at_once(),
      loaders.empty() ? Millis(0) : settings_.weight_load_time);
  return ports_.clock() >= seen + delay;
}

bool EngineReconciler::Give(const EngineOrder& order, Revision fence) {
  const std::string name = std::visit(OrderName{}, order);
  if (!guard_.MayAct()) {
    orders_withheld_->Add();
    LOG4CXX_WARN(log_, "order withheld after a pause: " << name);
    return true;
  }
  orders_->Add();
  const bool given = leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(ports_.engine->Order(order, fence));
        return true;
      },
      [&](const EngineError& error) {
        LOG4CXX_WARN(log_, "order failed: " << name << ": " << Describe(error));
        return false;
      },
      [] { return false; });
  if (given) {
    wanted_since_.erase(name);
    LOG4CXX_INFO(log_, "order given: " << name);
  } else {
    orders_failed_->Add();
  }
  return given;
}

}  // namespace harecrank
