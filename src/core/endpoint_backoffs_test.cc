#include "harecrank/core/endpoint_backoffs.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "harecrank/core/start_quotas.h"

namespace harecrank {
namespace {

const EndpointId kEndpoint{"e0"};
const EndpointIncarnation kIncarnation{1000};

class BackoffsFixture {
 protected:
  void Advance(Millis time) { now_ += time; }
  bool RequestBackoff(const BackoffHint& hint,
                      EndpointIncarnation incarnation = kIncarnation) {
    return backoffs_.OnAnswer(kEndpoint, incarnation, hint);
  }

  TimePoint now_{std::chrono::hours(1)};
  MonotonicClock clock_ = [this] { return now_; };
  EndpointBackoffs backoffs_{clock_};
};

TEST_CASE_METHOD(BackoffsFixture,
                 "A response without a back-off has no effect") {
  CHECK_FALSE(RequestBackoff(NoBackoff{}));
  CHECK_FALSE(RequestBackoff(Millis(0)));
  CHECK_FALSE(backoffs_.StartLimitOf(kEndpoint).has_value());
  CHECK(backoffs_.Count() == 0);
}

TEST_CASE_METHOD(
    BackoffsFixture,
    "A back-off stays in force until its end, however long it is") {
  const Millis backoff = GENERATE(Millis(1), Millis(50), Millis(2500),
                                  Millis(std::chrono::hours(24)));
  CHECK(RequestBackoff(backoff));
  CHECK(backoffs_.RemainingBackoff(kEndpoint) == backoff);
  CHECK(backoffs_.StartLimitOf(kEndpoint)->not_before == now_ + backoff);
  Advance(backoff - Millis(1));
  CHECK(backoffs_.Count() == 1);
  Advance(Millis(1));
  CHECK(backoffs_.Count() == 0);
  CHECK(backoffs_.TakeEnded().empty());
  Advance(EndpointBackoffs::kMaxDoublings * EndpointBackoffs::kDoublingPeriod);
  CHECK_FALSE(backoffs_.StartLimitOf(kEndpoint).has_value());
  CHECK(backoffs_.TakeEnded() == std::vector<EndpointId>{kEndpoint});
}

TEST_CASE_METHOD(BackoffsFixture,
                 "Of two back-offs the one that ends later applies") {
  CHECK(RequestBackoff(Millis(3000)));
  Advance(Millis(1000));
  CHECK_FALSE(RequestBackoff(Millis(500)));
  CHECK(backoffs_.RemainingBackoff(kEndpoint) == Millis(2000));
  CHECK(RequestBackoff(Millis(3000)));
  CHECK(backoffs_.RemainingBackoff(kEndpoint) == Millis(3000));
}

TEST_CASE_METHOD(BackoffsFixture,
                 "An unreadable back-off counts as kUnreadableBackoff") {
  CHECK(RequestBackoff(UnreadableBackoff{}));
  CHECK(backoffs_.RemainingBackoff(kEndpoint) ==
        EndpointBackoffs::kUnreadableBackoff);
}

TEST_CASE_METHOD(BackoffsFixture, "A new incarnation ends a back-off") {
  RequestBackoff(Millis(3000));
  backoffs_.OnIncarnation(kEndpoint, kIncarnation);
  CHECK(backoffs_.Count() == 1);
  backoffs_.OnIncarnation(kEndpoint, EndpointIncarnation{2000});
  CHECK(backoffs_.Count() == 0);
  RequestBackoff(Millis(3000), EndpointIncarnation{2000});
  CHECK(RequestBackoff(Millis(100), EndpointIncarnation{3000}));
  CHECK(backoffs_.RemainingBackoff(kEndpoint) == Millis(100));
}

// Hosts that receive a back-off at the same time and try to start requests as
// soon as possible.
class BackedOffHosts {
 public:
  BackedOffHosts(int hosts, const MonotonicClock& clock) {
    for (int i = 0; i < hosts; ++i) {
      hosts_.push_back(std::make_unique<Host>(
          HostAddress{"h" + std::to_string(i)}, hosts, clock));
    }
  }

