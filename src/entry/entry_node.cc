#include "src/entry/entry_node.h"

#include <nlohmann/json.hpp>

#include "src/adapters/system_sources.h"

namespace harecrank {
namespace {

using nlohmann::json;

constexpr Millis kMaintainEvery{200};
constexpr Millis kDrainPoll{20};

}  // namespace

EntryNode::EntryNode(const EntrySettings& settings, const MonotonicClock& clock,
                     const RandomSource& random)
    : settings_(settings),
      clock_(clock),
      node_(settings.node, DrawIncarnation(random), clock, random),
      links_(settings.node.node_id, node_.GetIncarnation(), clock,
             node_.GetMetrics()),
      dispatcher_(DispatcherPorts{&node_, &links_, clock, random},
                  settings.routing_policy),
      callers_(settings, &node_, &dispatcher_, clock) {}

EntryNode::~EntryNode() = default;

void EntryNode::Start() {
  NodeRole role;
  role.name = "entry";
  role.dump = [this](json* dump) { Dump(dump); };
  role.on_configuration = [this] {
    dispatcher_.OnConfiguration();
    wake_.notify_all();
  };
  node_.Start(std::move(role));
  callers_.Start();
  maintenance_ = std::thread([this] { RunMaintenance(); });
}

void EntryNode::DrainAndStop() {
  const TimePoint limit = clock_() + settings_.drain_limit;
  callers_.Drain();
  while (callers_.InFlight() > 0 && clock_() < limit) {
    std::this_thread::sleep_for(kDrainPoll);
  }
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  maintenance_.join();
  callers_.Stop();
  links_.Stop();
  node_.Stop();
}

void EntryNode::RunMaintenance() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    lock.unlock();
    dispatcher_.Maintain();
    lock.lock();
    wake_.wait_for(lock, kMaintainEvery);
  }
}

void EntryNode::Dump(json* dump) {
  json links = json::array();
  for (const auto& link : links_.All()) {
    const EndpointView view = link->View();
    links.push_back({{"endpoint", link->Endpoint().value},
                     {"address", link->Address()},
                     {"usable", link->IsUsable()},
                     {"draining", link->IsDraining()},
                     {"short_backlog", view.load.short_backlog.value},
                     {"long_backlog", view.load.long_backlog.value},
                     {"free_memory", view.load.free_memory.value},
                     {"unreported", view.unreported.value},
                     {"running", view.load.running}});
  }
  (*dump)["entry"] = {{"requests_in_hand", callers_.InFlight()},
                      {"routing_policy", settings_.routing_policy},
                      {"retries_left", dispatcher_.RetriesLeft()},
                      {"limited_accounts", dispatcher_.LimitedAccounts()},
                      {"links", links}};
}

}  // namespace harecrank
