#include "harecrank/core/dissemination.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

namespace harecrank {
namespace {

std::vector<NodeAddress> MakeNodes(int count, int data_centres) {
  std::vector<NodeAddress> nodes;
  nodes.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    nodes.push_back(NodeAddress{
        NodeId{"n" + std::to_string(i)},
        DataCentreId{"dc" + std::to_string(i % data_centres)}, "127.0.0.1:1"});
  }
  return nodes;
}

TEST_CASE(
    "Every node of a data centre is in the tree below one of its watchers") {
  const auto nodes = MakeNodes(900, 3);
  std::map<std::string, DisseminationPlan> plans;
  std::vector<std::string> watchers;
  for (const NodeAddress& node : nodes) {
    if (node.data_centre.value != "dc0") {
      continue;
    }
    const auto plan =
        plans
            .emplace(node.id.value,
                     DisseminationPlan(nodes, node.id, node.data_centre))
            .first->second;
    CHECK(plan.Children().size() <= DisseminationPlan::kFanOut);
    if (plan.IsWatcher()) {
      watchers.push_back(node.id.value);
    }
  }
  CHECK(watchers.size() == DisseminationPlan::kWatchers);
  std::set<std::string> reached(watchers.begin(), watchers.end());
  std::vector<std::string> level = watchers;
  int depth = 0;
  while (!level.empty()) {
    std::vector<std::string> next;
    for (const std::string& id : level) {
      for (const NodeAddress& child : plans.at(id).Children()) {
        INFO(child.id.value << " has two parents");
        CHECK(reached.insert(child.id.value).second);
        next.push_back(child.id.value);
      }
    }
    level = next;
    ++depth;
  }
  CHECK(reached.size() == 300);
  CHECK(depth <= 5);
}

TEST_CASE("The rate of fallback polls is bounded for any number of nodes") {
  const auto nodes = MakeNodes(4510, 14);
  const DisseminationPlan plan(nodes, NodeId{"n5"}, DataCentreId{"dc5"});
  const double polls_per_second =
      4510.0 * 1000.0 /
      static_cast<double>(plan.FallbackPollInterval().count());
  INFO("all nodes together poll " << polls_per_second << " times a second");
  CHECK(polls_per_second <= 51);
}

TEST_CASE("Some peers are in other data centres") {
  const auto nodes = MakeNodes(30, 3);
  const DisseminationPlan plan(nodes, NodeId{"n0"}, DataCentreId{"dc0"});
  std::uint64_t drawn = 0;
  int remote = 0;
  for (int i = 0; i < 100; ++i) {
    const NodeAddress* peer = plan.PickPeer([&] { return drawn++; });
    REQUIRE(peer != nullptr);
    CHECK(peer->id.value != "n0");
    remote += peer->data_centre.value == "dc0" ? 0 : 1;
  }
  CHECK(remote > 0);
}

TEST_CASE("A single node has no peer") {
  const DisseminationPlan plan({}, NodeId{"n0"}, DataCentreId{"dc0"});
  CHECK(plan.IsWatcher());
  CHECK(plan.PickPeer([] { return std::uint64_t{0}; }) == nullptr);
}

}  // namespace
}  // namespace harecrank
