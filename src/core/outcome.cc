#include "harecrank/core/outcome.h"

namespace harecrank {

const char* OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kFailed:
      return "failed";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

Outcome OutcomeFromName(const std::string& name) {
  if (name == "not_run") {
    return Outcome::kNotRun;
  }
  if (name == "failed") {
    return Outcome::kFailed;
  }
  return Outcome::kUnknown;
}

Outcome AttemptEvidence::Conclude() const {
  // A report that the request started outweighs a report that it did not: if
  // reports contradict each other, the request must not be described as not
  // run.
  if (run_failed_) {
    return Outcome::kFailed;
  }
  if (started_) {
    return Outcome::kUnknown;
  }
  if (!submitted_ || not_started_) {
    return Outcome::kNotRun;
  }
  return Outcome::kUnknown;
}

}  // namespace harecrank
