#include "harecrank/core/waiting_room.h"

#include <algorithm>
#include <utility>

namespace harecrank {

namespace {

Urgency SpareOf(const Waiter& waiter, TimePoint now) {
  return Urgency(waiter.in_time_until - now) - waiter.service;
}

// What a waiter is sorted by, the least first: the order's own figure, and the
// urgency of those that are equal in it.
using SortKey = std::pair<FractionalMillis, Urgency>;

struct KeyOf {
  const Waiter& waiter;
  TimePoint now;

  SortKey operator()(LeastSpareFirst /*order*/) const {
    return {UrgencyOf(waiter, now), Urgency(0)};
  }
  SortKey operator()(MostSpareFirst /*order*/) const {
    const Urgency spare = SpareOf(waiter, now);
    const bool late = spare < Urgency(0);
    return {late ? UrgencyOf(waiter, now) : -spare, Urgency(0)};
  }
  SortKey operator()(LeastWorkFirst /*order*/) const {
    const Urgency urgency = UrgencyOf(waiter, now);
    const bool late = SpareOf(waiter, now) < Urgency(0);
    return {late ? urgency : waiter.work, urgency};
  }
};

}  // namespace

Urgency UrgencyOf(const Waiter& waiter, TimePoint now) {
  // More than any request has to spare, so that those which cannot be in time
  // follow, the quickest first.
  constexpr Urgency kLate{1e7};
  const Urgency spare = SpareOf(waiter, now);
  return spare < Urgency(0) ? kLate + waiter.service : spare;
}

WaitingRoom::WaitingRoom(MonotonicClock clock, WaitingOrder order)
    : clock_(std::move(clock)), order_(order) {}

WaiterId WaitingRoom::Add(const Waiter& waiter) {
  const WaiterId id{next_id_++};
  waiters_.emplace(id, waiter);
  return id;
}

std::vector<WaiterId> WaitingRoom::InOrder(std::size_t most) const {
  using Key = std::pair<SortKey, WaiterId>;
  const TimePoint now = clock_();
  std::vector<Key> keys;
  keys.reserve(waiters_.size());
  for (const auto& [id, waiter] : waiters_) {
    keys.emplace_back(std::visit(KeyOf{waiter, now}, order_), id);
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
