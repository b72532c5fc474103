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
                 "An endpoint that cannot be reached is left alone for longer "
                 "each time, and at once taken back when it answers") {
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

// Otherwise streams that pause behind a long prompt close the engines that
// read it, and the rest are given more than they can read.
TEST_CASE_METHOD(HealthFixture,
                 "An overdue request tells nothing of an endpoint that was "
                 "heard from since") {
  const TimePoint since = now_;
  now_ += Millis(1000);
  health_.OnBytesReceived(kEngine);
  health_.OnOverdue(kEngine, since);
  CHECK_FALSE(health_.IsSuspect(kEngine));
  now_ += Millis(2000);
  health_.OnOverdue(kEngine, now_ - Millis(1500));
  CHECK(health_.IsSuspect(kEngine));
}

TEST_CASE_METHOD(HealthFixture,
                 "Failures now and then do not close an endpoint; most "
                 "answers failing do") {
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

TEST_CASE_METHOD(HealthFixture, "Nothing is kept of a forgotten endpoint") {
  health_.OnUnreachable(kEngine);
  health_.Forget(kEngine);
  CHECK_FALSE(health_.IsSuspect(kEngine));
}

TEST_CASE_METHOD(HealthFixture, "A slow endpoint's pace is learned") {
  for (int i = 0; i < 40; ++i) {
    health_.OnSuccess(kEngine, 4);
  }
  CHECK(health_.Slowdown(kEngine) > 3);
  CHECK(health_.Slowdown(EndpointId{"unknown"}) == 1);
}

TEST_CASE_METHOD(HealthFixture,
                 "An endpoint that another names is left alone, whatever it "
                 "still answers itself") {
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
                 "What a peer leaves alone is left alone for as long, and is "
                 "not told on") {
  health_.OnAvoidedByPeer(kEngine, Millis(500));
  CHECK(health_.IsSuspect(kEngine));
  CHECK(health_.Avoided().empty());
  now_ += Millis(500);
  CHECK_FALSE(health_.IsSuspect(kEngine));
}

// Six engines whose connections were reset at once got no request in the ten
// seconds that followed, while the others were flooded.
TEST_CASE_METHOD(HealthFixture,
                 "An endpoint that failed most requests is tried again after "
                 "a while, and is left alone again if it fails") {
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
