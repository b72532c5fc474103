// What each client account has lately been given of engines that are contended.
//
// The load that it answers: one account sends ten times its share, or its
// callers repeat at once, and what all wait for goes to whoever asks most.
// Engine time is shared out instead, so that no account gets more by asking
// more, and each gets all that the others leave over.

#ifndef HARECRANK_CORE_ACCOUNT_SHARES_H_
#define HARECRANK_CORE_ACCOUNT_SHARES_H_

#include <map>
#include <set>
#include <vector>

#include "harecrank/core/clock.h"
#include "harecrank/core/engine_estimate.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// What one request takes of its account's share.
struct ShareClaim {
  AccountId account;
  FractionalMillis engine_time{0};
  // Zero is the most urgent. Each step counts engine time twice: an account of
  // priority 1 has half the share of one of priority 0.
  int priority = 0;
};

// How a claim stands towards those that wait.
enum class ShareRank {
  // Nobody waits, or all have had as much of their share.
  kEqual,
  // Its account has had less than its share, and one that waits has had more.
  kBefore,
  // Its account has had more than its share, and one that waits has had less.
  kAfter,
};

// Of the accounts that wait, each may have as much as it wants up to a level
// that is the same for all, and at which all that was lately given is used. One
// that wants no more than about the level, or has had less, goes before the
// others. It
// only orders: where one account waits alone, nobody goes after anybody.
//
// Keeps one number for each account. Not thread-safe.
class AccountShares {
 public:
  explicit AccountShares(MonotonicClock clock) : clock_(std::move(clock)) {}

  void OnGranted(const ShareClaim& claim);
  // Each claim that waits must be taken back by OnDequeued when it waits no
  // more.
  void OnQueued(const ShareClaim& claim);
  void OnDequeued(const ShareClaim& claim);

  // Returns the accounts that wait and go after the others, because they have
  // had their share.
  std::set<AccountId> AccountsOverShare() const;

  // Returns how `claim`, which does not wait yet, would stand if it did.
  ShareRank ShareRankOf(const ShareClaim& claim) const;

  // Forgets what was given; who waits still waits.
  void ForgetGrants();

  std::size_t WaitingAccounts() const;
  std::size_t Count() const { return accounts_.size(); }

  // What was given counts for less and less: after this time for a 2.7th. Long
  // enough for several of the largest prompts, short enough that an account is
  // not held to a flood of the minute before.
  static constexpr Millis kWindow{10000};
  // Beyond that those that do not wait and were given the least are forgotten.
  static constexpr std::size_t kMaxAccounts = 512;
  // An account has had its share from this part of the level on. Those that are
  // about even do not change places at each prompt that starts.
  static constexpr double kOverShareFrom = 0.8;
  // And only if it wants more than so many levels, of what it was given and
  // what waits: a queue that is shorter soon passes, and holding a prompt back
  // in it costs more than it helps others.
  static constexpr double kMinDemand = 1.2;

 private:
  // Weighted engine time.
  struct Account {
    FractionalMillis given{0};
    TimePoint given_at{};
    FractionalMillis waiting{0};
    int waiters = 0;
  };
  // An account that competes.
  struct Standing {
    AccountId account;
    FractionalMillis given{0};
    FractionalMillis wanted{0};
  };

  static FractionalMillis Weighted(const ShareClaim& claim);
  static FractionalMillis LevelOf(const std::vector<Standing>& standings);
  static std::set<AccountId> OverShareOf(
      const std::vector<Standing>& standings);
  FractionalMillis GivenOf(const Account& account) const;
  std::vector<Standing> Standings() const;
  Account* Find(const AccountId& id);
  void ForgetLeast();

  MonotonicClock clock_;
  std::map<AccountId, Account> accounts_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_ACCOUNT_SHARES_H_
