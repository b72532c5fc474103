#include "harecrank/core/retry_policy.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

struct RetryPolicyFixture {
  TimePoint now{};
  RetryBudget budget{100};
  AttemptEvidence evidence;

  RetryPolicy MakePolicy(RetryMode repeat) {
    return RetryPolicy(
        repeat, now + Millis(1000), [this] { return now; }, &budget);
  }
  static bool Retries(const AttemptStep& step) {
    return std::holds_alternative<TryElsewhere>(step);
  }
};

TEST_CASE_METHOD(RetryPolicyFixture,
                 "A repeatable request is retried after a lost connection") {
  RetryPolicy policy = MakePolicy(RetryMode::kAllowed);
  evidence.OnSubmitted();
  CHECK(Retries(policy.Next(AttemptLost{"cut"}, evidence)));
}

TEST_CASE_METHOD(RetryPolicyFixture,
                 "A request with a ticket is never retried elsewhere") {
  RetryPolicy policy = MakePolicy(RetryMode::kNever);
  evidence.OnSubmitted();
  evidence.OnNotStarted();
  const AttemptStep step =
      policy.Next(AttemptRejected{"overloaded", "", std::nullopt}, evidence);
  REQUIRE_FALSE(Retries(step));
  CHECK(std::get<GiveUp>(step).refusal.outcome == Outcome::kNotRun);
}

TEST_CASE_METHOD(
    RetryPolicyFixture,
    "A request that is not marked repeatable is retried only if not run") {
  RetryPolicy policy = MakePolicy(RetryMode::kOnlyIfNotRun);
  evidence.OnSubmitted();
  AttemptEvidence not_started = evidence;
  not_started.OnNotStarted();
  CHECK(Retries(policy.Next(AttemptRejected{"overloaded", "", std::nullopt},
                            not_started)));
  const AttemptStep step = policy.Next(AttemptLost{"cut"}, evidence);
  REQUIRE_FALSE(Retries(step));
  CHECK(std::get<GiveUp>(step).refusal.outcome == Outcome::kUnknown);
}

TEST_CASE_METHOD(RetryPolicyFixture,
                 "The final outcome is the weakest of all attempts") {
  RetryPolicy policy = MakePolicy(RetryMode::kAllowed);
  evidence.OnSubmitted();
  REQUIRE(Retries(policy.Next(AttemptLost{"cut"}, evidence)));
  AttemptEvidence not_started;
  not_started.OnSubmitted();
  not_started.OnNotStarted();
  now += Millis(1000);
  const AttemptStep step =
      policy.Next(AttemptRejected{"overloaded", "", std::nullopt}, not_started);
  CHECK(std::get<GiveUp>(step).refusal.outcome == Outcome::kUnknown);
}

TEST_CASE_METHOD(RetryPolicyFixture, "A rejection contains the time to retry") {
  RetryPolicy policy = MakePolicy(RetryMode::kNever);
  const AttemptStep step =
      policy.Next(AttemptRejected{"overloaded", "", Millis(1500)}, evidence);
  CHECK(std::get<GiveUp>(step).refusal.retry_after == Millis(1500));
  CHECK(std::get<GiveUp>(step).refusal.http_status == 429);
}

TEST_CASE_METHOD(RetryPolicyFixture, "No retry without budget") {
  RetryBudget empty(0);
  while (empty.TryRetry()) {
  }
  RetryPolicy policy(
      RetryMode::kAllowed, now + Millis(1000), [this] { return now; }, &empty);
  CHECK_FALSE(Retries(policy.Next(AttemptLost{"cut"}, evidence)));
}

TEST_CASE_METHOD(RetryPolicyFixture, "Attempts end at kMaxAttempts") {
  RetryPolicy policy = MakePolicy(RetryMode::kAllowed);
  int attempts = 1;
  while (Retries(policy.Next(AttemptLost{"cut"}, evidence))) {
    ++attempts;
  }
  CHECK(attempts == RetryPolicy::kMaxAttempts);
}

TEST_CASE("Retries stay within their ratio to first attempts") {
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
