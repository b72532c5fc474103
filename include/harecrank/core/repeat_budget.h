// How often a service may be sent a request once more.
//
// The bound holds for all hosts together, and no host counts for all of them.
// So each keeps to its own part: a share of its own requests of the last
// window, and an even part of the fixed allowance.

#ifndef HARECRANK_CORE_REPEAT_BUDGET_H_
#define HARECRANK_CORE_REPEAT_BUDGET_H_

#include <deque>

#include "harecrank/core/clock.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// The bound on repeats, for all hosts together.
struct RepeatLimit {
  // Repeats for each request of a window.
  double ratio = 0.2;
  // Repeats in a window beyond those.
  double allowance = 0;
  Millis window{10000};
};

// One host's part of one service's bound. Not thread-safe.
class RepeatBudget {
 public:
  RepeatBudget(RepeatLimit bound, MonotonicClock clock);

  // Notes the first sending of a request.
  void OnFirstAttempt();

  // Takes one repeat, where `hosts` hosts (at least 1) share the allowance.
  // Returns false, and takes nothing, if that would exceed this host's part.
  bool TryRepeat(int hosts);

  // What is left unused of the bound, since hosts' parts are cut at different
  // moments and their number is known late.
  static constexpr double kUsedShare = 0.7;

 private:
  struct Slice {
    TimePoint start;
    int firsts = 0;
    int repeats = 0;
  };

  Slice* Current();

  RepeatLimit bound_;
  MonotonicClock clock_;
  std::deque<Slice> slices_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_REPEAT_BUDGET_H_
