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
                 "An account that wants less than its share goes first") {
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
                 "An account that waits alone goes after nobody") {
  shares_.OnGranted(ClaimFor(kLarge, 90000));
  shares_.OnQueued(ClaimFor(kLarge, 9000));
  CHECK(shares_.AccountsOverShare().empty());
  CHECK(shares_.ShareRankOf(ClaimFor(kLarge, 9000)) == ShareRank::kEqual);
}

TEST_CASE_METHOD(SharesFixture, "Asking for more gains an account nothing") {
  shares_.OnGranted(ClaimFor(kLarge, 10000));
  shares_.OnGranted(ClaimFor(kSmall, 4000));
  shares_.OnQueued(ClaimFor(kSmall, 90000));
  for (int repeats = 0; repeats < 100; ++repeats) {
    shares_.OnQueued(ClaimFor(kLarge, 5000));
    CHECK(shares_.AccountsOverShare() == std::set<AccountId>{kLarge});
  }
}

TEST_CASE_METHOD(SharesFixture,
                 "Accounts that have had about as much do not change places") {
  shares_.OnGranted(ClaimFor(kLarge, 10000));
  shares_.OnGranted(ClaimFor(kSmall, 9000));
  shares_.OnQueued(ClaimFor(kLarge, 9000));
  shares_.OnQueued(ClaimFor(kSmall, 9000));
  CHECK(shares_.ShareRankOf(ClaimFor(kLarge, 9000)) == ShareRank::kEqual);
}

TEST_CASE_METHOD(SharesFixture,
                 "An account that wants little more than its share is not "
                 "held back") {
  shares_.OnGranted(ClaimFor(kLarge, 10000));
  shares_.OnQueued(ClaimFor(kSmall, 500));
  CHECK(shares_.ShareRankOf(ClaimFor(kLarge, 500)) == ShareRank::kEqual);
  CHECK(shares_.ShareRankOf(ClaimFor(kLarge, 5000)) == ShareRank::kAfter);
}

TEST_CASE_METHOD(SharesFixture,
                 "A step of priority is worth twice the engine time") {
  shares_.OnGranted(ClaimFor(kLarge, 10000, 0));
  shares_.OnGranted(ClaimFor(kSmall, 5000, 1));
  shares_.OnQueued(ClaimFor(kLarge, 90000, 0));
  shares_.OnQueued(ClaimFor(kSmall, 90000, 1));
  CHECK(shares_.ShareRankOf(ClaimFor(kSmall, 100, 1)) == ShareRank::kEqual);
  shares_.OnGranted(ClaimFor(kSmall, 5000, 1));
  CHECK(shares_.AccountsOverShare() == std::set<AccountId>{kSmall});
}

TEST_CASE_METHOD(SharesFixture, "What was given long ago is forgotten") {
  shares_.OnGranted(ClaimFor(kLarge, 10000));
  now_ += 10 * AccountShares::kWindow;
  shares_.OnGranted(ClaimFor(kSmall, 1000));
  shares_.OnQueued(ClaimFor(kLarge, 9000));
  shares_.OnQueued(ClaimFor(kSmall, 9000));
  CHECK(shares_.AccountsOverShare() == std::set<AccountId>{kSmall});
}

TEST_CASE_METHOD(SharesFixture,
                 "However many accounts come, those that wait and those that "
                 "had most are kept") {
  shares_.OnQueued(ClaimFor(kSmall, 1000));
  shares_.OnGranted(ClaimFor(kLarge, 50000));
  for (int i = 0; i < 3000; ++i) {
    shares_.OnGranted(ClaimFor(AccountId{std::to_string(i)}, 10));
  }
  CHECK(shares_.Count() == AccountShares::kMaxAccounts);
  CHECK(shares_.ShareRankOf(ClaimFor(kLarge, 9000)) == ShareRank::kAfter);
  CHECK(shares_.WaitingAccounts() == 1);
}

TEST_CASE_METHOD(SharesFixture, "Forgetting what was given makes all even") {
  shares_.OnGranted(ClaimFor(kLarge, 50000));
  shares_.OnQueued(ClaimFor(kLarge, 9000));
  shares_.OnQueued(ClaimFor(kSmall, 9000));
  CHECK(shares_.AccountsOverShare().size() == 1);
  shares_.ForgetGrants();
  CHECK(shares_.ShareRankOf(ClaimFor(kSmall, 10)) == ShareRank::kEqual);
}

}  // namespace
}  // namespace harecrank
