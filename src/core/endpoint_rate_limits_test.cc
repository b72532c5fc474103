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

double ParsedRate(const std::string& text) {
  return std::get<RequestRate>(ParseRateLimit(text)).value;
}

TEST_CASE("ParseRateLimit accepts non-negative decimal numbers") {
  CHECK(ParsedRate("1.6") == 1.6);
  CHECK(ParsedRate(" 2\t") == 2);
  CHECK(ParsedRate("0") == 0);
  CHECK(ParsedRate("0.001") == 0.001);
  CHECK(ParsedRate("1e300") == kMaxRequestRate);
  for (const char* text :
       {"", " ", "-1", "-0.1", "nan", "inf", "-inf", "1.6 a second", "one",
        "1,6", "0x10", "1.6;2", "1e999", "--1"}) {
    CAPTURE(text);
    CHECK(IsUnreadable(text));
  }
}

class LimitsFixture {
 protected:
  void Advance(Millis time) { now_ += time; }

  RateLimitChange Advertise(RequestRate rate) {
    return limits_.OnAnswer(kEndpoint, rate, now_);
  }
  RateLimitChange AdvertiseNone() {
    return limits_.OnAnswer(kEndpoint, NoRateLimit{}, now_);
  }
  RateLimitChange MergeReport(std::optional<RequestRate> rate, Millis age) {
    return limits_.MergeFromPeer(RateLimitReport{kEndpoint, rate, age});
  }
  bool HasStartLimit() const {
    return limits_.StartLimitOf(kEndpoint).has_value();
  }
  double StartsPerSecond() const {
    const StartLimit limit = *limits_.StartLimitOf(kEndpoint);
    return *limit.per_second * limit.multiplier;
  }

  TimePoint now_{std::chrono::hours(1)};
  MonotonicClock clock_ = [this] { return now_; };
  EndpointRateLimits limits_{clock_};
};

TEST_CASE_METHOD(LimitsFixture,
                 "An advertised rate limit gives a start limit") {
  CHECK_FALSE(HasStartLimit());
  CHECK(AdvertiseNone() == RateLimitChange::kNone);
  CHECK(Advertise(kRate) == RateLimitChange::kAdvertised);
  CHECK(Advertise(kRate) == RateLimitChange::kNone);
  CHECK(StartsPerSecond() == kRate.value);
  CHECK(limits_.StartLimitOf(kEndpoint)->max_starts == Approx(14.6));
  CHECK(limits_.AdvertisedRate(kEndpoint) == kRate);
  CHECK(limits_.Count() == 1);
}

TEST_CASE_METHOD(LimitsFixture, "The last advertised limit applies") {
  Advertise(kRate);
  CHECK(Advertise(RequestRate{0.5}) == RateLimitChange::kChanged);
  CHECK(StartsPerSecond() == 0.5);
  CHECK(Advertise(RequestRate{50}) == RateLimitChange::kChanged);
  CHECK(StartsPerSecond() == 50);
}

TEST_CASE_METHOD(LimitsFixture, "A limit of zero allows no starts") {
  Advertise(RequestRate{0});
  CHECK(StartsPerSecond() == 0);
}

TEST_CASE_METHOD(LimitsFixture,
                 "An unreadable limit confirms the previous one") {
  CHECK(limits_.OnAnswer(kEndpoint, UnreadableRateLimit{}, now_) ==
        RateLimitChange::kNone);
  CHECK_FALSE(HasStartLimit());
  Advertise(kRate);
  Advance(EndpointRateLimits::kMinValidity - Millis(1));
  limits_.OnAnswer(kEndpoint, UnreadableRateLimit{}, now_);
  Advance(EndpointRateLimits::kMinValidity - Millis(1));
  CHECK(limits_.AdvertisedRate(kEndpoint) == kRate);
}

TEST_CASE_METHOD(
    LimitsFixture,
    "An ended limit is raised step by step and can be advertised again") {
  Advertise(kRate);
  Advance(Millis(1));
  CHECK(AdvertiseNone() == RateLimitChange::kEnded);
  CHECK(StartsPerSecond() == kRate.value);
  Advance(EndpointRateLimits::kDoublingPeriod);
  CHECK(StartsPerSecond() == Approx(2 * kRate.value));
  Advance(EndpointRateLimits::kDoublingPeriod);
  CHECK(StartsPerSecond() == Approx(4 * kRate.value));
  CHECK(Advertise(kRate) == RateLimitChange::kAdvertised);
  CHECK(StartsPerSecond() == kRate.value);
  Advance(Millis(1));
  AdvertiseNone();
  Advance(EndpointRateLimits::kMaxDoublings *
          EndpointRateLimits::kDoublingPeriod);
  CHECK_FALSE(HasStartLimit());
  CHECK(limits_.TakeExpired().size() == 1);
  CHECK(limits_.TakeExpired().empty());
}

TEST_CASE_METHOD(LimitsFixture,
                 "A response to an earlier request does not end a limit") {
  const TimePoint sent_at = now_;
  Advance(Millis(5));
  Advertise(kRate);
  Advance(Millis(5));
  CHECK(limits_.OnAnswer(kEndpoint, NoRateLimit{}, sent_at) ==
        RateLimitChange::kNone);
  CHECK(limits_.AdvertisedRate(kEndpoint) == kRate);
}

