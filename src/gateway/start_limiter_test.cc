#include "src/gateway/start_limiter.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

const EndpointId kEndpoint{"e0"};
const ServiceName kService{"svc"};

// One host that knows itself to be the only one.
class GateFixture {
 protected:
  void Pass(Millis time) { now_ += time; }

  std::optional<StartAvailability> Outlook() {
    return gate_.StartAvailabilityOf({&record_}, {}, service_);
  }
  void Begin() {
    Placement placement;
    placement.endpoint = record_;
    gate_.OnStart(placement, service_);
  }
  bool MayBegin() {
    Placement placement;
    placement.endpoint = record_;
    return gate_.MayStart(placement, service_);
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
  StartLimiter gate_{HostAddress{"h"},
                     ColdLimit{},
                     [] { return 1; },
                     [] { return nullptr; },
                     &log_,
                     &metrics_,
                     clock_};
};

TEST_CASE_METHOD(GateFixture, "An endpoint without a bound takes what comes") {
  CHECK_FALSE(Outlook().has_value());
  for (int i = 0; i < 1000; ++i) {
    CHECK(MayBegin());
    Begin();
  }
}

TEST_CASE_METHOD(GateFixture, "A limit that an answer names bounds the next") {
  CHECK(gate_.OnAnswer(kEndpoint, RequestRate{1}, now_));
  CHECK_FALSE(gate_.OnAnswer(kEndpoint, RequestRate{1}, now_));
  Pass(Millis(1000));
  REQUIRE(MayBegin());
  Begin();
  CHECK_FALSE(MayBegin());
  CHECK(Outlook()->next == now_ + Millis(1000));
  CHECK(Outlook()->per_second == Approx(1));
  CHECK(gate_.Withheld(service_).count(kEndpoint) == 1);
  CHECK(gate_.LimitedCount() == 1);
  Pass(Millis(1000));
  CHECK(MayBegin());
}

TEST_CASE_METHOD(GateFixture,
                 "Callers who are turned away are told to come one by one") {
  gate_.OnAnswer(kEndpoint, RequestRate{1}, now_);
  Pass(Millis(1000));
  Begin();
  CHECK(gate_.NextRetryAfter(kService, *Outlook()) == Millis(1000));
  CHECK(gate_.NextRetryAfter(kService, *Outlook()) == Millis(2000));
  Pass(Millis(500));
  CHECK(gate_.NextRetryAfter(kService, *Outlook()) == Millis(2500));
  for (int i = 0; i < 20; ++i) {
    gate_.NextRetryAfter(kService, *Outlook());
  }
  CHECK(gate_.NextRetryAfter(kService, *Outlook()) ==
        StartLimiter::kMaxRetryAfter);
}

TEST_CASE_METHOD(GateFixture,
                 "Callers are told when to come where nothing may begin") {
  gate_.OnAnswer(kEndpoint, RequestRate{0}, now_);
  REQUIRE(Outlook().has_value());
  const Millis pause = gate_.NextRetryAfter(kService, *Outlook());
  CHECK(pause > Millis(0));
  CHECK(pause <= StartLimiter::kMaxRetryAfter);
}

TEST_CASE_METHOD(GateFixture, "A limit that cannot be read is counted") {
  CHECK_FALSE(gate_.OnAnswer(kEndpoint, UnreadableRateLimit{}, now_));
  CHECK_FALSE(Outlook().has_value());
  CHECK(metrics_.Text().find("harecrank_gateway_limits_unreadable_total 1") !=
        std::string::npos);
}

TEST_CASE_METHOD(GateFixture, "What hosts tell of limits is told on, aged") {
  gate_.MergeFromPeer({RateLimitReport{kEndpoint, RequestRate{2}, Millis(50)}});
  Pass(Millis(200));
  const std::vector<RateLimitReport> reports = gate_.Reports();
  REQUIRE(reports.size() == 1);
  CHECK(reports.front().age ==
        Millis(250) + EndpointRateLimits::kMaxMessageDelay);
}

TEST_CASE_METHOD(GateFixture, "The dump tells each limit and the own part") {
  gate_.OnAnswer(kEndpoint, RequestRate{2}, now_);
  Pass(Millis(1000));
  Begin();
  const nlohmann::json dump = gate_.Describe();
  REQUIRE(dump["limited"].size() == 1);
  const nlohmann::json& entry = dump["limited"].front();
  CHECK(entry["endpoint"] == kEndpoint.value);
  CHECK(entry["named_per_second"] == 2.0);
  CHECK(entry["own_share"] == 17.0);
  CHECK(entry["begun"] == 1);
  CHECK(entry["next_start_ms"] == 500);
  Pass(EndpointRateLimits::kMaxValidity);
  CHECK(gate_.Describe()["limited"].front()["named_per_second"].is_null());
}

TEST_CASE_METHOD(GateFixture, "A rest lets nothing through until its end") {
  gate_.OnBackoffHint(record_, Millis(3000));
  CHECK_FALSE(MayBegin());
  CHECK(gate_.BackoffCount() == 1);
  CHECK(Outlook()->backoff_until == now_ + Millis(3000));
  CHECK(Outlook()->next >= now_ + Millis(3000));
  CHECK(gate_.Withheld(service_).count(kEndpoint) == 1);
  Pass(Millis(3000) +
       EndpointBackoffs::kMaxDoublings * EndpointBackoffs::kDoublingPeriod);
  gate_.Tick();
  CHECK(MayBegin());
  CHECK_FALSE(Outlook().has_value());
}

TEST_CASE_METHOD(GateFixture, "A rest and a limit bind together") {
  gate_.OnAnswer(kEndpoint, RequestRate{2}, now_);
  gate_.OnBackoffHint(record_, Millis(1500));
  Pass(Millis(1000));
  CHECK_FALSE(MayBegin());
  Pass(Millis(1500));
  REQUIRE(MayBegin());
  Begin();
  CHECK_FALSE(MayBegin());
}

TEST_CASE_METHOD(GateFixture,
                 "Callers are told to come after a rest that is longer than "
                 "the longest pause, one by one") {
  gate_.OnBackoffHint(record_, Millis(60000));
  const Millis first = gate_.NextRetryAfter(kService, *Outlook());
  CHECK(first >= Millis(60000));
  CHECK(gate_.NextRetryAfter(kService, *Outlook()) >= first);
}

TEST_CASE_METHOD(GateFixture, "Rests are counted, and told in the dump") {
  gate_.OnBackoffHint(record_, UnreadableBackoff{});
  const nlohmann::json dump = gate_.Describe();
  REQUIRE(dump["resting"].size() == 1);
  CHECK(dump["resting"].front()["endpoint"] == kEndpoint.value);
  CHECK(dump["resting"].front()["rest_ms"] == 1000);
  const std::string figures = metrics_.Text();
  CHECK(figures.find("harecrank_gateway_rests_asked_total 1") !=
        std::string::npos);
  CHECK(figures.find("harecrank_gateway_rests_unreadable_total 1") !=
        std::string::npos);
}

}  // namespace
}  // namespace harecrank
