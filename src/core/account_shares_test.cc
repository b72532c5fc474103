#include "harecrank/core/account_shares.h"

#include <catch2/catch.hpp>
#include <string>

namespace harecrank {
namespace {

const AccountId kLarge{"large"};
const AccountId kSmall{"small"};

ShareClaim ClaimFor(const AccountId& account, double millis, int priority = 0) {
  return ShareClaim{account, FractionalMillis(millis), priority};
}

class SharesFixture {
 protected:
  TimePoint now_{std::chrono::hours(1)};
  AccountShares shares_{[this] { return now_; }};
};

TEST_CASE_METHOD(SharesFixture,
                 "An account that demands less than its share goes first") {
  shares_.OnGranted(ClaimFor(kLarge, 10000));
  for (int i = 0; i < 10; ++i) {
    shares_.OnQueued(ClaimFor(kLarge, 1000));
  }
  CHECK(shares_.ShareRankOf(ClaimFor(kSmall, 1000)) == ShareRank::kBefore);
  shares_.OnQueued(ClaimFor(kSmall, 1000));
  CHECK(shares_.AccountsOverShare() == std::set<AccountId>{kLarge});
  CHECK(shares_.ShareRankOf(ClaimFor(kLarge, 1000)) == ShareRank::kAfter);
}

TEST_CASE_METHOD(SharesFixture,
                 "An account that waits alone is not held back") {
  shares_.OnGranted(ClaimFor(kLarge, 90000));
  shares_.OnQueued(ClaimFor(kLarge, 9000));
  CHECK(shares_.AccountsOverShare().empty());
  CHECK(shares_.ShareRankOf(ClaimFor(kLarge, 9000)) == ShareRank::kEqual);
}

TEST_CASE_METHOD(SharesFixture,
                 "A larger demand does not improve the rank of an account") {
  shares_.OnGranted(ClaimFor(kLarge, 10000));
  shares_.OnGranted(ClaimFor(kSmall, 4000));
  shares_.OnQueued(ClaimFor(kSmall, 90000));
  for (int repeats = 0; repeats < 100; ++repeats) {
    shares_.OnQueued(ClaimFor(kLarge, 5000));
    CHECK(shares_.AccountsOverShare() == std::set<AccountId>{kLarge});
  }
}

TEST_CASE_METHOD(SharesFixture, "Accounts with about equal grants rank equal") {
  shares_.OnGranted(ClaimFor(kLarge, 10000));
  shares_.OnGranted(ClaimFor(kSmall, 9000));
  shares_.OnQueued(ClaimFor(kLarge, 9000));
  shares_.OnQueued(ClaimFor(kSmall, 9000));
  CHECK(shares_.ShareRankOf(ClaimFor(kLarge, 9000)) == ShareRank::kEqual);
}

TEST_CASE_METHOD(
    SharesFixture,
    "An account that demands little more than its share is not held "
    "back") {
  shares_.OnGranted(ClaimFor(kLarge, 10000));
  shares_.OnQueued(ClaimFor(kSmall, 500));
  CHECK(shares_.ShareRankOf(ClaimFor(kLarge, 500)) == ShareRank::kEqual);
  CHECK(shares_.ShareRankOf(ClaimFor(kLarge, 5000)) == ShareRank::kAfter);
}

TEST_CASE_METHOD(SharesFixture, "Each step of priority doubles the charge") {
  shares_.OnGranted(ClaimFor(kLarge, 10000, 0));
  shares_.OnGranted(ClaimFor(kSmall, 5000, 1));
  shares_.OnQueued(ClaimFor(kLarge, 90000, 0));
  shares_.OnQueued(ClaimFor(kSmall, 90000, 1));
  CHECK(shares_.ShareRankOf(ClaimFor(kSmall, 100, 1)) == ShareRank::kEqual);
  shares_.OnGranted(ClaimFor(kSmall, 5000, 1));
  CHECK(shares_.AccountsOverShare() == std::set<AccountId>{kSmall});
}

TEST_CASE_METHOD(SharesFixture, "Old grants decay") {
  shares_.OnGranted(ClaimFor(kLarge, 10000));
  now_ += 10 * AccountShares::kWindow;
  shares_.OnGranted(ClaimFor(kSmall, 1000));
  shares_.OnQueued(ClaimFor(kLarge, 9000));
  shares_.OnQueued(ClaimFor(kSmall, 9000));
  CHECK(shares_.AccountsOverShare() == std::set<AccountId>{kSmall});
}

TEST_CASE_METHOD(SharesFixture,
                 "Eviction spares waiting accounts and those with the largest "
                 "grants") {
  shares_.OnQueued(ClaimFor(kSmall, 1000));
  shares_.OnGranted(ClaimFor(kLarge, 50000));
  for (int i = 0; i < 3000; ++i) {
    shares_.OnGranted(ClaimFor(AccountId{std::to_string(i)}, 10));
  }
  CHECK(shares_.Count() == AccountShares::kMaxAccounts);
  CHECK(shares_.ShareRankOf(ClaimFor(kLarge, 9000)) == ShareRank::kAfter);
  CHECK(shares_.WaitingAccounts() == 1);
}

TEST_CASE_METHOD(SharesFixture,
                 "Clearing the grants makes all accounts equal") {
  shares_.OnGranted(ClaimFor(kLarge, 50000));
  shares_.OnQueued(ClaimFor(kLarge, 9000));
  shares_.OnQueued(ClaimFor(kSmall, 9000));
  CHECK(shares_.AccountsOverShare().size() == 1);
  shares_.ForgetGrants();
  CHECK(shares_.ShareRankOf(ClaimFor(kSmall, 10)) == ShareRank::kEqual);
}

}  // namespace
}  // namespace harecrank
