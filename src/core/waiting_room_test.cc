#include "harecrank/core/waiting_room.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

TEST_CASE(
    "Requests with little time to spare go first, and those that are "
    "late after all others, the quickest first") {
  TimePoint now{std::chrono::hours(1)};
  WaitingRoom room([&now] { return now; });
  const FractionalMillis quick(50);
  const FractionalMillis slow(500);
  const WaiterId late_slow = room.Add({now - Millis(1), slow});
  const WaiterId late_quick = room.Add({now - Millis(9), quick});
  const WaiterId relaxed = room.Add({now + Millis(3000), slow});
  const WaiterId pressed = room.Add({now + Millis(700), slow});
  const std::vector<WaiterId> order = room.InOrder(9);
  CHECK(order ==
        std::vector<WaiterId>{pressed, relaxed, late_quick, late_slow});
  CHECK(room.MostUrgent() == Urgency(200));
  room.Remove(pressed);
  CHECK(room.InOrder(1) == std::vector<WaiterId>{relaxed});
}

TEST_CASE("An empty waiting room has nothing urgent") {
  const WaitingRoom room([] { return TimePoint{}; });
  CHECK_FALSE(room.MostUrgent().has_value());
}

}  // namespace
}  // namespace harecrank