TEST_CASE_METHOD(LimitsFixture,
                 "A limit without confirmation is probed and finally removed") {
  Advertise(RequestRate{0});
  Advance(EndpointRateLimits::kMaxValidity);
  CHECK_FALSE(limits_.AdvertisedRate(kEndpoint).has_value());
  CHECK(StartsPerSecond() == EndpointRateLimits::kProbesPerSecond);
  Advance(EndpointRateLimits::kStaleRetention);
  CHECK(StartsPerSecond() == EndpointRateLimits::kProbesPerSecond);
  Advance(EndpointRateLimits::kDoublingPeriod);
  CHECK(StartsPerSecond() == Approx(2 * EndpointRateLimits::kProbesPerSecond));
  Advance(EndpointRateLimits::kMaxDoublings *
          EndpointRateLimits::kDoublingPeriod);
  CHECK_FALSE(HasStartLimit());
}

TEST_CASE_METHOD(LimitsFixture, "A report from another host applies") {
  CHECK(MergeReport(kRate, Millis(200)) == RateLimitChange::kAdvertised);
  CHECK(limits_.AdvertisedRate(kEndpoint) == kRate);
  CHECK(MergeReport(std::nullopt, Millis(0)) == RateLimitChange::kEnded);
  CHECK_FALSE(limits_.AdvertisedRate(kEndpoint).has_value());
  CHECK(HasStartLimit());
}

TEST_CASE_METHOD(LimitsFixture, "A report that arrives too late is ignored") {
  CHECK(MergeReport(kRate, EndpointRateLimits::kMinValidity) ==
        RateLimitChange::kNone);
  CHECK_FALSE(HasStartLimit());
  CHECK(MergeReport(std::nullopt, Millis(0)) == RateLimitChange::kNone);
  CHECK_FALSE(HasStartLimit());
}

TEST_CASE_METHOD(LimitsFixture, "A report with an impossible rate is ignored") {
  for (const double rate : {-1.0, std::nan(""), 1e300}) {
    CHECK(MergeReport(RequestRate{rate}, Millis(0)) == RateLimitChange::kNone);
    CHECK_FALSE(HasStartLimit());
  }
  // A negative age counts as zero.
  MergeReport(kRate, Millis(-100000));
  Advance(EndpointRateLimits::kMinValidity);
  CHECK_FALSE(limits_.AdvertisedRate(kEndpoint).has_value());
}

TEST_CASE_METHOD(LimitsFixture, "An older report is ignored") {
  Advertise(kRate);
  Advance(Millis(500));
  AdvertiseNone();
  Advance(Millis(100));
  // Of a response before the one without a limit.
  CHECK(MergeReport(kRate, Millis(400)) == RateLimitChange::kNone);
  CHECK_FALSE(limits_.AdvertisedRate(kEndpoint).has_value());
  Advertise(kRate);
  CHECK(MergeReport(std::nullopt, Millis(50)) == RateLimitChange::kNone);
  CHECK(MergeReport(RequestRate{9}, Millis(50)) == RateLimitChange::kNone);
  CHECK(limits_.AdvertisedRate(kEndpoint) == kRate);
}

TEST_CASE(
    "A report that circulates between hosts does not keep a limit valid") {
  TimePoint now{std::chrono::hours(1)};
  const MonotonicClock clock = [&now] { return now; };
  EndpointRateLimits here(clock);
  EndpointRateLimits there(clock);
  here.OnAnswer(kEndpoint, kRate, now);
  const auto exchange = [&now](const EndpointRateLimits& from,
                               EndpointRateLimits* to) {
    const std::vector<RateLimitReport> reports = from.Reports();
    now += EndpointRateLimits::kMaxMessageDelay;
    for (const RateLimitReport& report : reports) {
      to->MergeFromPeer(report);
    }
  };
  const TimePoint advertised_at = now;
  while (now - advertised_at < 2 * EndpointRateLimits::kMinValidity) {
    exchange(here, &there);
    exchange(there, &here);
  }
  CHECK_FALSE(here.AdvertisedRate(kEndpoint).has_value());
  CHECK_FALSE(there.AdvertisedRate(kEndpoint).has_value());
}

TEST_CASE_METHOD(LimitsFixture,
                 "Reports returns the newest limits up to its maximum") {
  const auto count = static_cast<int>(EndpointRateLimits::kMaxReports) + 10;
  for (int i = 0; i < count; ++i) {
    limits_.OnAnswer(EndpointId{std::to_string(i)}, kRate, now_);
    Advance(Millis(1));
  }
  const std::vector<RateLimitReport> reports = limits_.Reports();
  REQUIRE(reports.size() == EndpointRateLimits::kMaxReports);
  CHECK(reports.front().endpoint.value == std::to_string(count - 1));
  CHECK(reports.front().age == Millis(1));
}

TEST_CASE_METHOD(LimitsFixture,
                 "The number of endpoints from reports is limited") {
  for (std::size_t i = 0; i < EndpointRateLimits::kMaxEndpoints + 100; ++i) {
    limits_.MergeFromPeer(
        RateLimitReport{EndpointId{std::to_string(i)}, kRate, Millis(0)});
  }
  CHECK(limits_.LimitedEndpoints().size() == EndpointRateLimits::kMaxEndpoints);
}

}  // namespace
}  // namespace harecrank
