// Limits of client accounts, kept without shared state.
//
// Each entry host lets through its even part of an account's limit. With N
// entry hosts and a limit of L tokens a second the fleet lets through at most
// L tokens a second plus, at once, N bursts of the greater of one second's
// part and one request. An account whose calls reach only some of the hosts
// gets only their parts: the error is to the side of refusing.

#ifndef HARECRANK_CORE_ACCOUNT_LIMITER_H_
#define HARECRANK_CORE_ACCOUNT_LIMITER_H_

#include <optional>
#include <unordered_map>

#include "harecrank/core/clock.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// One entry host's parts of the accounts' limits, as token buckets that may go
// into debt by one request.
//
// Not thread-safe; its owner serialises calls.
class AccountLimiter {
 public:
  explicit AccountLimiter(MonotonicClock clock);

  // Charges `cost` to `account`, whose limit over the whole fleet is
  // `fleet_rate` tokens a second, shared by `entries` hosts (at least 1).
  // Returns nothing if the call may go on, or else after how long to come
  // back. A `fleet_rate` of zero limits nothing.
  std::optional<Millis> Charge(const AccountId& account, Tokens fleet_rate,
                               int entries, Tokens cost);

  // Gives back what was charged for a request that did not run.
  void Refund(const AccountId& account, Tokens cost);

  std::size_t Count() const { return buckets_.size(); }

 private:
  struct Bucket {
    double level = 0;
    TimePoint filled;
  };

  MonotonicClock clock_;
  std::unordered_map<AccountId, Bucket> buckets_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_ACCOUNT_LIMITER_H_
