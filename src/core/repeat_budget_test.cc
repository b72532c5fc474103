#include "harecrank/core/repeat_budget.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

TEST_CASE("Hosts that each use their whole part stay within the limit") {
  TimePoint now{};
  const RepeatLimit limit{0.2, 100, Millis(10000)};
  constexpr int kHosts = 3;
  constexpr int kFirstAttempts = 400;
  int repeats = 0;
  for (int host = 0; host < kHosts; ++host) {
    RepeatBudget budget(limit, [&now] { return now; });
    for (int i = 0; i < kFirstAttempts; ++i) {
      budget.OnFirstAttempt();
    }
    while (budget.TryRepeat(kHosts)) {
      ++repeats;
    }
  }
  CHECK(repeats <= 0.2 * kHosts * kFirstAttempts + 100);
  CHECK(repeats > 0.1 * kHosts * kFirstAttempts);
}

TEST_CASE("Repeats become available again when the window has passed") {
  TimePoint now{};
  RepeatBudget budget({0, 10, Millis(1000)}, [&now] { return now; });
  while (budget.TryRepeat(1)) {
  }
  now += Millis(500);
  CHECK_FALSE(budget.TryRepeat(1));
  now += Millis(600);
  CHECK(budget.TryRepeat(1));
}

}  // namespace
}  // namespace harecrank
