#include "harecrank/core/send_state.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

constexpr Millis kLimit{3000};

TEST_CASE("A peer that acknowledges probes and reads nothing is alive") {
  CHECK(JudgeSend({0, 9000, 0, Millis(200)}, kLimit) ==
        SendVerdict::kPeerNotReading);
  // The system sends probes less and less often.
  CHECK(JudgeSend({0, 9000, 1, Millis(7000)}, kLimit) ==
        SendVerdict::kPeerNotReading);
  CHECK(JudgeSend({0, 9000, 2, Millis(900)}, kLimit) ==
        SendVerdict::kPeerNotReading);
}

TEST_CASE("A peer that leaves probes unanswered for long is lost") {
  CHECK(JudgeSend({0, 9000, 2, Millis(3000)}, kLimit) ==
        SendVerdict::kPeerLost);
}

TEST_CASE("Bytes on their way keep the system's time limit") {
  CHECK(JudgeSend({3, 9000, 0, Millis(5000)}, kLimit) == SendVerdict::kSending);
  CHECK(JudgeSend({3, 0, 0, Millis(0)}, kLimit) == SendVerdict::kSending);
  CHECK(JudgeSend({0, 0, 5, Millis(9000)}, kLimit) == SendVerdict::kDone);
}

}  // namespace
}  // namespace harecrank
