// Queue of requests that wait for an engine with free capacity.

#ifndef HARECRANK_CORE_WAIT_QUEUE_H_
#define HARECRANK_CORE_WAIT_QUEUE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "harecrank/core/account_shares.h"
#include "harecrank/core/clock.h"
#include "harecrank/core/engine_estimate.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// Sort key of waiting requests, smallest first. For a request that can still
// meet its latency target, the urgency is the slack: the time left before its
// prefill must begin. Requests that cannot meet it have larger values than any
// slack.
using Urgency = FractionalMillis;

// Identifies one request in a WaitQueue.
using WaitingRequestId = StrongNumber<struct WaitingRequestTag, std::uint64_t>;

// The properties of a request that determine its position in the queue.
struct WaitingRequest {
  // Latest time of the first event that meets the latency target.
  TimePoint first_event_due{};
  // Prefill time of the prompt when all requested helpers take part.
  FractionalMillis prefill_time{0};
  // Prefill time of the prompt on a single engine.
  FractionalMillis work{0};
  // The request is the retry of a rejected one, for which capacity was
  // reserved. Among requests that can no longer meet their latency target, it
  // goes before those without a reservation.
  bool has_reservation = false;
  // From this time on the request goes before all others: one latency target
  // later it could no longer finish before its caller gives up.
  TimePoint urgent_from = TimePoint::max();
  // The request's demand for engine time, which counts toward its account's
  // fair share.
  ShareClaim claim{};
};

// Returns whether `request` can still meet its latency target if its prefill
// starts at `now`.
bool CanMeetTarget(const WaitingRequest& request, TimePoint now);

// Returns the urgency of `request` at `now`.
Urgency UrgencyOf(const WaitingRequest& request, TimePoint now);

// Queue orders for requests that can still meet their latency targets.
//
// Serves the request with the least slack first. Best while the engines can
// serve all requests within their targets.
struct LeastSlackFirst {};
// Serves the request with the most slack first; among requests with equal
// latency targets this is the newest. Suited to overload, where a request with
// the least slack would miss its target at the smallest prediction error.
struct MostSlackFirst {};
// Serves the request with the least engine time first. The attention cost of a
// prompt grows with the square of its length, so under overload this serves
// more of the smaller prompts and fewer of the largest.
struct LeastWorkFirst {};
using QueueOrder =
    std::variant<LeastSlackFirst, MostSlackFirst, LeastWorkFirst>;

// Priority queue of waiting requests, in this order:
//   1. requests past their `urgent_from`, oldest first;
//   2. requests that can still meet their latency target, by the QueueOrder;
//   3. the others: those with a reservation before those without, and the
//      shortest prefill time first within each group.
// With `shares_by_account`, requests of accounts that are over their fair share
// go last within groups 2 and 3. Not thread-safe.
class WaitQueue {
 public:
  explicit WaitQueue(MonotonicClock clock, QueueOrder order = {},
                     bool shares_by_account = false);

  WaitingRequestId Add(const WaitingRequest& request);
  // Does nothing if `id` is not in the queue.
  void Remove(WaitingRequestId id);

  // Charges engine time that was granted to a request, whether or not it waited
  // here.
  void OnGranted(const ShareClaim& claim);

  // Returns how a new request with `claim` ranks against the requests in the
  // queue. Always kEqual without `shares_by_account`.
  ShareRank ShareRankOf(const ShareClaim& claim) const;

  // Returns the accounts with waiting requests that have used more than their
  // fair share. Empty without `shares_by_account`.
  std::set<AccountId> AccountsOverShare() const;

  // Return the number of accounts with waiting requests, and how many of these
  // accounts are over their fair share. Both are zero without
  // `shares_by_account`.
  std::size_t WaitingAccounts() const;
  std::size_t OverShareAccounts() const;

  // Clears the record of granted engine time. Must be called when another host
  // has made placements for a time, since the local record is then out of date.
  void ForgetGrants();

  // Returns the first `limit` requests in queue order, or all if there are
  // fewer.
  std::vector<WaitingRequestId> InOrder(std::size_t limit) const;

  // `id` must be in the queue.
  const WaitingRequest& Find(WaitingRequestId id) const {
    return requests_.at(id);
  }

  // Return the total work of the requests that can still meet their latency
  // targets (WorkInTime), and of those that cannot (LateWork).
  FractionalMillis WorkInTime() const;
  FractionalMillis LateWork() const;

  // Returns the urgency of the first request, or nothing if the queue is empty.
  std::optional<Urgency> MostUrgent() const;

  // Returns the least work among the requests that can no longer meet their
  // latency targets, or nothing if there are none.
  std::optional<FractionalMillis> LeastLateWork() const;

  bool IsEmpty() const { return requests_.empty(); }
  std::size_t Count() const { return requests_.size(); }

 private:
  FractionalMillis TotalWork(bool in_time) const;

  MonotonicClock clock_;
  QueueOrder order_;
  // Unset if requests are not ordered by account.
  std::optional<AccountShares> shares_;
  std::uint64_t next_id_ = 1;
  std::map<WaitingRequestId, WaitingRequest> requests_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_WAIT_QUEUE_H_
