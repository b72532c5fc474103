// What callers learn about a request that received no complete response.

#ifndef HARECRANK_CORE_OUTCOME_H_
#define HARECRANK_CORE_OUTCOME_H_

#include <optional>
#include <string>

#include "harecrank/core/strong_types.h"

namespace harecrank {

// How far a failed request may have progressed.
enum class Outcome {
  // The request has not run and will not run. Reported only if this is proven.
  kNotRun,
  // The request ran or started to run, and failed.
  kFailed,
  // The request may have run, or may still run.
  kUnknown,
};

// Returns the name that callers see: "not_run", "failed" or "unknown".
const char* OutcomeName(Outcome outcome);

// Returns the outcome with the given name. Unknown names give kUnknown, which
// asserts the least.
Outcome OutcomeFromName(const std::string& name);

// A final response other than success, as callers see it.
struct Refusal {
  int http_status = 500;
  // Error code that does not change between versions, such as "overloaded".
  std::string code;
  // Explanation in one sentence for human readers.
  std::string message;
  Outcome outcome = Outcome::kUnknown;
  // Time after which the caller should retry; unset if a retry is of no use.
  std::optional<Millis> retry_after;
};

// What an entry host knows about one attempt at an endpoint. Facts are only
// added, never revoked, and Conclude derives from them the strongest outcome
// that they prove.
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
