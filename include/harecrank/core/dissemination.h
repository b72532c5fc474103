// Who reads the configuration service, and who passes what on to whom.
//
// Every node derives the same order of its data centre's nodes from the
// configuration in force. The first few read the service; all of them form a
// tree under those. What the tree fails to bring, because a node in it is dead
// or frozen, comes by asking a random peer now and then.

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
  // IP number and port of its operations server.
  std::string operations;
};

// A node's place in the passing-on of configuration. Immutable.
class DisseminationPlan {
 public:
  // `nodes` are all nodes of the system, in any order.
  DisseminationPlan(std::vector<NodeAddress> nodes, const NodeId& self,
                    const DataCentreId& data_centre);

  // Returns whether this node should watch the configuration service.
  bool IsWatcher() const { return is_reader_; }

  // Returns the nodes that this node pushes a new revision to.
  const std::vector<NodeAddress>& Children() const { return children_; }

  // Returns a random other node, mostly of the same data centre, to compare
  // revisions with. Returns null if this node knows no other.
  const NodeAddress* PickPeer(const RandomSource& random) const;

  // Returns how often a node that is no reader should look at the service
  // itself, so that all such looks together stay within a fixed rate.
  Millis FallbackPollInterval() const;

  std::size_t NodeCount() const { return local_.size() + remote_.size() + 1; }

  static constexpr std::size_t kWatchers = 3;
  static constexpr std::size_t kFanOut = 4;

 private:
  bool is_reader_ = false;
  std::vector<NodeAddress> children_;
  std::vector<NodeAddress> local_;
  std::vector<NodeAddress> remote_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_DISSEMINATION_H_
