#include "harecrank/core/dissemination.h"

#include <algorithm>
#include <unordered_map>

#include "harecrank/core/rendezvous.h"

namespace harecrank {
namespace {

// On average, one in this many comparisons of revisions is made with a node of
// another data centre.
constexpr std::uint64_t kRemotePeerOneIn = 4;
// Total rate of the fallback polls of all nodes, unless kMinFallbackInterval
// makes it lower.
constexpr std::int64_t kFallbackPollsPerSecond = 50;
// Minimum interval between two fallback polls of a node, however few nodes
// there are.
constexpr Millis kMinFallbackInterval{30000};
constexpr std::int64_t kMillisPerSecond = 1000;

}  // namespace

DisseminationPlan::DisseminationPlan(std::vector<NodeAddress> nodes,
                                     const NodeId& self,
                                     const DataCentreId& data_centre) {
  std::vector<std::string> ids{self.value};
  std::unordered_map<std::string, NodeAddress> by_id;
  for (NodeAddress& node : nodes) {
    if (node.id == self) {
      continue;
    }
    if (node.data_centre != data_centre) {
      remote_.push_back(std::move(node));
      continue;
    }
    ids.push_back(node.id.value);
    by_id.emplace(node.id.value, node);
    local_.push_back(std::move(node));
  }
  const std::size_t count = ids.size();
  const auto order = RendezvousTop("configuration " + data_centre.value,
                                   std::move(ids), count);
  const auto self_position = std::find(order.begin(), order.end(), self.value);
  const auto index = static_cast<std::size_t>(self_position - order.begin());
  is_watcher_ = index < kWatchers;
  const std::size_t first = kWatchers + index * kFanOut;
  for (std::size_t i = first; i < first + kFanOut && i < order.size(); ++i) {
    children_.push_back(by_id.at(order[i]));
  }
}

const NodeAddress* DisseminationPlan::PickPeer(
    const RandomSource& random) const {
  const bool prefer_remote = random() % kRemotePeerOneIn == 0;
  const auto& preferred = prefer_remote ? remote_ : local_;
  const auto& other = prefer_remote ? local_ : remote_;
  const auto& pool = preferred.empty() ? other : preferred;
  if (pool.empty()) {
    return nullptr;
  }
  return &pool[random() % pool.size()];
}

Millis DisseminationPlan::FallbackPollInterval() const {
  const auto nodes = static_cast<std::int64_t>(NodeCount());
  const Millis interval{nodes * kMillisPerSecond / kFallbackPollsPerSecond};
  return std::max(interval, kMinFallbackInterval);
}

}  // namespace harecrank
