#include "harecrank/core/wait_queue.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

constexpr FractionalMillis kWork{4000};

TEST_CASE(
    "Requests with the least slack go first, and late ones go last by "
    "prefill time") {
  TimePoint now{std::chrono::hours(1)};
  WaitQueue queue([&now] { return now; });
  const FractionalMillis quick(50);
  const FractionalMillis slow(500);
  const WaitingRequestId late_slow = queue.Add({now - Millis(1), slow, kWork});
  const WaitingRequestId late_quick =
      queue.Add({now - Millis(9), quick, kWork});
  const WaitingRequestId more_slack =
      queue.Add({now + Millis(3000), slow, kWork});
  const WaitingRequestId less_slack =
      queue.Add({now + Millis(700), slow, kWork});
  const std::vector<WaitingRequestId> order = queue.InOrder(9);
  CHECK(order == std::vector<WaitingRequestId>{less_slack, more_slack,
                                               late_quick, late_slow});
  CHECK(queue.MostUrgent() == Urgency(200));
  queue.Remove(less_slack);
  CHECK(queue.InOrder(1) == std::vector<WaitingRequestId>{more_slack});
}

TEST_CASE(
    "The least late work counts only requests that cannot meet their "
    "target") {
  TimePoint now{std::chrono::hours(1)};
  WaitQueue queue([&now] { return now; });
  queue.Add({now + Millis(1000), FractionalMillis(50), FractionalMillis(500)});
  CHECK_FALSE(queue.LeastLateWork().has_value());
  queue.Add({now + Millis(100), FractionalMillis(200), FractionalMillis(3000)});
  queue.Add({now - Millis(100), FractionalMillis(20), FractionalMillis(2000)});
  CHECK(queue.LeastLateWork() == FractionalMillis(2000));
  now += Millis(960);
  CHECK(queue.LeastLateWork() == FractionalMillis(500));
}

TEST_CASE("An empty queue has no most urgent request") {
  const WaitQueue queue([] { return TimePoint{}; });
  CHECK_FALSE(queue.MostUrgent().has_value());
}

// Prompts that need twice the available engine time.
TEST_CASE("Under overload the queue order decides which request goes first") {
  TimePoint now{std::chrono::hours(1)};
  const FractionalMillis quick(50);
  const auto order_of = [&now, quick](QueueOrder order) {
    WaitQueue queue([&now] { return now; }, order);
    const WaitingRequest old_small{now + Millis(100), quick,
                                   FractionalMillis(900)};
    const WaitingRequest new_large{now + Millis(900), quick,
                                   FractionalMillis(4000)};
    const WaitingRequest late{now - Millis(1), quick, FractionalMillis(10)};
    const WaitingRequestId large = queue.Add(new_large);
    queue.Add(late);
    const WaitingRequestId small = queue.Add(old_small);
    const std::vector<WaitingRequestId> ids = queue.InOrder(3);
    return std::make_pair(ids[0] == small && ids[1] == large,
                          ids[0] == large && ids[1] == small);
  };
  CHECK(order_of(LeastSlackFirst{}).first);
  CHECK(order_of(MostSlackFirst{}).second);
  CHECK(order_of(LeastWorkFirst{}).first);
}

TEST_CASE("Of prompts with equal work the one with less slack goes first") {
  TimePoint now{std::chrono::hours(1)};
  WaitQueue queue([&now] { return now; }, LeastWorkFirst{});
  const FractionalMillis quick(50);
  queue.Add({now + Millis(900), quick, kWork});
  const WaitingRequestId less_slack =
      queue.Add({now + Millis(300), quick, kWork});
  CHECK(queue.InOrder(1) == std::vector<WaitingRequestId>{less_slack});
}

TEST_CASE(
    "With shares, requests of an account over its share go after "
    "other requests that can meet their target and before late ones") {
  TimePoint now{std::chrono::hours(1)};
  const FractionalMillis quick(50);
  const auto order_of = [&now, quick](bool shares) {
    WaitQueue queue([&now] { return now; }, LeastSlackFirst{}, shares);
    const auto claim = [](const char* account) {
      return ShareClaim{AccountId{account}, kWork, 0};
    };
    queue.OnGranted(claim("large"));
    queue.OnGranted(claim("large"));
    const TimePoint soon = now + Millis(100);
    const WaitingRequestId over_share = queue.Add(
        {soon, quick, kWork, false, TimePoint::max(), claim("large")});
    const WaitingRequestId next =
        queue.Add({soon + Millis(50), quick, kWork, false, TimePoint::max(),
                   claim("large")});
    const WaitingRequestId under_share =
        queue.Add({now + Millis(900), quick, kWork, false, TimePoint::max(),
                   claim("small")});
    const WaitingRequestId late =
        queue.Add({now - Millis(1), quick, kWork, false, TimePoint::max(),
                   claim("small")});
    const std::vector<WaitingRequestId> order = queue.InOrder(4);
    if (order ==
        std::vector<WaitingRequestId>{under_share, over_share, next, late}) {
      return 1;
    }
    return order == std::vector<WaitingRequestId>{over_share, next, under_share,
                                                  late}
               ? 0
               : -1;
  };
  CHECK(order_of(true) == 1);
  CHECK(order_of(false) == 0);
}

TEST_CASE("With shares, a removed request no longer counts") {
  WaitQueue queue([] { return TimePoint{}; }, LeastSlackFirst{}, true);
  const ShareClaim large{AccountId{"large"}, kWork, 0};
  const ShareClaim small{AccountId{"small"}, kWork, 0};
  queue.OnGranted(large);
  const WaitingRequestId id =
      queue.Add({TimePoint{}, kWork, kWork, false, TimePoint::max(), small});
  CHECK(queue.ShareRankOf(large) == ShareRank::kAfter);
  queue.Remove(id);
  queue.Remove(id);
  CHECK(queue.WaitingAccounts() == 0);
  CHECK(queue.ShareRankOf(large) == ShareRank::kEqual);
}

}  // namespace
}  // namespace harecrank
