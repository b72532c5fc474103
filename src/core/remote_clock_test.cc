#include "harecrank/core/remote_clock.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

TEST_CASE("No deadline can be converted before the first pulse") {
  CHECK_FALSE(RemoteClock().Convert(TimePoint{}));
}

TEST_CASE("A converted deadline is never late") {
  // The remote clock reads kOffset when the pulse is sent and runs at the local
  // rate. A pulse that took 30 ms on the network makes the estimate 30 ms
  // early.
  constexpr std::int64_t kOffset = 777000;
  const TimePoint sent{};
  const TimePoint arrived = sent + Millis(30);
  RemoteClock clock;
  clock.OnPulse(RemoteMillis{kOffset}, arrived);
  const TimePoint deadline = arrived + Millis(500);
  const std::int64_t true_reading = kOffset + 530;
  REQUIRE(clock.Convert(deadline));
  CHECK(clock.Convert(deadline)->value <= true_reading);
  CHECK(clock.Convert(deadline)->value == true_reading - 30);
}

TEST_CASE(
    "A message whose deadline passed while the receiver was suspended is "
    "late") {
  RemoteClock clock;
  clock.OnPulse(RemoteMillis{1000}, TimePoint{});
  const RemoteMillis deadline = *clock.Convert(TimePoint{} + Millis(200));
  // The receiver was suspended for a minute with the message in its socket.
  const std::int64_t reading_at_wake = 1000 + 60000;
  CHECK(deadline.value < reading_at_wake);
}

}  // namespace
}  // namespace harecrank
