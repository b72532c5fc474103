// Fair shares of engine time among client accounts.
//
// Without shares, an account that sends ten times its share, or whose callers
// retry at once, gets most of the engine time for which all accounts wait.
// Here engine time is divided by max-min fairness: no account gets more by
// asking for more, and each gets all that the others leave unused.

#ifndef HARECRANK_CORE_ACCOUNT_SHARES_H_
#define HARECRANK_CORE_ACCOUNT_SHARES_H_

#include <map>
#include <set>
#include <vector>

#include "harecrank/core/clock.h"
#include "harecrank/core/engine_estimate.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// The charge of one request against its account's share.
struct ShareClaim {
  AccountId account;
  FractionalMillis engine_time{0};
  // Zero is the most urgent. Each step doubles the charge: an account of
  // priority 1 has half the share of one of priority 0.
  int priority = 0;
};

// How a claim ranks against the claims that wait.
enum class ShareRank {
  // No claims wait, or either none or all of the accounts are over their
  // shares.
  kEqual,
  // The account of the claim is not over its share, and a waiting one is.
  kBefore,
  // The account of the claim is over its share, and a waiting one is not.
  kAfter,
};

// Orders waiting accounts by max-min fairness over recently granted engine
// time.
//
// The fair level is the amount of engine time at which the demands of all
// waiting accounts, each capped at the level, add up to the engine time that
// they were recently granted. An account is over its share if its grants reach
// about that level and its demand exceeds it; all other accounts go before it.
// The shares only order the accounts: an account that waits alone is never held
// back.
//
// Keeps a constant amount of state per account. Not thread-safe.
class AccountShares {
 public:
  explicit AccountShares(MonotonicClock clock) : clock_(std::move(clock)) {}

  // Charges engine time that was granted to a request.
  void OnGranted(const ShareClaim& claim);
  // Records a waiting claim. Each call must be matched by a call of OnDequeued
  // with an equal claim once it no longer waits.
  void OnQueued(const ShareClaim& claim);
  void OnDequeued(const ShareClaim& claim);

  // Returns the waiting accounts that are over their fair share and so go after
  // the others.
  std::set<AccountId> AccountsOverShare() const;

  // Returns the rank that `claim`, which does not wait yet, would have if it
  // did.
  ShareRank ShareRankOf(const ShareClaim& claim) const;

  // Clears all grants. Waiting claims stay.
  void ForgetGrants();

  std::size_t WaitingAccounts() const;
  std::size_t Count() const { return accounts_.size(); }

  // Time constant of the exponential decay of grants: after this time a grant
  // counts for 1/e. It covers several of the largest prompts, and still does
  // not hold an account to a burst that it sent a minute ago.
  static constexpr Millis kWindow{10000};
  // Beyond this number the account with the smallest grants among those that do
  // not wait is evicted.
  static constexpr std::size_t kMaxAccounts = 512;
  // An account is over its share if its grants reach this part of the fair
  // level, so that accounts that are about even do not change places whenever a
  // prompt starts.
  static constexpr double kOverShareFrom = 0.8;
  // In addition, its demand (grants plus waiting claims) must exceed this
  // multiple of the fair level. A shorter queue soon empties, and holding back
  // a prompt in it costs that account more than it helps the others.
  static constexpr double kMinDemand = 1.2;

 private:
  // Engine times are weighted by priority.
  struct Account {
    // Decayed sum of the grants as of `granted_at`.
    FractionalMillis granted{0};
    TimePoint granted_at{};
    // Sum and number of the waiting claims.
    FractionalMillis waiting{0};
    int claims = 0;
  };
  // A waiting account.
  struct Competitor {
    AccountId account;
    FractionalMillis granted{0};
    // Grants plus waiting claims.
    FractionalMillis demand{0};
  };

  static FractionalMillis Weighted(const ShareClaim& claim);
  static FractionalMillis FairLevel(const std::vector<Competitor>& competitors);
  static std::set<AccountId> OverShareOf(
      const std::vector<Competitor>& competitors);
  // Returns the grants of `account`, decayed to the present.
  FractionalMillis GrantsOf(const Account& account) const;
  std::vector<Competitor> Competitors() const;
  Account* FindOrAdd(const AccountId& id);
  void EvictSmallest();

  MonotonicClock clock_;
  std::map<AccountId, Account> accounts_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_ACCOUNT_SHARES_H_
