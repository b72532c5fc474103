#include "harecrank/core/wait_queue.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

constexpr FractionalMillis kWork{4000};

TEST_CASE(
    "Requests with little time to spare go first, and those that are "
    "late after all others, the quickest first") {
  TimePoint now{std::chrono::hours(1)};
  WaitQueue room([&now] { return now; });
  const FractionalMillis quick(50);
  const FractionalMillis slow(500);
  const WaitingRequestId late_slow = room.Add({now - Millis(1), slow, kWork});
  const WaitingRequestId late_quick = room.Add({now - Millis(9), quick, kWork});
  const WaitingRequestId relaxed = room.Add({now + Millis(3000), slow, kWork});
  const WaitingRequestId pressed = room.Add({now + Millis(700), slow, kWork});
  const std::vector<WaitingRequestId> order = room.InOrder(9);
  CHECK(order ==
        std::vector<WaitingRequestId>{pressed, relaxed, late_quick, late_slow});
  CHECK(room.MostUrgent() == Urgency(200));
  room.Remove(pressed);
  CHECK(room.InOrder(1) == std::vector<WaitingRequestId>{relaxed});
}

TEST_CASE("The least late work is that of requests that cannot be in time") {
  TimePoint now{std::chrono::hours(1)};
  WaitQueue room([&now] { return now; });
  room.Add({now + Millis(1000), FractionalMillis(50), FractionalMillis(500)});
  CHECK_FALSE(room.LeastLateWork().has_value());
  room.Add({now + Millis(100), FractionalMillis(200), FractionalMillis(3000)});
  room.Add({now - Millis(100), FractionalMillis(20), FractionalMillis(2000)});
  CHECK(room.LeastLateWork() == FractionalMillis(2000));
  now += Millis(960);
  CHECK(room.LeastLateWork() == FractionalMillis(500));
}

TEST_CASE("An empty waiting room has nothing urgent") {
  const WaitQueue room([] { return TimePoint{}; });
  CHECK_FALSE(room.MostUrgent().has_value());
}

// A flood of prompts that want twice the engine time that there is.
TEST_CASE("In a flood the order decides who is served in time") {
  TimePoint now{std::chrono::hours(1)};
  const FractionalMillis quick(50);
  const auto order_of = [&now, quick](QueueOrder order) {
    WaitQueue room([&now] { return now; }, order);
    const WaitingRequest old_small{now + Millis(100), quick,
                                   FractionalMillis(900)};
    const WaitingRequest new_large{now + Millis(900), quick,
                                   FractionalMillis(4000)};
    const WaitingRequest late{now - Millis(1), quick, FractionalMillis(10)};
    const WaitingRequestId large = room.Add(new_large);
    room.Add(late);
    const WaitingRequestId small = room.Add(old_small);
    const std::vector<WaitingRequestId> ids = room.InOrder(3);
    return std::make_pair(ids[0] == small && ids[1] == large,
                          ids[0] == large && ids[1] == small);
  };
  CHECK(order_of(LeastSlackFirst{}).first);
  CHECK(order_of(MostSlackFirst{}).second);
  CHECK(order_of(LeastWorkFirst{}).first);
}

TEST_CASE("Of prompts of the same work the one with less to spare goes first") {
  TimePoint now{std::chrono::hours(1)};
  WaitQueue room([&now] { return now; }, LeastWorkFirst{});
  const FractionalMillis quick(50);
  room.Add({now + Millis(900), quick, kWork});
  const WaitingRequestId pressed = room.Add({now + Millis(300), quick, kWork});
  CHECK(room.InOrder(1) == std::vector<WaitingRequestId>{pressed});
}

TEST_CASE(
    "With shares, an account that has had its own goes after the others that "
    "can be in time, and before those that cannot") {
  TimePoint now{std::chrono::hours(1)};
  const FractionalMillis quick(50);
  const auto order_of = [&now, quick](bool shares) {
    WaitQueue room([&now] { return now; }, LeastSlackFirst{}, shares);
    const auto claim = [](const char* account) {
      return ShareClaim{AccountId{account}, kWork, 0};
    };
    room.OnGranted(claim("large"));
    room.OnGranted(claim("large"));
    const TimePoint soon = now + Millis(100);
    const WaitingRequestId sated =
        room.Add({soon, quick, kWork, false, TimePoint::max(), claim("large")});
    const WaitingRequestId next =
        room.Add({soon + Millis(50), quick, kWork, false, TimePoint::max(),
                  claim("large")});
    const WaitingRequestId owed =
        room.Add({now + Millis(900), quick, kWork, false, TimePoint::max(),
                  claim("small")});
    const WaitingRequestId late =
        room.Add({now - Millis(1), quick, kWork, false, TimePoint::max(),
                  claim("small")});
    const std::vector<WaitingRequestId> order = room.InOrder(4);
    if (order == std::vector<WaitingRequestId>{owed, sated, next, late}) {
      return 1;
    }
    return order == std::vector<WaitingRequestId>{sated, next, owed, late} ? 0
                                                                           : -1;
  };
  CHECK(order_of(true) == 1);
  CHECK(order_of(false) == 0);
}

TEST_CASE("With shares, one that leaves the room no longer counts") {
  WaitQueue room([] { return TimePoint{}; }, LeastSlackFirst{}, true);
  const ShareClaim large{AccountId{"large"}, kWork, 0};
  const ShareClaim small{AccountId{"small"}, kWork, 0};
  room.OnGranted(large);
  const WaitingRequestId id =
      room.Add({TimePoint{}, kWork, kWork, false, TimePoint::max(), small});
  CHECK(room.ShareRankOf(large) == ShareRank::kAfter);
  room.Remove(id);
  room.Remove(id);
  CHECK(room.WaitingAccounts() == 0);
  CHECK(room.ShareRankOf(large) == ShareRank::kEqual);
}

}  // namespace
}  // namespace harecrank
