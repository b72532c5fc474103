#include "harecrank/core/endpoint_backoffs.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "harecrank/core/start_quotas.h"

namespace harecrank {
namespace {

const EndpointId kEndpoint{"e0"};
const EndpointIncarnation kLife{1000};

class RestsFixture {
 protected:
  void Pass(Millis time) { now_ += time; }
  bool Ask(const BackoffHint& word, EndpointIncarnation incarnation = kLife) {
    return rests_.OnAnswer(kEndpoint, incarnation, word);
  }

  TimePoint now_{std::chrono::hours(1)};
  MonotonicClock clock_ = [this] { return now_; };
  EndpointBackoffs rests_{clock_};
};

TEST_CASE_METHOD(RestsFixture, "An answer without a word of rest asks none") {
  CHECK_FALSE(Ask(NoBackoff{}));
  CHECK_FALSE(Ask(Millis(0)));
  CHECK_FALSE(rests_.StartLimitOf(kEndpoint).has_value());
  CHECK(rests_.Count() == 0);
}

TEST_CASE_METHOD(RestsFixture, "A rest holds until its end, however long") {
  const Millis rest = GENERATE(Millis(1), Millis(50), Millis(2500),
                               Millis(std::chrono::hours(24)));
  CHECK(Ask(rest));
  CHECK(rests_.RemainingBackoff(kEndpoint) == rest);
  CHECK(rests_.StartLimitOf(kEndpoint)->not_before == now_ + rest);
  Pass(rest - Millis(1));
  CHECK(rests_.Count() == 1);
  Pass(Millis(1));
  CHECK(rests_.Count() == 0);
  CHECK(rests_.TakeEnded().empty());
  Pass(EndpointBackoffs::kMaxDoublings * EndpointBackoffs::kDoublingPeriod);
  CHECK_FALSE(rests_.StartLimitOf(kEndpoint).has_value());
  CHECK(rests_.TakeEnded() == std::vector<EndpointId>{kEndpoint});
}

TEST_CASE_METHOD(RestsFixture, "Of two rests the later end counts") {
  CHECK(Ask(Millis(3000)));
  Pass(Millis(1000));
  CHECK_FALSE(Ask(Millis(500)));
  CHECK(rests_.RemainingBackoff(kEndpoint) == Millis(2000));
  CHECK(Ask(Millis(3000)));
  CHECK(rests_.RemainingBackoff(kEndpoint) == Millis(3000));
}

TEST_CASE_METHOD(RestsFixture, "A rest that cannot be read is a short one") {
  CHECK(Ask(UnreadableBackoff{}));
  CHECK(rests_.RemainingBackoff(kEndpoint) ==
        EndpointBackoffs::kUnreadableBackoff);
}

TEST_CASE_METHOD(RestsFixture, "A new life owes no rest, the same one does") {
  Ask(Millis(3000));
  rests_.OnIncarnation(kEndpoint, kLife);
  CHECK(rests_.Count() == 1);
  rests_.OnIncarnation(kEndpoint, EndpointIncarnation{2000});
  CHECK(rests_.Count() == 0);
  Ask(Millis(3000), EndpointIncarnation{2000});
  CHECK(Ask(Millis(100), EndpointIncarnation{3000}));
  CHECK(rests_.RemainingBackoff(kEndpoint) == Millis(100));
}

// Hosts that are all told to rest at one time, and press to return.
class ReturningHosts {
 public:
  ReturningHosts(int hosts, const MonotonicClock& clock) {
    for (int i = 0; i < hosts; ++i) {
      hosts_.push_back(std::make_unique<Host>(
          HostAddress{"h" + std::to_string(i)}, hosts, clock));
    }
  }

  void Ask(Millis rest) {
    for (const auto& host : hosts_) {
      host->rests.OnAnswer(kEndpoint, kLife, rest);
    }
  }

  // Returns how many begin a request.
  int Press() {
    int begun = 0;
    Placement placement;
    placement.endpoint.id = kEndpoint;
    for (const auto& host : hosts_) {
      if (host->shares.MayStart(host->starts, host->address, placement,
                                ServiceProfile{})) {
        host->shares.Add(placement, ServiceProfile{}, host->address,
                         &host->starts);
        ++begun;
      }
    }
    return begun;
  }

 private:
  struct Host {
    Host(HostAddress own, int hosts, const MonotonicClock& clock)
        : address(std::move(own)),
          rests(clock),
          cold(clock),
          limits(clock),
          shares(
              ColdLimit{}, &cold, &limits, HostBackoffs{address, &rests},
              [hosts] { return hosts; }, clock),
          starts(clock) {}

    HostAddress address;
    EndpointBackoffs rests;
    ColdEndpoints cold;
    EndpointRateLimits limits;
    StartQuotas shares;
    StartHistory starts;
  };

  std::vector<std::unique_ptr<Host>> hosts_;
};

TEST_CASE_METHOD(RestsFixture,
                 "Hosts that press return one by one when a rest ends") {
  const int hosts = GENERATE(1, 3, 24, 300);
  ReturningHosts fleet(hosts, clock_);
  fleet.Ask(Millis(3000));
  int within_rest = 0;
  int at_return = 0;
  int later = 0;
  constexpr Millis kStep{5};
  for (Millis at{0}; at < Millis(8000); at += kStep) {
    const int begun = fleet.Press();
    within_rest += at < Millis(3000) ? begun : 0;
    const bool is_return =
        at >= Millis(3000) &&
        at < Millis(3000) + EndpointBackoffs::kDoublingPeriod;
    at_return += is_return ? begun : 0;
    later += at >= Millis(6000) ? begun : 0;
    Pass(kStep);
  }
  CHECK(within_rest == 0);
  // While the bound has not doubled yet, no more than it allows in a window.
  CHECK(at_return <= 2 * EndpointBackoffs::kMaxStartsAfterBackoff);
  // Nothing holds them back in the end.
  CHECK(later == hosts * 400);
}

TEST_CASE_METHOD(RestsFixture, "A rest binds the host that was asked alone") {
  const HostAddress asked{"asked"};
  const HostAddress other{"other"};
  ColdEndpoints cold(clock_);
  EndpointRateLimits limits(clock_);
  const StartQuotas shares(
      ColdLimit{}, &cold, &limits, HostBackoffs{asked, &rests_},
      [] { return 2; }, clock_);
  const StartHistory starts(clock_);
  Ask(Millis(3000));
  CHECK(shares.Withheld(starts, asked, ServiceProfile{}).count(kEndpoint) == 1);
  CHECK(shares.Withheld(starts, other, ServiceProfile{}).empty());
  CHECK(shares.MayStart(starts, other, kEndpoint, ServiceProfile{}));
}

TEST_CASE_METHOD(RestsFixture, "An endpoint that rests helps to read nothing") {
  const HostAddress host{"h"};
  ColdEndpoints cold(clock_);
  EndpointRateLimits limits(clock_);
  const StartQuotas shares(
      ColdLimit{}, &cold, &limits, HostBackoffs{host, &rests_},
      [] { return 1; }, clock_);
  const StartHistory starts(clock_);
  Placement placement;
  placement.endpoint.id = EndpointId{"writer"};
  PrefillHelper helper;
  helper.record.id = kEndpoint;
  placement.helpers = {helper};
  CHECK(shares.MayStart(starts, host, placement, ServiceProfile{}));
  Ask(Millis(3000));
  CHECK_FALSE(shares.MayStart(starts, host, placement, ServiceProfile{}));
}

}  // namespace
}  // namespace harecrank
