// Whether a request whose attempt came to nothing is tried again.

#ifndef HARECRANK_CORE_RETRY_POLICY_H_
#define HARECRANK_CORE_RETRY_POLICY_H_

#include <optional>
#include <string>
#include <variant>

#include "harecrank/core/clock.h"
#include "harecrank/core/outcome.h"
#include "harecrank/core/retry_budget.h"

namespace harecrank {

// How an attempt ended without a whole answer.
struct AttemptRejected {
  std::string code;
  std::string message;
  std::optional<Millis> retry_after;
};
struct AttemptFailed {
  std::string code;
  std::string message;
};
struct AttemptLost {
  std::string reason;
};
struct AttemptTimedOut {};
struct CallerDisconnected {};
using AttemptEnd = std::variant<AttemptRejected, AttemptFailed, AttemptLost,
                                AttemptTimedOut, CallerDisconnected>;

// What to do next.
struct TryElsewhere {};
struct GiveUp {
  Refusal refusal;
};
using AttemptStep = std::variant<TryElsewhere, GiveUp>;

// What may be done with a request besides its first attempt.
enum class RetryMode {
  // Any endpoint may run it again.
  kAllowed,
  // It may go to another endpoint only while it is certain not to have run.
  kOnlyIfNotRun,
  // It has one place where it may run.
  kNever,
};

// Keeps the tries of one request. Not thread-safe.
class RetryPolicy {
 public:
  // `budget` is shared by all requests and must outlive this.
  RetryPolicy(RetryMode repeat, TimePoint deadline, MonotonicClock clock,
              RetryBudget* budget);

  // Returns what follows an attempt that ended in `end`, given what is known
  // of it.
  AttemptStep Next(const AttemptEnd& end, const AttemptEvidence& evidence);

  // Returns the answer to give if the next attempt finds no endpoint; nothing
  // before the first attempt has ended.
  const std::optional<Refusal>& LastRefusal() const { return last_refusal_; }

  int Attempts() const { return attempts_; }

  static constexpr int kMaxAttempts = 4;

 private:
  bool MayTryAgain(Outcome outcome) const;

  RetryMode repeat_;
  TimePoint deadline_;
  MonotonicClock clock_;
  RetryBudget* budget_;
  int attempts_ = 1;
  // The weakest claim of all attempts so far.
  Outcome overall_ = Outcome::kNotRun;
  std::optional<Refusal> last_refusal_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_RETRY_POLICY_H_
