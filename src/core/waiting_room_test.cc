#include "harecrank/core/waiting_room.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

constexpr FractionalMillis kWork{4000};

TEST_CASE(
    "Requests with little time to spare go first, and those that are "
    "late after all others, the quickest first") {
  TimePoint now{std::chrono::hours(1)};
  WaitingRoom room([&now] { return now; });
  const FractionalMillis quick(50);
  const FractionalMillis slow(500);
  const WaiterId late_slow = room.Add({now - Millis(1), slow, kWork});
  const WaiterId late_quick = room.Add({now - Millis(9), quick, kWork});
  const WaiterId relaxed = room.Add({now + Millis(3000), slow, kWork});
  const WaiterId pressed = room.Add({now + Millis(700), slow, kWork});
  const std::vector<WaiterId> order = room.InOrder(9);
  CHECK(order ==
        std::vector<WaiterId>{pressed, relaxed, late_quick, late_slow});
  CHECK(room.MostUrgent() == Urgency(200));
  room.Remove(pressed);
  CHECK(room.InOrder(1) == std::vector<WaiterId>{relaxed});
}

TEST_CASE("The least late work is that of requests that cannot be in time") {
  TimePoint now{std::chrono::hours(1)};
  WaitingRoom room([&now] { return now; });
  room.Add({now + Millis(1000), FractionalMillis(50), FractionalMillis(500)});
  CHECK_FALSE(room.LeastLateWork().has_value());
  room.Add({now + Millis(100), FractionalMillis(200), FractionalMillis(3000)});
  room.Add({now - Millis(100), FractionalMillis(20), FractionalMillis(2000)});
  CHECK(room.LeastLateWork() == FractionalMillis(2000));
  now += Millis(960);
  CHECK(room.LeastLateWork() == FractionalMillis(500));
}

TEST_CASE("An empty waiting room has nothing urgent") {
  const WaitingRoom room([] { return TimePoint{}; });
  CHECK_FALSE(room.MostUrgent().has_value());
}

}  // namespace
}  // namespace harecrank
