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

// One request's demand for engine time, which counts toward its account's fair
// share.
struct ShareClaim {
  AccountId account;
  FractionalMillis engine_time{0};
  // Priority of the request; zero is the most urgent. Each step, up to 7,
  // doubles the engine time that is charged to the account: an account whose
  // requests all have priority 1 gets half the share of one whose requests have
  // priority 0.
  int priority = 0;
};

// Whether a new request goes before or after the waiting ones, by its account's
// fair share of engine time.
enum class ShareRank {
  // Fair shares make no difference: no request waits, no account is over its
  // share, or all accounts are.
  kEqual,
  // The account of the new request is not over its share, and an account with
  // waiting requests is.
  kBefore,
  // The account of the new request is over its share, and an account with
  // waiting requests is not.
  kAfter,
};

// Orders the accounts with waiting requests by max-min fairness over recently
// granted engine time.
//
// An account's demand is the engine time that it was recently granted plus the
// engine time for which its requests wait. The fair level is the amount of
// engine time at which the demands of all waiting accounts, each capped at the
// level, add up to the engine time that they were recently granted. An account
// is over its share if its grants reach about the fair level and its demand
// exceeds the fair level; accounts that are not over their shares go before it.
// The shares only order the accounts: an account that waits alone is never held
// back.
//
// Keeps a constant amount of state per account. Not thread-safe.
class AccountShares {
 public:
  explicit AccountShares(MonotonicClock clock) : clock_(std::move(clock)) {}

  // Charges engine time that was granted to a request.
  void OnGranted(const ShareClaim& claim);
  // Records that a request waits. The caller must call OnDequeued with an equal
  // claim once the request no longer waits.
  void OnQueued(const ShareClaim& claim);
  void OnDequeued(const ShareClaim& claim);

  // Returns the waiting accounts that are over their fair share and so go after
  // the others.
  std::set<AccountId> AccountsOverShare() const;

  // Returns how a new request with `claim` ranks against the waiting requests.
  ShareRank ShareRankOf(const ShareClaim& claim) const;

  // Clears the granted engine time of all accounts. Waiting claims stay.
  void ForgetGrants();

  std::size_t WaitingAccounts() const;
  std::size_t Count() const { return accounts_.size(); }

  // Time constant of the exponential decay of grants: after this time a grant
  // counts for 1/e. Long enough to cover several of the largest prompts, and
  // short enough that a burst of a minute ago no longer counts against its
  // account.
  static constexpr Millis kWindow{10000};
  // Maximum number of accounts with state. Above it, the account with the
  // smallest grants is evicted among those without waiting requests.
  static constexpr std::size_t kMaxAccounts = 512;
  // Fraction of the fair level that an account's grants must reach for the
  // account to be over its share. It is below 1 so that accounts with nearly
  // equal grants do not change places whenever a prompt starts.
  static constexpr double kOverShareFrom = 0.8;
  // Multiple of the fair level that an account's demand must exceed for the
  // account to be over its share. The queue of an account with less demand soon
  // empties, and delaying a prompt in it costs that account more than it helps
  // the others.
  static constexpr double kMinDemand = 1.2;

 private:
  // Granted and waiting engine time of one account, weighted by priority.
  struct Account {
    // Decayed sum of the grants as of `granted_at`.
    FractionalMillis granted{0};
    TimePoint granted_at{};
    // Sum and number of the waiting claims.
    FractionalMillis waiting{0};
    int claims = 0;
  };
  // An account with waiting requests, as input to the computation of the fair
  // level.
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
