#include "harecrank/core/account_limiter.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

const AccountId kTinta{"tinta"};

struct Fixture {
  TimePoint now{};
  AccountLimiter limiter{[this] { return now; }};
};

TEST_CASE_METHOD(Fixture, "An account without a limit is never rejected") {
  for (int i = 0; i < 100; ++i) {
    CHECK_FALSE(limiter.Charge(kTinta, Tokens{0}, 1, Tokens{1000000}));
  }
}

TEST_CASE_METHOD(Fixture, "A call is admitted after the returned wait") {
  CHECK_FALSE(limiter.Charge(kTinta, Tokens{1000}, 1, Tokens{3000}));
  const auto wait = limiter.Charge(kTinta, Tokens{1000}, 1, Tokens{10});
  REQUIRE(wait);
  now += *wait;
  CHECK_FALSE(limiter.Charge(kTinta, Tokens{1000}, 1, Tokens{10}));
}

TEST_CASE_METHOD(Fixture, "All hosts together keep to the limit over time") {
  constexpr int kHosts = 8;
  constexpr std::int64_t kLimit = 8000;
  std::vector<AccountLimiter> hosts(kHosts,
                                    AccountLimiter([this] { return now; }));
  std::int64_t admitted = 0;
  constexpr int kSeconds = 60;
  constexpr std::int64_t kCost = 100;
  for (int tick = 0; tick < kSeconds * 100; ++tick) {
    for (AccountLimiter& host : hosts) {
      if (!host.Charge(kTinta, Tokens{kLimit}, kHosts, Tokens{kCost})) {
        admitted += kCost;
      }
    }
    now += Millis(10);
  }
  const std::int64_t max_admitted = kLimit * kSeconds + kLimit + kHosts * kCost;
  INFO("admitted " << admitted << " tokens, the limit is " << max_admitted);
  CHECK(admitted <= max_admitted);
  CHECK(admitted >= kLimit * kSeconds * 95 / 100);
}

TEST_CASE_METHOD(Fixture, "A refunded request costs nothing") {
  CHECK_FALSE(limiter.Charge(kTinta, Tokens{1000}, 1, Tokens{5000}));
  limiter.Refund(kTinta, Tokens{5000});
  CHECK_FALSE(limiter.Charge(kTinta, Tokens{1000}, 1, Tokens{10}));
}

}  // namespace
}  // namespace harecrank
