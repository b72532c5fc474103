// A set of keys with expiry times, from which expired keys are removed without
// scanning the other keys.

#ifndef HARECRANK_CORE_EXPIRY_QUEUE_H_
#define HARECRANK_CORE_EXPIRY_QUEUE_H_

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <utility>
#include <vector>

#include "harecrank/core/clock.h"

namespace harecrank {

// Holds keys until their expiry times, which can be extended. Not thread-safe.
template <typename Key>
class ExpiryQueue {
 public:
  // Adds `key` with the expiry time `until`, or extends the expiry time of
  // `key` to `until` if that is later. Returns whether the key was added.
  bool Extend(const Key& key, TimePoint until) {
    const auto [held, is_new] = expiries_.try_emplace(key, until);
    if (is_new) {
      queue_.emplace(until, key);
      return true;
    }
    held->second = std::max(held->second, until);
    return false;
  }

  // Removes the keys whose expiry time is before `now` and calls `on_expired`
  // with each. Each key has one entry in the priority queue, so a call visits
  // only the expired keys and the keys whose expiry time was extended after
  // they were queued.
  template <typename OnExpired>
  void Expire(TimePoint now, const OnExpired& on_expired) {
    while (!queue_.empty() && queue_.top().first < now) {
      const Key key = queue_.top().second;
      queue_.pop();
      const auto held = expiries_.find(key);
      if (held == expiries_.end()) {
        continue;
      }
      if (held->second < now) {
        expiries_.erase(held);
        on_expired(key);
      } else {
        queue_.emplace(held->second, key);
      }
    }
  }

  bool Contains(const Key& key) const { return expiries_.count(key) > 0; }
  std::size_t Count() const { return expiries_.size(); }

 private:
  // A key and the expiry time that it had when it was queued. The current
  // expiry time in `expiries_` may be later.
  using Due = std::pair<TimePoint, Key>;

  std::map<Key, TimePoint> expiries_;
  std::priority_queue<Due, std::vector<Due>, std::greater<Due>> queue_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_EXPIRY_QUEUE_H_
