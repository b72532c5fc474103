#include "harecrank/core/wait_queue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace harecrank {

namespace {

Urgency SlackOf(const WaitingRequest& request, TimePoint now) {
  return Urgency(request.first_event_due - now) - request.prefill_time;
}

// Sort key of a request under a QueueOrder, smallest first: the value that the
// order compares, then a tie-breaker.
using SortKey = std::pair<FractionalMillis, Urgency>;

// Part of the queue order that is compared before the SortKey, smallest first:
// whether the request can no longer meet its latency target, and whether its
// account is over its fair share. All requests have the same rank while no
// account is over its share.
using Rank = std::pair<bool, bool>;
// Sort key of requests past their `urgent_from`; smaller than any other key.
constexpr SortKey kFirst{-1e9, -1e9};

struct KeyOf {
  const WaitingRequest& request;
  TimePoint now;

  SortKey operator()(LeastSlackFirst /*order*/) const {
    return {UrgencyOf(request, now), Urgency(0)};
  }
  SortKey operator()(MostSlackFirst /*order*/) const {
    const Urgency slack = SlackOf(request, now);
    const bool late = slack < Urgency(0);
    return {late ? UrgencyOf(request, now) : -slack, Urgency(0)};
  }
  SortKey operator()(LeastWorkFirst /*order*/) const {
    const Urgency urgency = UrgencyOf(request, now);
    const bool late = SlackOf(request, now) < Urgency(0);
    return {late ? urgency : request.work, urgency};
  }
};

}  // namespace

bool CanMeetTarget(const WaitingRequest& request, TimePoint now) {
  return SlackOf(request, now) >= Urgency(0);
}

Urgency UrgencyOf(const WaitingRequest& request, TimePoint now) {
  // Urgencies of late requests, with and without a reservation, to which the
  // prefill time is added. They exceed any slack, so late requests sort last,
  // shortest prefill time first within each group.
  constexpr Urgency kLateReserved{1e7};
  constexpr Urgency kLateUnreserved{2e7};
  const Urgency slack = SlackOf(request, now);
  if (slack >= Urgency(0)) {
    return slack;
  }
  return (request.has_reservation ? kLateReserved : kLateUnreserved) +
         request.prefill_time;
}

WaitQueue::WaitQueue(MonotonicClock clock, QueueOrder order,
                     bool shares_by_account)
    : clock_(std::move(clock)), order_(order) {
  if (shares_by_account) {
    shares_.emplace(clock_);
  }
}

WaitingRequestId WaitQueue::Add(const WaitingRequest& request) {
  const WaitingRequestId id{next_id_++};
  requests_.emplace(id, request);
  if (shares_.has_value()) {
    shares_->OnQueued(request.claim);
  }
  return id;
}

void WaitQueue::Remove(WaitingRequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return;
  }
  if (shares_.has_value()) {
    shares_->OnDequeued(found->second.claim);
  }
  requests_.erase(found);
}

void WaitQueue::OnGranted(const ShareClaim& claim) {
  if (shares_.has_value()) {
    shares_->OnGranted(claim);
  }
}

ShareRank WaitQueue::ShareRankOf(const ShareClaim& claim) const {
  return shares_.has_value() ? shares_->ShareRankOf(claim) : ShareRank::kEqual;
}

std::set<AccountId> WaitQueue::AccountsOverShare() const {
  return shares_.has_value() ? shares_->AccountsOverShare()
                             : std::set<AccountId>();
}

std::size_t WaitQueue::WaitingAccounts() const {
  return shares_.has_value() ? shares_->WaitingAccounts() : 0;
}

std::size_t WaitQueue::OverShareAccounts() const {
  return AccountsOverShare().size();
}

void WaitQueue::ForgetGrants() {
  if (shares_.has_value()) {
    shares_->ForgetGrants();
  }
}

std::vector<WaitingRequestId> WaitQueue::InOrder(std::size_t limit) const {
  using Key = std::tuple<Rank, SortKey, WaitingRequestId>;
  const TimePoint now = clock_();
  const std::set<AccountId> over_share = AccountsOverShare();
  std::vector<Key> keys;
  keys.reserve(requests_.size());
  for (const auto& [id, request] : requests_) {
    Rank rank;
    if (!over_share.empty()) {
      rank = {SlackOf(request, now) < Urgency(0),
              over_share.count(request.claim.account) > 0};
    }
    SortKey key = std::visit(KeyOf{request, now}, order_);
    if (now >= request.urgent_from) {
      rank = Rank{};
      key = kFirst;
    }
    keys.emplace_back(rank, key, id);
  }
  std::sort(keys.begin(), keys.end());
  keys.resize(std::min(limit, keys.size()));
  std::vector<WaitingRequestId> order;
  order.reserve(keys.size());
  for (const Key& key : keys) {
    order.push_back(std::get<WaitingRequestId>(key));
  }
  return order;
}

FractionalMillis WaitQueue::TotalWork(bool in_time) const {
  const TimePoint now = clock_();
  FractionalMillis sum(0);
  for (const auto& [id, request] : requests_) {
    if (CanMeetTarget(request, now) == in_time) {
      sum += request.work;
    }
  }
  return sum;
}

FractionalMillis WaitQueue::WorkInTime() const { return TotalWork(true); }

FractionalMillis WaitQueue::LateWork() const { return TotalWork(false); }

std::optional<FractionalMillis> WaitQueue::LeastLateWork() const {
  const TimePoint now = clock_();
  std::optional<FractionalMillis> least;
  for (const auto& [id, request] : requests_) {
    if (SlackOf(request, now) < Urgency(0)) {
      least = std::min(request.work, least.value_or(request.work));
    }
  }
  return least;
}

std::optional<Urgency> WaitQueue::MostUrgent() const {
  const std::vector<WaitingRequestId> first = InOrder(1);
  if (first.empty()) {
    return std::nullopt;
  }
  return UrgencyOf(requests_.at(first.front()), clock_());
}

}  // namespace harecrank
