#include "harecrank/core/endpoint_rate_limits.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <string>

namespace harecrank {
namespace {

const EndpointId kEndpoint{"e0"};
constexpr RequestRate kRate{1.6};

bool IsUnreadable(const std::string& text) {
  return std::holds_alternative<UnreadableRateLimit>(ParseRateLimit(text));
}

double Read(const std::string& text) {
  return std::get<RequestRate>(ParseRateLimit(text)).value;
}

TEST_CASE("A limit is a decimal number that is not below zero") {
  CHECK(Read("1.6") == 1.6);
  CHECK(Read(" 2\t") == 2);
  CHECK(Read("0") == 0);
  CHECK(Read("0.001") == 0.001);
  CHECK(Read("1e300") == kMaxRequestRate);
  for (const char* text :
       {"", " ", "-1", "-0.1", "nan", "inf", "-inf", "1.6 a second", "one",
        "1,6", "0x10", "1.6;2", "1e999", "--1"}) {
    CAPTURE(text);
    CHECK(IsUnreadable(text));
  }
}

class LimitsFixture {
 protected:
  void Pass(Millis time) { now_ += time; }

  RateLimitChange Names(RequestRate rate) {
    return limits_.OnAnswer(kEndpoint, rate, now_);
  }
  RateLimitChange NamesNone() {
    return limits_.OnAnswer(kEndpoint, NoRateLimit{}, now_);
  }
  RateLimitChange IsTold(std::optional<RequestRate> rate, Millis age) {
    return limits_.MergeFromPeer(RateLimitReport{kEndpoint, rate, age});
  }
  bool IsBounded() const { return limits_.StartLimitOf(kEndpoint).has_value(); }
  double PerSecond() const {
    const StartLimit bound = *limits_.StartLimitOf(kEndpoint);
    return *bound.per_second * bound.multiplier;
  }

