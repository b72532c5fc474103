#include "harecrank/core/repeat_budget.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

// Sends repeats for as long as they are permitted, and returns their number.
int SendRepeats(RepeatBudget* budget, int hosts) {
  int repeats = 0;
  while (const auto permit = budget->TryRepeat(hosts).permit) {
    budget->OnRepeatSent(*permit);
    ++repeats;
  }
  return repeats;
}

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
    repeats += SendRepeats(&budget, kHosts);
  }
  CHECK(repeats <= 0.2 * kHosts * kFirstAttempts + 100);
  CHECK(repeats > 0.1 * kHosts * kFirstAttempts);
}

TEST_CASE("Repeats become available again when the window has passed") {
  TimePoint now{};
  RepeatBudget budget({0, 10, Millis(1000)}, [&now] { return now; });
  SendRepeats(&budget, 1);
  now += Millis(500);
  CHECK_FALSE(budget.TryRepeat(1).permit.has_value());
  now += Millis(600);
  CHECK(budget.TryRepeat(1).permit.has_value());
}

TEST_CASE("Repeats that wait to be sent do not pile up beyond the limit") {
  TimePoint now{};
  RepeatBudget budget({0, 10, Millis(1000)}, [&now] { return now; });
  int waiting = 0;
  while (budget.TryRepeat(1).permit.has_value()) {
    ++waiting;
  }
  REQUIRE(waiting > 0);
  now += Millis(1100);
  CHECK_FALSE(budget.TryRepeat(1).permit.has_value());
}

TEST_CASE("A repeat that is withdrawn may be used by another request") {
  TimePoint now{};
  RepeatBudget budget({0, 10, Millis(1000)}, [&now] { return now; });
  std::optional<RepeatPermit> last;
  while (const auto permit = budget.TryRepeat(1).permit) {
    last = permit;
  }
  REQUIRE(last.has_value());
  budget.OnRepeatWithdrawn(*last);
  CHECK(budget.TryRepeat(1).permit.has_value());
  CHECK_FALSE(budget.TryRepeat(1).permit.has_value());
}

TEST_CASE("A repeat counts for a whole window after it was sent") {
  TimePoint now{};
  constexpr Millis kWindow{10000};
  RepeatBudget budget({0, 10, kWindow}, [&now] { return now; });
  // Begins a slice of the window, in which the repeats are sent later.
  budget.OnFirstAttempt();
  now += kWindow / 25;
  SendRepeats(&budget, 1);
  now += kWindow - Millis(1);
  CHECK_FALSE(budget.TryRepeat(1).permit.has_value());
}

TEST_CASE("A process that ends and its successor earn no repeats twice") {
  TimePoint now{};
  const RepeatLimit limit{0.2, 0, Millis(1000)};
  constexpr int kRequestsPerWindow = 1000;
  int repeats = 0;
  // The first process is denied nothing until its end, the second one until the
  // end of the window that begins there.
  for (int process = 0; process < 2; ++process) {
    RepeatBudget budget(limit, [&now] { return now; });
    for (int i = 0; i < kRequestsPerWindow; ++i) {
      now += limit.window / kRequestsPerWindow;
      budget.OnFirstAttempt();
    }
    repeats += SendRepeats(&budget, 1);
  }
  CHECK(repeats <= limit.ratio * kRequestsPerWindow);
  CHECK(repeats > 0);
}

TEST_CASE("The use of the limit tells what was sent and what may be") {
  TimePoint now{};
  RepeatBudget budget({0.5, 20, Millis(1000)}, [&now] { return now; });
  budget.OnFirstAttempt();
  budget.OnFirstAttempt();
  const RepeatDecision decision = budget.TryRepeat(2);
  REQUIRE(decision.permit.has_value());
  CHECK(decision.use.first_attempts == 2);
  CHECK(decision.use.repeats == 0);
  CHECK(decision.use.unsent == 0);
  CHECK(budget.Use(2).unsent == 1);
  CHECK(decision.use.hosts == 2);
  CHECK(decision.use.allowance > 1);
  CHECK(decision.use.allowance < 20);
  budget.OnRepeatSent(*decision.permit);
  CHECK(budget.Use(2).repeats == 1);
  CHECK(budget.Use(2).unsent == 0);
  now += Millis(1100);
  CHECK(budget.Use(2).first_attempts == 0);
  CHECK(budget.Use(2).repeats == 0);
}

}  // namespace
}  // namespace harecrank
