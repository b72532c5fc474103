#include "harecrank/core/retry_policy.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

struct Fixture {
  TimePoint now{};
  RetryBudget budget{100};
  AttemptEvidence evidence;

  RetryPolicy MakePolicy(RetryMode repeat) {
    return RetryPolicy(
        repeat, now + Millis(1000), [this] { return now; }, &budget);
  }
  static bool TriesAgain(const AttemptStep& step) {
    return std::holds_alternative<TryElsewhere>(step);
  }
};

TEST_CASE_METHOD(Fixture, "A repeatable request whose link broke tries again") {
  RetryPolicy policy = MakePolicy(RetryMode::kAllowed);
  evidence.OnSubmitted();
  CHECK(TriesAgain(policy.Next(AttemptLost{"cut"}, evidence)));
}

TEST_CASE_METHOD(Fixture, "A ticketed request never goes elsewhere") {
  RetryPolicy policy = MakePolicy(RetryMode::kNever);
  evidence.OnSubmitted();
  evidence.OnNotStarted();
  const AttemptStep step =
      policy.Next(AttemptRejected{"overloaded", "", std::nullopt}, evidence);
  REQUIRE_FALSE(TriesAgain(step));
  CHECK(std::get<GiveUp>(step).refusal.outcome == Outcome::kNotRun);
}

TEST_CASE_METHOD(Fixture, "An unmarked change goes elsewhere only if not run") {
  RetryPolicy policy = MakePolicy(RetryMode::kOnlyIfNotRun);
  evidence.OnSubmitted();
  AttemptEvidence denied = evidence;
  denied.OnNotStarted();
  CHECK(TriesAgain(
      policy.Next(AttemptRejected{"overloaded", "", std::nullopt}, denied)));
  const AttemptStep step = policy.Next(AttemptLost{"cut"}, evidence);
  REQUIRE_FALSE(TriesAgain(step));
  CHECK(std::get<GiveUp>(step).refusal.outcome == Outcome::kUnknown);
}

TEST_CASE_METHOD(Fixture, "A request of several attempts claims the weakest") {
  RetryPolicy policy = MakePolicy(RetryMode::kAllowed);
  evidence.OnSubmitted();
  REQUIRE(TriesAgain(policy.Next(AttemptLost{"cut"}, evidence)));
  AttemptEvidence denied;
  denied.OnSubmitted();
  denied.OnNotStarted();
  now += Millis(1000);
  const AttemptStep step =
      policy.Next(AttemptRejected{"overloaded", "", std::nullopt}, denied);
  CHECK(std::get<GiveUp>(step).refusal.outcome == Outcome::kUnknown);
}

TEST_CASE_METHOD(Fixture, "A refusal tells when to come back") {
  RetryPolicy policy = MakePolicy(RetryMode::kNever);
  const AttemptStep step =
      policy.Next(AttemptRejected{"overloaded", "", Millis(1500)}, evidence);
  CHECK(std::get<GiveUp>(step).refusal.retry_after == Millis(1500));
  CHECK(std::get<GiveUp>(step).refusal.http_status == 429);
}

TEST_CASE_METHOD(Fixture, "Tries end with the budget") {
  RetryBudget empty(0);
  while (empty.TryRetry()) {
  }
  RetryPolicy policy(
      RetryMode::kAllowed, now + Millis(1000), [this] { return now; }, &empty);
  CHECK_FALSE(TriesAgain(policy.Next(AttemptLost{"cut"}, evidence)));
}

TEST_CASE_METHOD(Fixture, "Tries end at their greatest number") {
  RetryPolicy policy = MakePolicy(RetryMode::kAllowed);
  int tries = 1;
  while (TriesAgain(policy.Next(AttemptLost{"cut"}, evidence))) {
    ++tries;
  }
  CHECK(tries == RetryPolicy::kMaxAttempts);
}

TEST_CASE("Retries stay within their share of first attempts") {
  RetryBudget budget(10);
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnFirstAttempt();
    retries += budget.TryRetry() ? 1 : 0;
  }
  INFO("1000 first attempts allowed " << retries << " retries");
  CHECK(retries <= 111);
  CHECK(retries >= 100);
}

}  // namespace
}  // namespace harecrank
