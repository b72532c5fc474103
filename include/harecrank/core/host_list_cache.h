// What the platform's host list says, as far as routing needs it.

#ifndef HARECRANK_CORE_HOST_LIST_CACHE_H_
#define HARECRANK_CORE_HOST_LIST_CACHE_H_

#include <cstdint>
#include <memory>
#include <mutex>
#include <set>

#include "harecrank/core/rcu_cell.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// One version of the list. Versions only grow.
struct HostListVersion {
  std::uint64_t version = 0;
  // Nodes that are leaving or no longer listed as live.
  std::set<NodeId> leaving;
};

// Holds the newest version of the list that this process has heard of.
// Thread-safe; reading is wait-free.
class HostListCache {
 public:
  HostListCache();

  // Offers a version. Returns whether it was newer and is held now.
  bool Offer(HostListVersion version);

  std::shared_ptr<const HostListVersion> Current() const;

  // Returns whether the list says that `node` is leaving.
  bool IsLeaving(const NodeId& node) const;

 private:
  std::mutex mutex_;
  RcuCell<HostListVersion> current_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_HOST_LIST_CACHE_H_
