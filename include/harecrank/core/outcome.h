// What a caller may be told about a request that brought no whole answer.

#ifndef HARECRANK_CORE_OUTCOME_H_
#define HARECRANK_CORE_OUTCOME_H_

#include <optional>
#include <string>

#include "harecrank/core/strong_types.h"

namespace harecrank {

// How far a request that failed can have come.
enum class Outcome {
  // It did not run and never will. Said only on proof.
  kNotRun,
  // It ran, or began to, and failed.
  kFailed,
  // It may have run, or may still run.
  kUnknown,
};

// Returns the word that callers see: "not_run", "failed" or "unknown".
const char* OutcomeName(Outcome outcome);

// Returns the outcome that `name` stands for, or kUnknown for any other word:
// the weakest claim.
Outcome OutcomeFromName(const std::string& name);

// A final answer other than success, in the form that callers see.
struct Refusal {
  int http_status = 500;
  // A stable word, such as "overloaded".
  std::string code;
  // One sentence for a person.
  std::string message;
  Outcome outcome = Outcome::kUnknown;
  // When to come back, where a retry makes sense.
  std::optional<Millis> retry_after;
};

// What an entry host knows about one attempt at an endpoint. The facts only
// accumulate; Conclude turns them into the strongest claim they prove.
class AttemptEvidence {
 public:
  // The submission was handed to the link: from here on it may run.
  void OnSubmitted() { submitted_ = true; }
  // The sidecar said that it did not and will not start the request.
  void OnNotStarted() { not_started_ = true; }
  // The sidecar said that the engine has the request, or a token came.
  void OnStarted() { started_ = true; }
  // The sidecar said that the run has ended with an error.
  void OnRunFailed() { run_failed_ = true; }

  // Returns the strongest outcome that the facts prove.
  Outcome Conclude() const;

 private:
  bool submitted_ = false;
  bool not_started_ = false;
  bool started_ = false;
  bool run_failed_ = false;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_OUTCOME_H_
