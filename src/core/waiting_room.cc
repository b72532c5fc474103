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

// Less than any other key.
constexpr SortKey kBeforeAll{-1e9, -1e9};

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

bool CanStillBeInTime(const Waiter& waiter, TimePoint now) {
  return SpareOf(waiter, now) >= Urgency(0);
}

Urgency UrgencyOf(const Waiter& waiter, TimePoint now) {
  // More than any request has to spare, so that those which cannot be in time
  // follow, the quickest first.
  constexpr Urgency kLate{1e7};
  constexpr Urgency kLateStranger{2e7};
  const Urgency spare = SpareOf(waiter, now);
  if (spare >= Urgency(0)) {
    return spare;
  }
  return (waiter.was_promised ? kLate : kLateStranger) + waiter.service;
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
    const SortKey key = now >= waiter.first_from
                            ? kBeforeAll
                            : std::visit(KeyOf{waiter, now}, order_);
    keys.emplace_back(key, id);
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

FractionalMillis WaitingRoom::WorkOf(bool in_time) const {
  const TimePoint now = clock_();
  FractionalMillis sum(0);
  for (const auto& [id, waiter] : waiters_) {
    if (CanStillBeInTime(waiter, now) == in_time) {
      sum += waiter.work;
    }
  }
  return sum;
}

FractionalMillis WaitingRoom::WorkInTime() const { return WorkOf(true); }

FractionalMillis WaitingRoom::LateWork() const { return WorkOf(false); }

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
