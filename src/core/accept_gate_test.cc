#include "harecrank/core/accept_gate.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

constexpr std::size_t kMaxSessions = 300;

struct Fixture {
  Fixture() { now += AcceptGate::kSettleTime; }

  // Most requests of the fleet come to this host.
  void Crowd() {
    share.OnOtherHost(HostAddress{"10.0.0.2:1"}, 1);
    share.OnOtherHost(HostAddress{"10.0.0.3:1"}, 1);
    for (int i = 0; i < 2 * RequestShare::kMinCrowd; ++i) {
      share.OnRequest();
    }
  }

  // Whether a connection is taken while `open` others are open.
  bool Takes(std::size_t open) {
    return gate.Decide(open) == AcceptDecision::kTaken;
  }

  TimePoint now{Millis(100000)};
  BodyBudget bodies{1000};
  RequestShare share{[this] { return now; }};
  AcceptGate gate{kMaxSessions, &bodies, &share, [this] { return now; }};
};

TEST_CASE("A host takes as many connections as it may have open") {
  Fixture test;
  CHECK(test.Takes(kMaxSessions - 1));
  CHECK(test.gate.Decide(kMaxSessions) == AcceptDecision::kNoRoom);
}

TEST_CASE("A host that holds many large bodies refuses connections") {
  Fixture test;
  const BodyBudget::Reservation body(test.bodies, 900);
  CHECK(test.gate.Decide(0) == AcceptDecision::kNoMemory);
}

// Replays a host whose event loop falls behind and catches up.
TEST_CASE("A crowded host that is behind refuses connections till it is not") {
  Fixture test;
  test.Crowd();
  test.gate.OnLoopDelay(AcceptGate::kMaxDelay);
  CHECK(test.Takes(0));
  test.gate.OnLoopDelay(AcceptGate::kMaxDelay + Millis(1));
  CHECK(test.gate.Decide(0) == AcceptDecision::kBehind);
  CHECK(test.gate.IsBehind());
  test.gate.OnLoopDelay(AcceptGate::kResumeDelay + Millis(1));
  CHECK_FALSE(test.Takes(0));
  test.gate.OnLoopDelay(AcceptGate::kResumeDelay);
  CHECK(test.Takes(0));
}

TEST_CASE("A crowded host that stays behind takes a connection now and then") {
  Fixture test;
  REQUIRE(test.Takes(0));
  test.gate.OnLoopDelay(2 * AcceptGate::kMaxDelay);
  test.now += AcceptGate::kMaxRefusalTime - Millis(1);
  test.Crowd();
  CHECK_FALSE(test.Takes(0));
  test.now += Millis(1);
  CHECK(test.Takes(0));
  CHECK_FALSE(test.Takes(0));
  test.now += AcceptGate::kMaxRefusalTime;
  CHECK_FALSE(test.Takes(kMaxSessions));
}

// Replays a host that gets most new connections, while endpoints name limits of
// which it has its part only.
TEST_CASE("A crowded host refuses connections while its part is used up") {
  Fixture test;
  test.Crowd();
  CHECK(test.Takes(0));
  test.gate.OnPartUsedUp();
  CHECK(test.gate.Decide(0) == AcceptDecision::kCrowded);
  test.now += AcceptGate::kUsedUpTime;
  CHECK(test.Takes(0));
}

TEST_CASE("A host that is not crowded takes connections in any case") {
  Fixture test;
  test.Crowd();
  test.share.OnOtherHost(HostAddress{"10.0.0.3:1"},
                         2 * RequestShare::kMinCrowd);
  test.gate.OnPartUsedUp();
  CHECK(test.Takes(0));
  test.gate.OnLoopDelay(2 * AcceptGate::kMaxDelay);
  CHECK(test.Takes(0));
}

// Callers of the host's last process come back to it at once.
TEST_CASE("A host that has just started takes connections in any case") {
  Fixture test;
  test.now -= Millis(1);
  test.Crowd();
  test.gate.OnPartUsedUp();
  CHECK(test.Takes(0));
  test.now += Millis(1);
  CHECK_FALSE(test.Takes(0));
}

TEST_CASE(
    "A host has room for others once it is known, and while it keeps up") {
  Fixture test;
  test.now -= Millis(1);
  CHECK_FALSE(test.gate.HasRoomForOthers());
  test.now += Millis(1);
  CHECK(test.gate.HasRoomForOthers());
  test.gate.OnLoopDelay(2 * AcceptGate::kMaxDelay);
  CHECK_FALSE(test.gate.HasRoomForOthers());
}

}  // namespace
}  // namespace harecrank
