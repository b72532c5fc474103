// Which nodes watch the configuration service, and to which nodes each node
// pushes a new revision.
//
// Every node derives the same order of its data centre's nodes from the
// configuration in use. The first few nodes watch the service; all others form
// a tree below them. A node that misses a revision because a node above it has
// failed or is suspended gets it by comparing revisions with a random peer from
// time to time.

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
  // IP address and port of its operations server.
  std::string operations;
};

// A node's position in the dissemination tree. Immutable.
class DisseminationPlan {
 public:
  // `nodes` are all nodes of the system, in any order.
  DisseminationPlan(std::vector<NodeAddress> nodes, const NodeId& self,
                    const DataCentreId& data_centre);

  // Returns whether this node watches the configuration service.
  bool IsWatcher() const { return is_watcher_; }

  // Returns the nodes to which this node pushes a new revision.
  const std::vector<NodeAddress>& Children() const { return children_; }

  // Returns a random other node to compare revisions with, most often one of
  // the same data centre. Returns null if there is no other node.
  const NodeAddress* PickPeer(const RandomSource& random) const;

  // Returns the interval at which a node that is not a watcher polls the
  // service itself. It grows with the number of nodes, so that the rate of all
  // these polls together is bounded.
  Millis FallbackPollInterval() const;

  std::size_t NodeCount() const { return local_.size() + remote_.size() + 1; }

  // Number of nodes of a data centre that watch the service.
  static constexpr std::size_t kWatchers = 3;
  // Number of children of a node.
  static constexpr std::size_t kFanOut = 4;

 private:
  bool is_watcher_ = false;
  std::vector<NodeAddress> children_;
  std::vector<NodeAddress> local_;
  std::vector<NodeAddress> remote_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_DISSEMINATION_H_
