#include "harecrank/core/endpoint_health.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

const EndpointId kEngine{"e"};

class HealthFixture {
 protected:
  TimePoint now_{std::chrono::hours(1)};
  EndpointHealth health_{[this] { return now_; }};
};

TEST_CASE_METHOD(HealthFixture,
                 "The open time doubles with each failure, and a success "
                 "closes the circuit") {
  health_.OnUnreachable(kEngine);
  CHECK(health_.IsSuspect(kEngine));
  now_ += EndpointHealth::kInitialOpenTime;
  CHECK_FALSE(health_.IsSuspect(kEngine));
  health_.OnUnreachable(kEngine);
  now_ += EndpointHealth::kInitialOpenTime;
  CHECK(health_.IsSuspect(kEngine));
  health_.OnSuccess(kEngine, 1);
  CHECK_FALSE(health_.IsSuspect(kEngine));
}

// Otherwise streams that pause during a long prefill would open the circuits of
// the prefilling engines, and the other engines would receive more prompts than
// they can prefill.
TEST_CASE_METHOD(
    HealthFixture,
    "An overdue request does not count if other bytes arrived since") {
  const TimePoint since = now_;
  now_ += Millis(1000);
  health_.OnBytesReceived(kEngine);
  health_.OnOverdue(kEngine, since);
  CHECK_FALSE(health_.IsSuspect(kEngine));
  now_ += Millis(2000);
  health_.OnOverdue(kEngine, now_ - Millis(1500));
  CHECK(health_.IsSuspect(kEngine));
}

TEST_CASE_METHOD(
    HealthFixture,
    "Occasional failures do not make an endpoint suspect; a majority does") {
  for (int i = 0; i < 50; ++i) {
    if (i % 7 == 0) {
      health_.OnErrorAnswer(kEngine);
    } else {
      health_.OnSuccess(kEngine, 1);
    }
  }
  CHECK_FALSE(health_.IsSuspect(kEngine));
  for (int i = 0; i < 10; ++i) {
    health_.OnErrorAnswer(kEngine);
  }
  CHECK(health_.IsSuspect(kEngine));
}

TEST_CASE_METHOD(HealthFixture, "Forget removes the state of an endpoint") {
  health_.OnUnreachable(kEngine);
  health_.Forget(kEngine);
  CHECK_FALSE(health_.IsSuspect(kEngine));
}

TEST_CASE_METHOD(HealthFixture,
                 "Slowdown follows the observed response times") {
  for (int i = 0; i < 40; ++i) {
    health_.OnSuccess(kEngine, 4);
  }
  CHECK(health_.Slowdown(kEngine) > 3);
  CHECK(health_.Slowdown(EndpointId{"unknown"}) == 1);
}

TEST_CASE_METHOD(
    HealthFixture,
    "An endpoint reported at fault is avoided in spite of its own successes") {
  health_.OnReportedAtFault(kEngine);
  health_.OnSuccess(kEngine, 1);
  CHECK(health_.IsSuspect(kEngine));
  REQUIRE(health_.Avoided().size() == 1);
  CHECK(health_.Avoided().front().left == EndpointHealth::kReportedOpenTime);
  now_ += EndpointHealth::kReportedOpenTime;
  CHECK_FALSE(health_.IsSuspect(kEngine));
  CHECK(health_.Avoided().empty());
}

TEST_CASE_METHOD(HealthFixture,
                 "An endpoint avoided by a peer is avoided as long, and not "
                 "reported further") {
  health_.OnAvoidedByPeer(kEngine, Millis(500));
  CHECK(health_.IsSuspect(kEngine));
  CHECK(health_.Avoided().empty());
  now_ += Millis(500);
  CHECK_FALSE(health_.IsSuspect(kEngine));
}

// Failure: six engines whose connections were reset at the same time received
// no requests for ten seconds, while the other engines were overloaded.
TEST_CASE_METHOD(
    HealthFixture,
    "An endpoint with a high failure ratio is probed after a delay") {
  for (int i = 0; i < 10; ++i) {
    health_.OnErrorAnswer(kEngine);
    now_ += Millis(1);
  }
  CHECK(health_.IsSuspect(kEngine));
  now_ += EndpointHealth::kProbeDelay;
  CHECK_FALSE(health_.IsSuspect(kEngine));
  health_.OnErrorAnswer(kEngine);
  CHECK(health_.IsSuspect(kEngine));
}

}  // namespace
}  // namespace harecrank
