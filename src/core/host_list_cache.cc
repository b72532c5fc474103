#include "harecrank/core/host_list_cache.h"

#include <utility>

namespace harecrank {

HostListCache::HostListCache()
    : current_(std::make_shared<const HostListVersion>()) {}

bool HostListCache::Offer(HostListVersion version) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (version.version <= current_.Load()->version) {
    return false;
  }
  current_.Store(std::make_shared<const HostListVersion>(std::move(version)));
  return true;
}

std::shared_ptr<const HostListVersion> HostListCache::Current() const {
  return current_.Load();
}

bool HostListCache::IsLeaving(const NodeId& node) const {
  return current_.Load()->leaving.count(node) > 0;
}

}  // namespace harecrank
