#include "harecrank/core/waiting_room.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace harecrank {

WaitingRoom::WaitingRoom(MonotonicClock clock) : clock_(std::move(clock)) {}

WaiterId WaitingRoom::Add(const Waiter& waiter) {
  const WaiterId id{next_id_++};
  waiters_.emplace(id, waiter);
  return id;
}

std::vector<WaiterId> WaitingRoom::InOrder(std::size_t most) const {
  using Key = std::tuple<bool, FractionalMillis, WaiterId>;
  const TimePoint now = clock_();
  std::vector<Key> keys;
  keys.reserve(waiters_.size());
  for (const auto& [id, waiter] : waiters_) {
    const FractionalMillis spare =
        FractionalMillis(waiter.in_time_until - now) - waiter.service;
    const bool late = spare < FractionalMillis(0);
    keys.emplace_back(late, late ? waiter.service : spare, id);
  }
  std::sort(keys.begin(), keys.end());
  keys.resize(std::min(most, keys.size()));
  std::vector<WaiterId> order;
  order.reserve(keys.size());
  for (const Key& key : keys) {
    order.push_back(std::get<WaiterId>(key));
  }
  return order;
}

}  // namespace harecrank
