#include "harecrank/core/outcome.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

TEST_CASE("A request that never left was not run") {
  CHECK(AttemptEvidence().Conclude() == Outcome::kNotRun);
}

TEST_CASE("A request that left without an answer is unknown") {
  AttemptEvidence evidence;
  evidence.OnSubmitted();
  CHECK(evidence.Conclude() == Outcome::kUnknown);
}

TEST_CASE("The sidecar's word that it did not start proves not run") {
  AttemptEvidence evidence;
  evidence.OnSubmitted();
  evidence.OnNotStarted();
  CHECK(evidence.Conclude() == Outcome::kNotRun);
}

TEST_CASE("A start outweighs a later denial") {
  AttemptEvidence evidence;
  evidence.OnSubmitted();
  evidence.OnStarted();
  evidence.OnNotStarted();
  CHECK(evidence.Conclude() == Outcome::kUnknown);
}

TEST_CASE("A run whose end is certain has failed") {
  AttemptEvidence evidence;
  evidence.OnSubmitted();
  evidence.OnStarted();
  evidence.OnRunFailed();
  CHECK(evidence.Conclude() == Outcome::kFailed);
}

TEST_CASE("A word that is not an outcome counts as unknown") {
  CHECK(OutcomeFromName("perhaps") == Outcome::kUnknown);
  CHECK(OutcomeFromName(OutcomeName(Outcome::kNotRun)) == Outcome::kNotRun);
}

}  // namespace
}  // namespace harecrank
