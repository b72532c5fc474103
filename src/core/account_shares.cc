#include "harecrank/core/account_shares.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace harecrank {

FractionalMillis AccountShares::Weighted(const ShareClaim& claim) {
  // Less urgent priorities are charged like this one, so that no account has
  // less than 1/128 of the share of an account of priority 0.
  constexpr int kLowestPriority = 7;
  return claim.engine_time *
         std::exp2(std::clamp(claim.priority, 0, kLowestPriority));
}

FractionalMillis AccountShares::GrantsOf(const Account& account) const {
  const FractionalMillis age = clock_() - account.granted_at;
  return account.granted * std::exp(-(age / FractionalMillis(kWindow)));
}

AccountShares::Account* AccountShares::FindOrAdd(const AccountId& id) {
  const auto found = accounts_.find(id);
  if (found != accounts_.end()) {
    return &found->second;
  }
  if (accounts_.size() >= kMaxAccounts) {
    EvictSmallest();
  }
  return &accounts_[id];
}

void AccountShares::EvictSmallest() {
  auto smallest = accounts_.end();
  for (auto it = accounts_.begin(); it != accounts_.end(); ++it) {
    const bool is_smaller = smallest == accounts_.end() ||
                            GrantsOf(it->second) < GrantsOf(smallest->second);
    if (it->second.claims == 0 && is_smaller) {
      smallest = it;
    }
  }
  if (smallest != accounts_.end()) {
    accounts_.erase(smallest);
  }
}

void AccountShares::OnGranted(const ShareClaim& claim) {
  Account* account = FindOrAdd(claim.account);
  account->granted = GrantsOf(*account) + Weighted(claim);
  account->granted_at = clock_();
}

void AccountShares::OnQueued(const ShareClaim& claim) {
  Account* account = FindOrAdd(claim.account);
  account->waiting += Weighted(claim);
  ++account->claims;
}

void AccountShares::OnDequeued(const ShareClaim& claim) {
  Account* account = FindOrAdd(claim.account);
  account->waiting -= Weighted(claim);
  --account->claims;
  if (account->claims <= 0) {
    // Without waiting claims the sum is zero; this discards the accumulated
    // rounding error.
    account->waiting = FractionalMillis(0);
    account->claims = 0;
  }
}

void AccountShares::ForgetGrants() {
  for (auto& [id, account] : accounts_) {
    account.granted = FractionalMillis(0);
  }
}

std::size_t AccountShares::WaitingAccounts() const {
  return static_cast<std::size_t>(
      std::count_if(accounts_.begin(), accounts_.end(),
                    [](const auto& one) { return one.second.claims > 0; }));
}

std::vector<AccountShares::Competitor> AccountShares::Competitors() const {
  std::vector<Competitor> competitors;
  for (const auto& [id, account] : accounts_) {
    if (account.claims > 0) {
      const FractionalMillis granted = GrantsOf(account);
      competitors.push_back(Competitor{id, granted, granted + account.waiting});
    }
  }
  return competitors;
}

FractionalMillis AccountShares::FairLevel(
    const std::vector<Competitor>& competitors) {
  FractionalMillis remaining(0);
  std::vector<FractionalMillis> demand;
  for (const Competitor& competitor : competitors) {
    remaining += competitor.granted;
    demand.push_back(competitor.demand);
  }
  std::sort(demand.begin(), demand.end());
  auto remaining_accounts = static_cast<double>(demand.size());
  for (const FractionalMillis one_demand : demand) {
    if (one_demand * remaining_accounts > remaining) {
      break;
    }
    remaining -= one_demand;
    --remaining_accounts;
  }
  return remaining_accounts > 0 ? remaining / remaining_accounts
                                : FractionalMillis::max();
}

std::set<AccountId> AccountShares::OverShareOf(
    const std::vector<Competitor>& competitors) {
  std::set<AccountId> over_share;
  if (competitors.size() < 2) {
    return over_share;
  }
  const FractionalMillis level = FairLevel(competitors);
  for (const Competitor& competitor : competitors) {
    if (competitor.demand > kMinDemand * level &&
        competitor.granted >= kOverShareFrom * level) {
      over_share.insert(competitor.account);
    }
  }
  return over_share;
}

std::set<AccountId> AccountShares::AccountsOverShare() const {
  return OverShareOf(Competitors());
}

ShareRank AccountShares::ShareRankOf(const ShareClaim& claim) const {
  std::vector<Competitor> competitors = Competitors();
  const auto own = std::find_if(competitors.begin(), competitors.end(),
                                [&claim](const Competitor& competitor) {
                                  return competitor.account == claim.account;
                                });
  if (own != competitors.end()) {
    own->demand += Weighted(claim);
  } else {
    const auto found = accounts_.find(claim.account);
    const FractionalMillis granted = found == accounts_.end()
                                         ? FractionalMillis(0)
                                         : GrantsOf(found->second);
    competitors.push_back(
        Competitor{claim.account, granted, granted + Weighted(claim)});
  }
  const std::set<AccountId> over_share = OverShareOf(competitors);
  if (over_share.empty() || over_share.size() == competitors.size()) {
    return ShareRank::kEqual;
  }
  return over_share.count(claim.account) > 0 ? ShareRank::kAfter
                                             : ShareRank::kBefore;
}

}  // namespace harecrank
