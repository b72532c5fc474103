#include "harecrank/core/account_shares.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace harecrank {

FractionalMillis AccountShares::Weighted(const ShareClaim& claim) {
  // An account is never worth less than a 128th of the most urgent.
  constexpr int kLeastUrgent = 7;
  return claim.engine_time *
         std::exp2(std::clamp(claim.priority, 0, kLeastUrgent));
}

FractionalMillis AccountShares::GivenOf(const Account& account) const {
  const FractionalMillis age = clock_() - account.given_at;
  return account.given * std::exp(-(age / FractionalMillis(kWindow)));
}

AccountShares::Account* AccountShares::Find(const AccountId& id) {
  const auto found = accounts_.find(id);
  if (found != accounts_.end()) {
    return &found->second;
  }
  if (accounts_.size() >= kMaxAccounts) {
    ForgetLeast();
  }
  return &accounts_[id];
}

void AccountShares::ForgetLeast() {
  auto least = accounts_.end();
  for (auto it = accounts_.begin(); it != accounts_.end(); ++it) {
    const bool less = least == accounts_.end() ||
                      GivenOf(it->second) < GivenOf(least->second);
    if (it->second.waiters == 0 && less) {
      least = it;
    }
  }
  if (least != accounts_.end()) {
    accounts_.erase(least);
  }
}

void AccountShares::OnGranted(const ShareClaim& claim) {
  Account* account = Find(claim.account);
  account->given = GivenOf(*account) + Weighted(claim);
  account->given_at = clock_();
}

void AccountShares::OnQueued(const ShareClaim& claim) {
  Account* account = Find(claim.account);
  account->waiting += Weighted(claim);
  ++account->waiters;
}

void AccountShares::OnDequeued(const ShareClaim& claim) {
  Account* account = Find(claim.account);
  account->waiting -= Weighted(claim);
  --account->waiters;
  if (account->waiters <= 0) {
    // Sums of fractions leave a rest.
    account->waiting = FractionalMillis(0);
    account->waiters = 0;
  }
}

void AccountShares::ForgetGrants() {
  for (auto& [id, account] : accounts_) {
    account.given = FractionalMillis(0);
  }
}

std::size_t AccountShares::WaitingAccounts() const {
  return static_cast<std::size_t>(
      std::count_if(accounts_.begin(), accounts_.end(),
                    [](const auto& one) { return one.second.waiters > 0; }));
}

std::vector<AccountShares::Standing> AccountShares::Standings() const {
  std::vector<Standing> standings;
  for (const auto& [id, account] : accounts_) {
    if (account.waiters > 0) {
      const FractionalMillis given = GivenOf(account);
      standings.push_back(Standing{id, given, given + account.waiting});
    }
  }
  return standings;
}

FractionalMillis AccountShares::LevelOf(
    const std::vector<Standing>& standings) {
  FractionalMillis left(0);
  std::vector<FractionalMillis> wanted;
  for (const Standing& standing : standings) {
    left += standing.given;
    wanted.push_back(standing.wanted);
  }
  std::sort(wanted.begin(), wanted.end());
  auto sharers = static_cast<double>(wanted.size());
  for (const FractionalMillis want : wanted) {
    if (want * sharers > left) {
      break;
    }
    left -= want;
    --sharers;
  }
  return sharers > 0 ? left / sharers : FractionalMillis::max();
}

std::set<AccountId> AccountShares::OverShareOf(
    const std::vector<Standing>& standings) {
  std::set<AccountId> sated;
  if (standings.size() < 2) {
    return sated;
  }
  const FractionalMillis level = LevelOf(standings);
  for (const Standing& standing : standings) {
    if (standing.wanted > kMinDemand * level &&
        standing.given >= kOverShareFrom * level) {
      sated.insert(standing.account);
    }
  }
  return sated;
}

std::set<AccountId> AccountShares::AccountsOverShare() const {
  return OverShareOf(Standings());
}

ShareRank AccountShares::ShareRankOf(const ShareClaim& claim) const {
  std::vector<Standing> standings = Standings();
  const auto own = std::find_if(standings.begin(), standings.end(),
                                [&claim](const Standing& standing) {
                                  return standing.account == claim.account;
                                });
  if (own != standings.end()) {
    own->wanted += Weighted(claim);
  } else {
    const auto found = accounts_.find(claim.account);
    const FractionalMillis given =
        found == accounts_.end() ? FractionalMillis(0) : GivenOf(found->second);
    standings.push_back(
        Standing{claim.account, given, given + Weighted(claim)});
  }
  const std::set<AccountId> sated = OverShareOf(standings);
  if (sated.empty() || sated.size() == standings.size()) {
    return ShareRank::kEqual;
  }
  return sated.count(claim.account) > 0 ? ShareRank::kAfter
                                        : ShareRank::kBefore;
}

}  // namespace harecrank
