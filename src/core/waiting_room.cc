#include "harecrank/core/waiting_room.h"

#include <algorithm>
#include <utility>

namespace harecrank {

namespace {

Urgency SpareOf(const Waiter& waiter, TimePoint now) {
  return Urgency(waiter.in_time_until - now) - waiter.service;
}

}  // namespace

Urgency UrgencyOf(const Waiter& waiter, TimePoint now) {
  // More than any request has to spare, so that those which cannot be in time
  // follow, the quickest first.
  constexpr Urgency kLate{1e7};
  const Urgency spare = SpareOf(waiter, now);
  return spare < Urgency(0) ? kLate + waiter.service : spare;
}

WaitingRoom::WaitingRoom(MonotonicClock clock) : clock_(std::move(clock)) {}

WaiterId WaitingRoom::Add(const Waiter& waiter) {
  const WaiterId id{next_id_++};
  waiters_.emplace(id, waiter);
  return id;
}

std::vector<WaiterId> WaitingRoom::InOrder(std::size_t most) const {
  using Key = std::pair<Urgency, WaiterId>;
  const TimePoint now = clock_();
  std::vector<Key> keys;
  keys.reserve(waiters_.size());
  for (const auto& [id, waiter] : waiters_) {
    keys.emplace_back(UrgencyOf(waiter, now), id);
  }
  std::sort(keys.begin(), keys.end());
  keys.resize(std::min(most, keys.size()));
  std::vector<WaiterId> order;
  order.reserve(keys.size());
  for (const Key& key : keys) {
    order.push_back(key.second);
  }
  return order;
}

std::optional<FractionalMillis> WaitingRoom::LeastLateWork() const {
  const TimePoint now = clock_();
  std::optional<FractionalMillis> least;
  for (const auto& [id, waiter] : waiters_) {
    if (SpareOf(waiter, now) < Urgency(0)) {
      least = std::min(waiter.work, least.value_or(waiter.work));
    }
  }
  return least;
}

std::optional<Urgency> WaitingRoom::MostUrgent() const {
  const std::vector<WaiterId> first = InOrder(1);
  if (first.empty()) {
    return std::nullopt;
  }
  return UrgencyOf(waiters_.at(first.front()), clock_());
}

}  // namespace harecrank
