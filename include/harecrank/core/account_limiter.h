// Rate limits of client accounts without shared state.
//
// Each entry host admits an equal part of an account's limit. With N entry
// hosts and a limit of L tokens per second, the fleet admits at most L tokens
// per second, plus one burst per host. A burst is the larger of the host's part
// for one second and the cost of one request. An account whose calls reach only
// some of the entry hosts can use only the parts of these hosts: it may be
// limited too early, never too late.

#ifndef HARECRANK_CORE_ACCOUNT_LIMITER_H_
#define HARECRANK_CORE_ACCOUNT_LIMITER_H_

#include <optional>
#include <unordered_map>

#include "harecrank/core/clock.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// Admits or rejects the calls at one entry host, so that this host keeps to its
// part of each account's limit. Each account has a token bucket whose level may
// become negative by the cost of one request.
//
// Not thread-safe; the owner serialises calls.
class AccountLimiter {
 public:
  explicit AccountLimiter(MonotonicClock clock);

  // Charges `cost` to `account`, whose limit over the whole fleet is
  // `fleet_rate` tokens per second, shared by `entries` entry hosts (at least
  // 1). Returns nothing if the call is admitted. Otherwise charges nothing and
  // returns the time after which to retry. A `fleet_rate` of zero means no
  // limit.
  std::optional<Millis> Charge(const AccountId& account, Tokens fleet_rate,
                               int entries, Tokens cost);

  // Refunds the charge of a request that did not run.
  void Refund(const AccountId& account, Tokens cost);

  std::size_t Count() const { return buckets_.size(); }

 private:
  // The token bucket of one account.
  struct Bucket {
    // Tokens that the account may spend; negative after a request that cost
    // more than the bucket held.
    double level = 0;
    // Time of the last refill.
    TimePoint filled;
  };

  MonotonicClock clock_;
  std::unordered_map<AccountId, Bucket> buckets_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_ACCOUNT_LIMITER_H_
