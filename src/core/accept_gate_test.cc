#include "harecrank/core/accept_gate.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

constexpr std::size_t kMaxSessions = 300;

TEST_CASE("A host takes as many connections as it may have open") {
  const AcceptGate gate(kMaxSessions);
  CHECK(gate.Admits(kMaxSessions - 1));
  CHECK_FALSE(gate.Admits(kMaxSessions));
}

// Replays a host whose event loop falls behind and catches up.
TEST_CASE("A host that is behind refuses connections until it has caught up") {
  AcceptGate gate(kMaxSessions);
  gate.OnLoopDelay(AcceptGate::kMaxDelay);
  CHECK(gate.Admits(0));
  gate.OnLoopDelay(AcceptGate::kMaxDelay + Millis(1));
  CHECK_FALSE(gate.Admits(0));
  CHECK(gate.IsBehind());
  gate.OnLoopDelay(AcceptGate::kResumeDelay + Millis(1));
  CHECK_FALSE(gate.Admits(0));
  gate.OnLoopDelay(AcceptGate::kResumeDelay);
  CHECK(gate.Admits(0));
}

}  // namespace
}  // namespace harecrank
