#include "harecrank/core/retry_policy.h"

#include <set>
#include <utility>

#include "harecrank/core/http_status.h"

namespace harecrank {
namespace {

constexpr Millis kDefaultRetryAfter{1000};

// Returns whether every other endpoint would reject the request in the same
// way.
bool IsFinalRefusal(const std::string& code) {
  static const std::set<std::string> kFinalCodes{
      "bad_request", "deadline_exceeded", "ticket_ended", "larger_than_engine"};
  return kFinalCodes.count(code) > 0;
}

int StatusOfRefusal(const std::string& code) {
  if (code == "overloaded") {
    return http_status::kTooManyRequests;
  }
  if (code == "deadline_exceeded") {
    return http_status::kGatewayTimeout;
  }
  if (code == "bad_request" || code == "ticket_ended" ||
      code == "larger_than_engine") {
    return http_status::kBadRequest;
  }
  return http_status::kUnavailable;
}

// Visitor that converts the end of an attempt into the caller's response.
struct ToRefusal {
  Outcome outcome;

  Refusal operator()(const AttemptRejected& end) const {
    Refusal refusal{StatusOfRefusal(end.code), end.code, end.message, outcome,
                    end.retry_after};
    if (!refusal.retry_after && !IsFinalRefusal(end.code)) {
      refusal.retry_after = kDefaultRetryAfter;
    }
    return refusal;
  }
  Refusal operator()(const AttemptFailed& end) const {
    return Refusal{http_status::kBadGateway, end.code, end.message, outcome,
                   std::nullopt};
  }
  Refusal operator()(const AttemptLost& end) const {
    return Refusal{http_status::kBadGateway, "endpoint_lost", end.reason,
                   outcome, std::nullopt};
  }
  Refusal operator()(const AttemptTimedOut&) const {
    return Refusal{http_status::kGatewayTimeout, "deadline_exceeded",
                   "the request's time limit has passed", outcome,
                   std::nullopt};
  }
  Refusal operator()(const CallerDisconnected&) const {
    return Refusal{http_status::kClientClosed, "caller_left", "the caller left",
                   outcome, std::nullopt};
  }
};

// Visitor that returns whether the end of an attempt permits a retry at all.
struct AllowsRetry {
  bool operator()(const AttemptRejected& end) const {
    return !IsFinalRefusal(end.code);
  }
  bool operator()(const AttemptFailed&) const { return true; }
  bool operator()(const AttemptLost&) const { return true; }
  bool operator()(const AttemptTimedOut&) const { return false; }
  bool operator()(const CallerDisconnected&) const { return false; }
};

// Returns the outcome that asserts less: kUnknown before kFailed before
// kNotRun.
Outcome Weaker(Outcome a, Outcome b) {
  if (a == Outcome::kUnknown || b == Outcome::kUnknown) {
    return Outcome::kUnknown;
  }
  return a == Outcome::kFailed || b == Outcome::kFailed ? Outcome::kFailed
                                                        : Outcome::kNotRun;
}

}  // namespace

RetryPolicy::RetryPolicy(RetryMode mode, TimePoint deadline,
                         MonotonicClock clock, RetryBudget* budget)
    : mode_(mode),
      deadline_(deadline),
      clock_(std::move(clock)),
      budget_(budget) {
  budget_->OnFirstAttempt();
}

AttemptStep RetryPolicy::Next(const AttemptEnd& end,
                              const AttemptEvidence& evidence) {
  const Outcome outcome = evidence.Conclude();
  weakest_outcome_ = Weaker(weakest_outcome_, outcome);
  last_refusal_ = std::visit(ToRefusal{weakest_outcome_}, end);
  if (std::visit(AllowsRetry{}, end) && MayRetry(outcome) &&
      budget_->TryRetry()) {
    ++attempts_;
    return TryElsewhere{};
  }
  return GiveUp{*last_refusal_};
}

bool RetryPolicy::MayRetry(Outcome outcome) const {
  if (attempts_ >= kMaxAttempts || clock_() >= deadline_) {
    return false;
  }
  switch (mode_) {
    case RetryMode::kAllowed:
      return true;
    case RetryMode::kOnlyIfNotRun:
      return outcome == Outcome::kNotRun;
    case RetryMode::kNever:
      return false;
  }
  return false;
}

}  // namespace harecrank
