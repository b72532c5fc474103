// Keeps a process that was suspended from acting on an outdated decision.

#ifndef HARECRANK_CORE_PAUSE_GUARD_H_
#define HARECRANK_CORE_PAUSE_GUARD_H_

#include <utility>

#include "harecrank/core/clock.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// Limits the time between a decision and the action that follows from it.
//
// MayAct is called just before the action. A suspension between that call and
// the action, a few instructions and one system call, is not detected; only a
// fencing token that the receiver checks closes this window. Not thread-safe.
class PauseGuard {
 public:
  // A decision older than `max_age` must not be acted on.
  PauseGuard(Millis max_age, MonotonicClock clock)
      : max_age_(max_age), clock_(std::move(clock)) {}

  // Records that a decision is made now, on data read now.
  void OnDecision() { decided_ = clock_(); }

  // Returns whether the last decision may still be acted on.
  bool MayAct() const { return clock_() - decided_ <= max_age_; }

 private:
  Millis max_age_;
  MonotonicClock clock_;
  TimePoint decided_{};
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_PAUSE_GUARD_H_
