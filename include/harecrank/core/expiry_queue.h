// Which of many keys have expired, found without a look at those that have not.

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

// Not thread-safe.
template <typename Key>
class ExpiryQueue {
 public:
  // `key` is held up to `until`, or for longer if it was held so before.
  // Returns whether it was not held.
  bool Hold(const Key& key, TimePoint until) {
    const auto [held, is_new] = held_.try_emplace(key, until);
    if (is_new) {
      due_.emplace(until, key);
      return true;
    }
    held->second = std::max(held->second, until);
    return false;
  }

  // Drops the keys that were held up to a time before `now`, and calls
  // `on_expired` with each. Each held key stands in the queue once, so a call
  // costs the expired ones and those whose time was prolonged since they were
  // queued.
  template <typename OnExpired>
  void Expire(TimePoint now, const OnExpired& on_expired) {
    while (!due_.empty() && due_.top().first < now) {
      const Key key = due_.top().second;
      due_.pop();
      const auto held = held_.find(key);
      if (held == held_.end()) {
        continue;
      }
      if (held->second < now) {
        held_.erase(held);
        on_expired(key);
      } else {
        due_.emplace(held->second, key);
      }
    }
  }

  bool Holds(const Key& key) const { return held_.count(key) > 0; }
  std::size_t Count() const { return held_.size(); }

 private:
  using Due = std::pair<TimePoint, Key>;

  std::map<Key, TimePoint> held_;
  std::priority_queue<Due, std::vector<Due>, std::greater<Due>> due_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_EXPIRY_QUEUE_H_
