// Prevents a process that was suspended from acting on a decision that has
// become outdated.

#ifndef HARECRANK_CORE_PAUSE_GUARD_H_
#define HARECRANK_CORE_PAUSE_GUARD_H_

#include <utility>

#include "harecrank/core/clock.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// Limits the time between a decision and the action that it permits.
//
// MayAct is called just before the action. A suspension between the call of
// MayAct and the action, which are a few instructions and one system call
// apart, is not detected. Only a fencing token that the receiver of the action
// checks would prevent this. Not thread-safe.
class PauseGuard {
 public:
  // `max_age` is the age above which a decision must not be acted on.
  PauseGuard(Millis max_age, MonotonicClock clock)
      : max_age_(max_age), clock_(std::move(clock)) {}

  // Records that a decision is made now, from data that were read now.
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
