// What a caller may be told about a request that received no complete response.

#ifndef HARECRANK_CORE_OUTCOME_H_
#define HARECRANK_CORE_OUTCOME_H_

#include <optional>
#include <string>

#include "harecrank/core/strong_types.h"

namespace harecrank {

// How far a failed request may have progressed.
enum class Outcome {
  // It has not run and will not run. Reported only if proven.
  kNotRun,
  // It ran or started to run, and failed.
  kFailed,
  // It may have run, or may still run.
  kUnknown,
};

// Returns the name that callers see: "not_run", "failed" or "unknown".
const char* OutcomeName(Outcome outcome);

// Returns the outcome with the given name. Unknown names give kUnknown, the
// weakest claim.
Outcome OutcomeFromName(const std::string& name);

// A final response other than success, as callers see it.
struct Refusal {
  int http_status = 500;
  // A stable code, such as "overloaded".
  std::string code;
  // One sentence for people.
  std::string message;
  Outcome outcome = Outcome::kUnknown;
  // When to retry; unset if a retry is of no use.
  std::optional<Millis> retry_after;
};

// What an entry host knows about one attempt at an endpoint. Facts are only
// added, never revoked; Conclude derives the strongest outcome that they prove.
class AttemptEvidence {
 public:
  // The request was handed to the connection and may run from now on.
  void OnSubmitted() { submitted_ = true; }
  // The sidecar reported that it has not started the request and will not.
  void OnNotStarted() { not_started_ = true; }
  // The sidecar reported that the engine has the request, or a token arrived.
  void OnStarted() { started_ = true; }
  // The sidecar reported that the run ended with an error.
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
