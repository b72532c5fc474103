// Caches the part of the platform's host list that routing uses: which nodes
// are leaving.

#ifndef HARECRANK_CORE_HOST_LIST_CACHE_H_
#define HARECRANK_CORE_HOST_LIST_CACHE_H_

#include <cstdint>
#include <memory>
#include <mutex>
#include <set>

#include "harecrank/core/rcu_cell.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// One version of the platform's host list. Newer versions have higher version
// numbers.
struct HostListVersion {
  std::uint64_t version = 0;
  // Nodes that the platform lists as leaving, or no longer lists as live.
  std::set<NodeId> leaving;
};

// Holds the newest version of the host list that this process has received.
// Thread-safe; reads are wait-free.
class HostListCache {
 public:
  HostListCache();

  // Stores `version` if it is newer than the current one. Returns whether it
  // was stored.
  bool Offer(HostListVersion version);

  std::shared_ptr<const HostListVersion> Current() const;

  // Returns whether the current version lists `node` as leaving.
  bool IsLeaving(const NodeId& node) const;

 private:
  std::mutex mutex_;
  RcuCell<HostListVersion> current_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_HOST_LIST_CACHE_H_
