#include "src/gateway/start_limiter.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

const EndpointId kEndpoint{"e0"};
const ServiceName kService{"svc"};

// A fleet that consists of one host.
class StartLimiterFixture {
 protected:
  void Advance(Millis time) { now_ += time; }

  std::optional<StartAvailability> Availability() {
    return limiter_.StartAvailabilityOf({&record_}, {}, service_);
  }
  void Start() {
    Placement placement;
    placement.endpoint = record_;
    limiter_.OnStart(placement, service_);
  }
  bool CanStart() {
    Placement placement;
    placement.endpoint = record_;
    return limiter_.MayStart(placement, service_);
  }

  TimePoint now_{std::chrono::hours(1)};
  MonotonicClock clock_ = [this] { return now_; };
  EventLog log_{"n", clock_};
  Metrics metrics_;
  ServiceProfile service_ = [] {
    ServiceProfile service;
    service.name = kService;
    return service;
  }();
  EndpointRecord record_ = [] {
    EndpointRecord record;
    record.id = kEndpoint;
    record.service = kService;
    return record;
  }();
  StartLimiter limiter_{HostAddress{"h"},
                        ColdLimit{},
                        [] { return 1; },
                        [] { return nullptr; },
                        &log_,
                        &metrics_,
                        clock_};
};

TEST_CASE_METHOD(StartLimiterFixture,
                 "Starts at an endpoint without a limit are not limited") {
  CHECK_FALSE(Availability().has_value());
  for (int i = 0; i < 1000; ++i) {
    CHECK(CanStart());
    Start();
  }
}

TEST_CASE_METHOD(StartLimiterFixture,
                 "An advertised rate limit applies to the next start") {
  CHECK(limiter_.OnAnswer(kEndpoint, RequestRate{1}, now_));
  CHECK_FALSE(limiter_.OnAnswer(kEndpoint, RequestRate{1}, now_));
  Advance(Millis(1000));
  REQUIRE(CanStart());
  Start();
  CHECK_FALSE(CanStart());
  CHECK(Availability()->next == now_ + Millis(1000));
  CHECK(Availability()->per_second == Approx(1));
  CHECK(limiter_.Withheld(service_).count(kEndpoint) == 1);
  CHECK(limiter_.LimitedCount() == 1);
  Advance(Millis(1000));
  CHECK(CanStart());
}

TEST_CASE_METHOD(StartLimiterFixture,
                 "Rejected callers get Retry-After times spaced by the rate") {
  limiter_.OnAnswer(kEndpoint, RequestRate{1}, now_);
  Advance(Millis(1000));
  Start();
  CHECK(limiter_.NextRetryAfter(kService, *Availability()) == Millis(1000));
  CHECK(limiter_.NextRetryAfter(kService, *Availability()) == Millis(2000));
  Advance(Millis(500));
  CHECK(limiter_.NextRetryAfter(kService, *Availability()) == Millis(2500));
  for (int i = 0; i < 20; ++i) {
    limiter_.NextRetryAfter(kService, *Availability());
  }
  CHECK(limiter_.NextRetryAfter(kService, *Availability()) ==
        StartLimiter::kMaxRetryAfter);
}

TEST_CASE_METHOD(StartLimiterFixture,
                 "Callers get a Retry-After time if the limit is zero") {
  limiter_.OnAnswer(kEndpoint, RequestRate{0}, now_);
  REQUIRE(Availability().has_value());
  const Millis retry_after = limiter_.NextRetryAfter(kService, *Availability());
  CHECK(retry_after > Millis(0));
  CHECK(retry_after <= StartLimiter::kMaxRetryAfter);
}

TEST_CASE_METHOD(StartLimiterFixture,
                 "An unreadable rate limit is counted and ignored") {
  CHECK_FALSE(limiter_.OnAnswer(kEndpoint, UnreadableRateLimit{}, now_));
  CHECK_FALSE(Availability().has_value());
  CHECK(metrics_.Text().find("harecrank_gateway_limits_unreadable_total 1") !=
        std::string::npos);
}

