// The order in which long prompts that wait for engines are tried.

#ifndef HARECRANK_CORE_WAIT_QUEUE_H_
#define HARECRANK_CORE_WAIT_QUEUE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "harecrank/core/account_shares.h"
#include "harecrank/core/clock.h"
#include "harecrank/core/engine_estimate.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// Orders requests that wait, over all hosts: the least first. While a request
// can still be in time this is the time that it has to spare.
using Urgency = FractionalMillis;

// Names one request that waits.
using WaitingRequestId = StrongNumber<struct WaitingRequestTag, std::uint64_t>;

// What the order depends on.
struct WaitingRequest {
  // Its first event is in time until then.
  TimePoint first_event_due{};
  // How long its prompt takes to read, with the helpers that it wants.
  FractionalMillis service{0};
  // How long one engine alone reads it.
  FractionalMillis work{0};
  // It was turned away before and told to come now: it goes before its like.
  bool has_reservation = false;
  // From then on it goes before all: it cannot be served at all much later.
  TimePoint urgent_from = TimePoint::max();
  // What it takes of its account's share.
  ShareClaim claim{};
};

// Returns whether `waiter` can still be in time at `now`.
bool CanMeetTarget(const WaitingRequest& waiter, TimePoint now);

// Returns how urgent `waiter` is at `now`.
Urgency UrgencyOf(const WaitingRequest& waiter, TimePoint now);

// In which order those that can still be in time are tried.
//
// The one with the least time to spare: right while all can be served in time.
struct LeastSlackFirst {};
// The one with the most, which is the newest of its like: in a flood whoever
// has the least to spare is late at the smallest error of a prediction.
struct MostSlackFirst {};
// The one that takes the least engine time. The pairs of a long prompt make its
// engine time grow with the square of its size, so that in a flood more of the
// smaller ones are served, and fewer of the largest.
struct LeastWorkFirst {};
using QueueOrder =
    std::variant<LeastSlackFirst, MostSlackFirst, LeastWorkFirst>;

// After those that can wait no longer, requests that can still be in time go
// first, in the order given; those that cannot follow, who was told to return
// before the others, and among their like the quickest first. With shares by
// account, among either of them those of accounts that have had their share go
// last. Not thread-safe.
class WaitQueue {
 public:
  explicit WaitQueue(MonotonicClock clock, QueueOrder order = {},
                     bool shares_by_account = false);

  WaitingRequestId Add(const WaitingRequest& waiter);
  void Remove(WaitingRequestId id);

  // Engines have been given to a request, whether it waited or not.
  void OnGranted(const ShareClaim& claim);

  // Returns how one that does not wait yet stands towards those that do.
  ShareRank ShareRankOf(const ShareClaim& claim) const;

  // How many accounts wait, and how many of them have had their share; zero
  // without shares.
  std::size_t WaitingAccounts() const;
  std::size_t OverShareAccounts() const;

  // Another host has given places: what was given here tells nothing more.
  void ForgetGrants();

  // Returns at most `most` of those that wait, first to last.
  std::vector<WaitingRequestId> InOrder(std::size_t most) const;

  // `id` must wait.
  const WaitingRequest& Find(WaitingRequestId id) const {
    return waiters_.at(id);
  }

  // Returns the work of all that can still be in time, and of all others.
  FractionalMillis WorkInTime() const;
  FractionalMillis LateWork() const;

  // Returns the urgency of the first that waits, if any does.
  std::optional<Urgency> MostUrgent() const;

  // Returns the least work among those that can no longer be in time; nothing
  // if there is none.
  std::optional<FractionalMillis> LeastLateWork() const;

  bool IsEmpty() const { return waiters_.empty(); }
  std::size_t Count() const { return waiters_.size(); }

 private:
  FractionalMillis WorkOf(bool in_time) const;

  MonotonicClock clock_;
  QueueOrder order_;
  // Absent: accounts are not told apart.
  std::optional<AccountShares> shares_;
  std::uint64_t next_id_ = 1;
  std::map<WaitingRequestId, WaitingRequest> waiters_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_WAIT_QUEUE_H_
