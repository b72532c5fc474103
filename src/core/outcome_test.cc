#include "harecrank/core/outcome.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

TEST_CASE("A request that was not submitted was not run") {
  CHECK(AttemptEvidence().Conclude() == Outcome::kNotRun);
}

TEST_CASE("A submitted request without a response is unknown") {
  AttemptEvidence evidence;
  evidence.OnSubmitted();
  CHECK(evidence.Conclude() == Outcome::kUnknown);
}

TEST_CASE("The sidecar's report of no start proves not run") {
  AttemptEvidence evidence;
  evidence.OnSubmitted();
  evidence.OnNotStarted();
  CHECK(evidence.Conclude() == Outcome::kNotRun);
}

TEST_CASE("A start outweighs a later report of no start") {
  AttemptEvidence evidence;
  evidence.OnSubmitted();
  evidence.OnStarted();
  evidence.OnNotStarted();
  CHECK(evidence.Conclude() == Outcome::kUnknown);
}

TEST_CASE("A run that ended with an error has failed") {
  AttemptEvidence evidence;
  evidence.OnSubmitted();
  evidence.OnStarted();
  evidence.OnRunFailed();
  CHECK(evidence.Conclude() == Outcome::kFailed);
}

TEST_CASE("An unknown name is the outcome unknown") {
  CHECK(OutcomeFromName("perhaps") == Outcome::kUnknown);
  CHECK(OutcomeFromName(OutcomeName(Outcome::kNotRun)) == Outcome::kNotRun);
}

}  // namespace
}  // namespace harecrank
