#include "harecrank/core/wait_queue.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace harecrank {

namespace {

Urgency SpareOf(const WaitingRequest& waiter, TimePoint now) {
  return Urgency(waiter.first_event_due - now) - waiter.service;
}

// What a waiter is sorted by, the least first: the order's own figure, and the
// urgency of those that are equal in it.
using SortKey = std::pair<FractionalMillis, Urgency>;

// What goes before that: whether a waiter is late, and whether its account has
// had its share. The same for all while no account has.
using Rank = std::pair<bool, bool>;
// Less than any other key.
constexpr SortKey kBeforeAll{-1e9, -1e9};

struct KeyOf {
  const WaitingRequest& waiter;
  TimePoint now;

  SortKey operator()(LeastSlackFirst /*order*/) const {
    return {UrgencyOf(waiter, now), Urgency(0)};
  }
  SortKey operator()(MostSlackFirst /*order*/) const {
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

bool CanMeetTarget(const WaitingRequest& waiter, TimePoint now) {
  return SpareOf(waiter, now) >= Urgency(0);
}

Urgency UrgencyOf(const WaitingRequest& waiter, TimePoint now) {
  // More than any request has to spare, so that those which cannot be in time
  // follow, the quickest first.
  constexpr Urgency kLate{1e7};
  constexpr Urgency kLateStranger{2e7};
  const Urgency spare = SpareOf(waiter, now);
  if (spare >= Urgency(0)) {
    return spare;
  }
  return (waiter.has_reservation ? kLate : kLateStranger) + waiter.service;
}

WaitQueue::WaitQueue(MonotonicClock clock, QueueOrder order,
                     bool shares_by_account)
    : clock_(std::move(clock)), order_(order) {
  if (shares_by_account) {
    shares_.emplace(clock_);
  }
}

WaitingRequestId WaitQueue::Add(const WaitingRequest& waiter) {
  const WaitingRequestId id{next_id_++};
  waiters_.emplace(id, waiter);
  if (shares_.has_value()) {
    shares_->OnQueued(waiter.claim);
  }
  return id;
}

void WaitQueue::Remove(WaitingRequestId id) {
  const auto found = waiters_.find(id);
  if (found == waiters_.end()) {
    return;
  }
  if (shares_.has_value()) {
    shares_->OnDequeued(found->second.claim);
  }
  waiters_.erase(found);
}

void WaitQueue::OnGranted(const ShareClaim& claim) {
  if (shares_.has_value()) {
    shares_->OnGranted(claim);
  }
}

ShareRank WaitQueue::ShareRankOf(const ShareClaim& claim) const {
  return shares_.has_value() ? shares_->ShareRankOf(claim) : ShareRank::kEqual;
}

std::size_t WaitQueue::WaitingAccounts() const {
  return shares_.has_value() ? shares_->WaitingAccounts() : 0;
}

std::size_t WaitQueue::OverShareAccounts() const {
  return shares_.has_value() ? shares_->AccountsOverShare().size() : 0;
}

void WaitQueue::ForgetGrants() {
  if (shares_.has_value()) {
    shares_->ForgetGrants();
  }
}

std::vector<WaitingRequestId> WaitQueue::InOrder(std::size_t most) const {
  using Key = std::tuple<Rank, SortKey, WaitingRequestId>;
  const TimePoint now = clock_();
  const std::set<AccountId> sated = shares_.has_value()
                                        ? shares_->AccountsOverShare()
                                        : std::set<AccountId>();
  std::vector<Key> keys;
  keys.reserve(waiters_.size());
  for (const auto& [id, waiter] : waiters_) {
    Rank rank;
    if (!sated.empty()) {
      rank = {SpareOf(waiter, now) < Urgency(0),
              sated.count(waiter.claim.account) > 0};
    }
    SortKey key = std::visit(KeyOf{waiter, now}, order_);
    if (now >= waiter.urgent_from) {
      rank = Rank{};
      key = kBeforeAll;
    }
    keys.emplace_back(rank, key, id);
  }
  std::sort(keys.begin(), keys.end());
  keys.resize(std::min(most, keys.size()));
  std::vector<WaitingRequestId> order;
  order.reserve(keys.size());
  for (const Key& key : keys) {
    order.push_back(std::get<WaitingRequestId>(key));
  }
  return order;
}

FractionalMillis WaitQueue::WorkOf(bool in_time) const {
  const TimePoint now = clock_();
  FractionalMillis sum(0);
  for (const auto& [id, waiter] : waiters_) {
    if (CanMeetTarget(waiter, now) == in_time) {
      sum += waiter.work;
    }
  }
  return sum;
}

FractionalMillis WaitQueue::WorkInTime() const { return WorkOf(true); }

FractionalMillis WaitQueue::LateWork() const { return WorkOf(false); }

std::optional<FractionalMillis> WaitQueue::LeastLateWork() const {
  const TimePoint now = clock_();
  std::optional<FractionalMillis> least;
  for (const auto& [id, waiter] : waiters_) {
    if (SpareOf(waiter, now) < Urgency(0)) {
      least = std::min(waiter.work, least.value_or(waiter.work));
    }
  }
  return least;
}

std::optional<Urgency> WaitQueue::MostUrgent() const {
  const std::vector<WaitingRequestId> first = InOrder(1);
  if (first.empty()) {
    return std::nullopt;
  }
  return UrgencyOf(waiters_.at(first.front()), clock_());
}

}  // namespace harecrank