  void RequestBackoff(Millis backoff) {
    for (const auto& host : hosts_) {
      host->backoffs.OnAnswer(kEndpoint, kIncarnation, backoff);
    }
  }

  // Returns the number of requests started.
  int TryStartOnEachHost() {
    int started = 0;
    Placement placement;
    placement.endpoint.id = kEndpoint;
    for (const auto& host : hosts_) {
      if (host->quotas.MayStart(host->starts, host->address, placement,
                                ServiceProfile{})) {
        host->quotas.Add(placement, ServiceProfile{}, host->address,
                         &host->starts);
        ++started;
      }
    }
    return started;
  }

 private:
  struct Host {
    Host(HostAddress self, int hosts, const MonotonicClock& clock)
        : address(std::move(self)),
          backoffs(clock),
          cold(clock),
          limits(clock),
          quotas(
              ColdLimit{}, &cold, &limits, HostBackoffs{address, &backoffs},
              [hosts] { return hosts; }, clock),
          starts(clock) {}

    HostAddress address;
    EndpointBackoffs backoffs;
    ColdEndpoints cold;
    EndpointRateLimits limits;
    StartQuotas quotas;
    StartHistory starts;
  };

  std::vector<std::unique_ptr<Host>> hosts_;
};

TEST_CASE_METHOD(BackoffsFixture,
                 "Starts of all hosts ramp up after a back-off") {
  const int hosts = GENERATE(1, 3, 24, 300);
  BackedOffHosts fleet(hosts, clock_);
  fleet.RequestBackoff(Millis(3000));
  int during_backoff = 0;
  int during_ramp_up = 0;
  int after_ramp_up = 0;
  constexpr Millis kStep{5};
  for (Millis at{0}; at < Millis(8000); at += kStep) {
    const int started = fleet.TryStartOnEachHost();
    during_backoff += at < Millis(3000) ? started : 0;
    const bool is_ramp_up =
        at >= Millis(3000) &&
        at < Millis(3000) + EndpointBackoffs::kDoublingPeriod;
    during_ramp_up += is_ramp_up ? started : 0;
    after_ramp_up += at >= Millis(6000) ? started : 0;
    Advance(kStep);
  }
  CHECK(during_backoff == 0);
  // Until the limit doubles, at most its number of starts per window.
  CHECK(during_ramp_up <= 2 * EndpointBackoffs::kMaxStartsAfterBackoff);
  // Finally there is no limit.
  CHECK(after_ramp_up == hosts * 400);
}

TEST_CASE_METHOD(BackoffsFixture,
                 "A back-off applies only to the host that received it") {
  const HostAddress backed_off{"backed_off"};
  const HostAddress other{"other"};
  ColdEndpoints cold(clock_);
  EndpointRateLimits limits(clock_);
  const StartQuotas quotas(
      ColdLimit{}, &cold, &limits, HostBackoffs{backed_off, &backoffs_},
      [] { return 2; }, clock_);
  const StartHistory starts(clock_);
  RequestBackoff(Millis(3000));
  CHECK(
      quotas.Withheld(starts, backed_off, ServiceProfile{}).count(kEndpoint) ==
      1);
  CHECK(quotas.Withheld(starts, other, ServiceProfile{}).empty());
  CHECK(quotas.MayStart(starts, other, kEndpoint, ServiceProfile{}));
}

TEST_CASE_METHOD(
    BackoffsFixture,
    "An endpoint that is backed off is not used as a prefill helper") {
  const HostAddress host{"h"};
  ColdEndpoints cold(clock_);
  EndpointRateLimits limits(clock_);
  const StartQuotas quotas(
      ColdLimit{}, &cold, &limits, HostBackoffs{host, &backoffs_},
      [] { return 1; }, clock_);
  const StartHistory starts(clock_);
  Placement placement;
  placement.endpoint.id = EndpointId{"writer"};
  PrefillHelper helper;
  helper.record.id = kEndpoint;
  placement.helpers = {helper};
  CHECK(quotas.MayStart(starts, host, placement, ServiceProfile{}));
  RequestBackoff(Millis(3000));
  CHECK_FALSE(quotas.MayStart(starts, host, placement, ServiceProfile{}));
}

}  // namespace
}  // namespace harecrank
