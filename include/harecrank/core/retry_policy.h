// Decides whether a request is retried after a failed attempt.

#ifndef HARECRANK_CORE_RETRY_POLICY_H_
#define HARECRANK_CORE_RETRY_POLICY_H_

#include <optional>
#include <string>
#include <variant>

#include "harecrank/core/clock.h"
#include "harecrank/core/outcome.h"
#include "harecrank/core/retry_budget.h"

namespace harecrank {

// The ways in which one attempt of a request ends without a complete response.
struct AttemptRejected {
  std::string code;
  std::string message;
  std::optional<Millis> retry_after;
};
// The sidecar reported a failure, or the answer ended before all of it had
// arrived.
struct AttemptFailed {
  std::string code;
  std::string message;
};
// The link to the endpoint broke, the sidecar was silent or the stream was
// stuck, or a lost group member could not be replaced.
struct AttemptLost {
  std::string reason;
};
// The time limit of the request passed, or was about to pass before the request
// had started.
struct AttemptTimedOut {};
struct CallerDisconnected {};
using AttemptEnd = std::variant<AttemptRejected, AttemptFailed, AttemptLost,
                                AttemptTimedOut, CallerDisconnected>;

// What to do after an attempt without a complete response: try another
// endpoint, or send `refusal` to the caller.
struct TryElsewhere {};
struct GiveUp {
  Refusal refusal;
};
using AttemptStep = std::variant<TryElsewhere, GiveUp>;

// Which retries of a request are allowed.
enum class RetryMode {
  // The request may run again on any endpoint.
  kAllowed,
  // The request may go to another endpoint only if it is certain not to have
  // run.
  kOnlyIfNotRun,
  // The request may run on one particular endpoint only.
  kNever,
};

// Decides after each failed attempt of one request whether it is retried at
// another endpoint, within the retry mode, the deadline, the retry budget and
// kMaxAttempts. Not thread-safe.
class RetryPolicy {
 public:
  // `budget` is shared by all requests and must outlive this object.
  RetryPolicy(RetryMode mode, TimePoint deadline, MonotonicClock clock,
              RetryBudget* budget);

  // Returns what to do after an attempt that ended with `end`. `evidence` tells
  // how far this attempt progressed.
  AttemptStep Next(const AttemptEnd& end, const AttemptEvidence& evidence);

  // Returns the response for the caller if no endpoint is found for the next
  // attempt; unset until the first attempt has ended.
  const std::optional<Refusal>& LastRefusal() const { return last_refusal_; }

  int Attempts() const { return attempts_; }

  static constexpr int kMaxAttempts = 4;

 private:
  bool MayRetry(Outcome outcome) const;

  RetryMode mode_;
  TimePoint deadline_;
  MonotonicClock clock_;
  RetryBudget* budget_;
  int attempts_ = 1;
  // The weakest outcome of any attempt so far; kUnknown is the weakest, kNotRun
  // the strongest.
  Outcome weakest_outcome_ = Outcome::kNotRun;
  std::optional<Refusal> last_refusal_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_RETRY_POLICY_H_