TEST_CASE_METHOD(StartLimiterFixture,
                 "Rate limits reported by peers are passed on with their age") {
  limiter_.MergeFromPeer(
      {RateLimitReport{kEndpoint, RequestRate{2}, Millis(50)}});
  Advance(Millis(200));
  const std::vector<RateLimitReport> reports = limiter_.Reports();
  REQUIRE(reports.size() == 1);
  CHECK(reports.front().age ==
        Millis(250) + EndpointRateLimits::kMaxMessageDelay);
}

TEST_CASE_METHOD(StartLimiterFixture,
                 "The dump contains each limit and this host's quota") {
  limiter_.OnAnswer(kEndpoint, RequestRate{2}, now_);
  Advance(Millis(1000));
  Start();
  const nlohmann::json dump = limiter_.Describe();
  REQUIRE(dump["limited"].size() == 1);
  const nlohmann::json& entry = dump["limited"].front();
  CHECK(entry["endpoint"] == kEndpoint.value);
  CHECK(entry["named_per_second"] == 2.0);
  CHECK(entry["own_share"] == 17.0);
  CHECK(entry["begun"] == 1);
  CHECK(entry["next_start_ms"] == 500);
  Advance(EndpointRateLimits::kMaxValidity);
  CHECK(limiter_.Describe()["limited"].front()["named_per_second"].is_null());
}

TEST_CASE_METHOD(StartLimiterFixture,
                 "A back-off prevents starts until its end") {
  limiter_.OnBackoffHint(record_, Millis(3000));
  CHECK_FALSE(CanStart());
  CHECK(limiter_.BackoffCount() == 1);
  CHECK(Availability()->backoff_until == now_ + Millis(3000));
  CHECK(Availability()->next >= now_ + Millis(3000));
  CHECK(limiter_.Withheld(service_).count(kEndpoint) == 1);
  Advance(Millis(3000) +
          EndpointBackoffs::kMaxDoublings * EndpointBackoffs::kDoublingPeriod);
  limiter_.Tick();
  CHECK(CanStart());
  CHECK_FALSE(Availability().has_value());
}

TEST_CASE_METHOD(StartLimiterFixture,
                 "A back-off and a rate limit apply together") {
  limiter_.OnAnswer(kEndpoint, RequestRate{2}, now_);
  limiter_.OnBackoffHint(record_, Millis(1500));
  Advance(Millis(1000));
  CHECK_FALSE(CanStart());
  Advance(Millis(1500));
  REQUIRE(CanStart());
  Start();
  CHECK_FALSE(CanStart());
}

TEST_CASE_METHOD(StartLimiterFixture,
                 "Retry-After exceeds kMaxRetryAfter if all endpoints back off "
                 "for longer") {
  limiter_.OnBackoffHint(record_, Millis(60000));
  const Millis first = limiter_.NextRetryAfter(kService, *Availability());
  CHECK(first >= Millis(60000));
  CHECK(limiter_.NextRetryAfter(kService, *Availability()) >= first);
}

TEST_CASE_METHOD(StartLimiterFixture,
                 "Back-offs are counted and contained in the dump") {
  limiter_.OnBackoffHint(record_, UnreadableBackoff{});
  const nlohmann::json dump = limiter_.Describe();
  REQUIRE(dump["resting"].size() == 1);
  CHECK(dump["resting"].front()["endpoint"] == kEndpoint.value);
  CHECK(dump["resting"].front()["rest_ms"] == 1000);
  const std::string text = metrics_.Text();
  CHECK(text.find("harecrank_gateway_rests_asked_total 1") !=
        std::string::npos);
  CHECK(text.find("harecrank_gateway_rests_unreadable_total 1") !=
        std::string::npos);
}

}  // namespace
}  // namespace harecrank
