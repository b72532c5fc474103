// Determines which nodes watch the configuration service, and to which nodes
// each node pushes a new configuration revision.
//
// Every node sorts the nodes of its data centre in the same order, which
// depends only on the active configuration. The first kWatchers nodes of this
// order watch the configuration service; all others form a tree below them. If
// a node misses a revision because a node above it in the tree has failed or is
// suspended, it receives the revision later: nodes periodically compare
// revisions with a random peer.

#ifndef HARECRANK_CORE_DISSEMINATION_H_
#define HARECRANK_CORE_DISSEMINATION_H_

#include <string>
#include <vector>

#include "harecrank/core/clock.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// A node of the system: an entry host or a sidecar.
struct NodeAddress {
  NodeId id;
  DataCentreId data_centre;
  // IP address and port of the node's server for operators and other nodes.
  std::string operations;
};

// This node's position in the dissemination tree: whether it watches the
// configuration service, and its children. Immutable.
class DisseminationPlan {
 public:
  // `nodes` are all nodes of the system, in any order.
  DisseminationPlan(std::vector<NodeAddress> nodes, const NodeId& self,
                    const DataCentreId& data_centre);

  // Returns whether this node watches the configuration service.
  bool IsWatcher() const { return is_watcher_; }

  // Returns the nodes to which this node pushes a new configuration revision.
  const std::vector<NodeAddress>& Children() const { return children_; }

  // Returns a random other node with which this node compares configuration
  // revisions, usually one in the same data centre. Returns null if there is no
  // other node.
  const NodeAddress* PickPeer(const RandomSource& random) const;

  // Returns the interval at which a node that is not a watcher polls the
  // configuration service itself. The interval grows with the number of nodes,
  // which bounds the total rate of these polls.
  Millis FallbackPollInterval() const;

  std::size_t NodeCount() const { return local_.size() + remote_.size() + 1; }

  // Number of nodes in each data centre that watch the configuration service.
  static constexpr std::size_t kWatchers = 3;
  // Maximum number of children of a node in the dissemination tree.
  static constexpr std::size_t kFanOut = 4;

 private:
  bool is_watcher_ = false;
  std::vector<NodeAddress> children_;
  std::vector<NodeAddress> local_;
  std::vector<NodeAddress> remote_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_DISSEMINATION_H_