  TimePoint now_{std::chrono::hours(1)};
  MonotonicClock clock_ = [this] { return now_; };
  EndpointRateLimits limits_{clock_};
};

TEST_CASE_METHOD(LimitsFixture, "An endpoint that names a limit has a bound") {
  CHECK_FALSE(IsBounded());
  CHECK(NamesNone() == RateLimitChange::kNone);
  CHECK(Names(kRate) == RateLimitChange::kAdvertised);
  CHECK(Names(kRate) == RateLimitChange::kNone);
  CHECK(PerSecond() == kRate.value);
  CHECK(limits_.StartLimitOf(kEndpoint)->max_starts == Approx(14.6));
  CHECK(limits_.AdvertisedRate(kEndpoint) == kRate);
  CHECK(limits_.Count() == 1);
}

TEST_CASE_METHOD(LimitsFixture, "The last limit that was named holds") {
  Names(kRate);
  CHECK(Names(RequestRate{0.5}) == RateLimitChange::kChanged);
  CHECK(PerSecond() == 0.5);
  CHECK(Names(RequestRate{50}) == RateLimitChange::kChanged);
  CHECK(PerSecond() == 50);
}

TEST_CASE_METHOD(LimitsFixture, "A limit of zero allows nothing") {
  Names(RequestRate{0});
  CHECK(PerSecond() == 0);
}

TEST_CASE_METHOD(LimitsFixture,
                 "A limit that cannot be read stands for the one before") {
  CHECK(limits_.OnAnswer(kEndpoint, UnreadableRateLimit{}, now_) ==
        RateLimitChange::kNone);
  CHECK_FALSE(IsBounded());
  Names(kRate);
  Pass(EndpointRateLimits::kMinValidity - Millis(1));
  limits_.OnAnswer(kEndpoint, UnreadableRateLimit{}, now_);
  Pass(EndpointRateLimits::kMinValidity - Millis(1));
  CHECK(limits_.AdvertisedRate(kEndpoint) == kRate);
}

TEST_CASE_METHOD(LimitsFixture,
                 "A limit that ends is lifted step by step, and comes back") {
  Names(kRate);
  Pass(Millis(1));
  CHECK(NamesNone() == RateLimitChange::kEnded);
  CHECK(PerSecond() == kRate.value);
  Pass(EndpointRateLimits::kDoublingPeriod);
  CHECK(PerSecond() == Approx(2 * kRate.value));
  Pass(EndpointRateLimits::kDoublingPeriod);
  CHECK(PerSecond() == Approx(4 * kRate.value));
  CHECK(Names(kRate) == RateLimitChange::kAdvertised);
  CHECK(PerSecond() == kRate.value);
  Pass(Millis(1));
  NamesNone();
  Pass(EndpointRateLimits::kMaxDoublings * EndpointRateLimits::kDoublingPeriod);
  CHECK_FALSE(IsBounded());
  CHECK(limits_.TakeExpired().size() == 1);
  CHECK(limits_.TakeExpired().empty());
}

TEST_CASE_METHOD(LimitsFixture,
                 "An answer to a request of before does not end a limit") {
  const TimePoint sent_at = now_;
  Pass(Millis(5));
  Names(kRate);
  Pass(Millis(5));
  CHECK(limits_.OnAnswer(kEndpoint, NoRateLimit{}, sent_at) ==
        RateLimitChange::kNone);
  CHECK(limits_.AdvertisedRate(kEndpoint) == kRate);
}

TEST_CASE_METHOD(LimitsFixture,
                 "A limit that nobody hears of any more lapses in the end, and "
                 "is tried before") {
  Names(RequestRate{0});
  Pass(EndpointRateLimits::kMaxValidity);
  CHECK_FALSE(limits_.AdvertisedRate(kEndpoint).has_value());
  CHECK(PerSecond() == EndpointRateLimits::kProbesPerSecond);
  Pass(EndpointRateLimits::kStaleRetention);
  CHECK(PerSecond() == EndpointRateLimits::kProbesPerSecond);
  Pass(EndpointRateLimits::kDoublingPeriod);
  CHECK(PerSecond() == Approx(2 * EndpointRateLimits::kProbesPerSecond));
  Pass(EndpointRateLimits::kMaxDoublings * EndpointRateLimits::kDoublingPeriod);
  CHECK_FALSE(IsBounded());
}

TEST_CASE_METHOD(LimitsFixture, "What another host tells holds here too") {
  CHECK(IsTold(kRate, Millis(200)) == RateLimitChange::kAdvertised);
  CHECK(limits_.AdvertisedRate(kEndpoint) == kRate);
  CHECK(IsTold(std::nullopt, Millis(0)) == RateLimitChange::kEnded);
  CHECK_FALSE(limits_.AdvertisedRate(kEndpoint).has_value());
  CHECK(IsBounded());
}

TEST_CASE_METHOD(LimitsFixture, "What is told too late says nothing") {
  CHECK(IsTold(kRate, EndpointRateLimits::kMinValidity) ==
        RateLimitChange::kNone);
  CHECK_FALSE(IsBounded());
  CHECK(IsTold(std::nullopt, Millis(0)) == RateLimitChange::kNone);
  CHECK_FALSE(IsBounded());
}

TEST_CASE_METHOD(LimitsFixture,
                 "What no endpoint can have named is not taken") {
  for (const double rate : {-1.0, std::nan(""), 1e300}) {
    CHECK(IsTold(RequestRate{rate}, Millis(0)) == RateLimitChange::kNone);
    CHECK_FALSE(IsBounded());
  }
  // An age in the future is none.
  IsTold(kRate, Millis(-100000));
  Pass(EndpointRateLimits::kMinValidity);
  CHECK_FALSE(limits_.AdvertisedRate(kEndpoint).has_value());
}

TEST_CASE_METHOD(LimitsFixture, "An older word changes nothing") {
  Names(kRate);
  Pass(Millis(500));
  NamesNone();
  Pass(Millis(100));
  // Of an answer before the one that named none.
  CHECK(IsTold(kRate, Millis(400)) == RateLimitChange::kNone);
  CHECK_FALSE(limits_.AdvertisedRate(kEndpoint).has_value());
  Names(kRate);
  CHECK(IsTold(std::nullopt, Millis(50)) == RateLimitChange::kNone);
  CHECK(IsTold(RequestRate{9}, Millis(50)) == RateLimitChange::kNone);
  CHECK(limits_.AdvertisedRate(kEndpoint) == kRate);
}

TEST_CASE("A word that goes round between hosts keeps no limit alive") {
  TimePoint now{std::chrono::hours(1)};
  const MonotonicClock clock = [&now] { return now; };
  EndpointRateLimits here(clock);
  EndpointRateLimits there(clock);
  here.OnAnswer(kEndpoint, kRate, now);
  const auto tell = [&now](const EndpointRateLimits& from,
                           EndpointRateLimits* to) {
    const std::vector<RateLimitReport> reports = from.Reports();
    now += EndpointRateLimits::kMaxMessageDelay;
    for (const RateLimitReport& report : reports) {
      to->MergeFromPeer(report);
    }
  };
  const TimePoint heard = now;
  while (now - heard < 2 * EndpointRateLimits::kMinValidity) {
    tell(here, &there);
    tell(there, &here);
  }
  CHECK_FALSE(here.AdvertisedRate(kEndpoint).has_value());
  CHECK_FALSE(there.AdvertisedRate(kEndpoint).has_value());
}

TEST_CASE_METHOD(LimitsFixture, "The newest are told, as many as fit") {
  const auto many = static_cast<int>(EndpointRateLimits::kMaxReports) + 10;
  for (int i = 0; i < many; ++i) {
    limits_.OnAnswer(EndpointId{std::to_string(i)}, kRate, now_);
    Pass(Millis(1));
  }
  const std::vector<RateLimitReport> reports = limits_.Reports();
  REQUIRE(reports.size() == EndpointRateLimits::kMaxReports);
  CHECK(reports.front().endpoint.value == std::to_string(many - 1));
  CHECK(reports.front().age == Millis(1));
}

TEST_CASE_METHOD(LimitsFixture, "No host can fill another's memory") {
  for (std::size_t i = 0; i < EndpointRateLimits::kMaxEndpoints + 100; ++i) {
    limits_.MergeFromPeer(
        RateLimitReport{EndpointId{std::to_string(i)}, kRate, Millis(0)});
  }
  CHECK(limits_.LimitedEndpoints().size() == EndpointRateLimits::kMaxEndpoints);
}

}  // namespace
}  // namespace harecrank
