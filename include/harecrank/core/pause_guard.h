// Keeps a process that was paused from acting on an old view.

#ifndef HARECRANK_CORE_PAUSE_GUARD_H_
#define HARECRANK_CORE_PAUSE_GUARD_H_

#include <utility>

#include "harecrank/core/clock.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// Bounds the time between a decision and the act that follows from it.
//
// It is asked just before the act. What remains is a pause between that
// question and the act itself, a few instructions and one system call; only a
// fence that the receiver checks closes that window. Not thread-safe.
class PauseGuard {
 public:
  // A decision older than `most` is not to be acted on.
  PauseGuard(Millis most, MonotonicClock clock)
      : most_(most), clock_(std::move(clock)) {}

  // Notes that the decision is made now, on a view read now.
  void OnDecision() { decided_ = clock_(); }

  // Returns whether the decision is still fresh enough to act on.
  bool MayAct() const { return clock_() - decided_ <= most_; }

 private:
  Millis most_;
  MonotonicClock clock_;
  TimePoint decided_{};
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_PAUSE_GUARD_H_
