// Limit on repeated requests to a service.
//
// The limit applies to all hosts together, and no host counts the requests of
// all. So each host keeps to a part of its own: the configured ratio of its own
// requests in the last window, plus an equal part of the fixed allowance.

#ifndef HARECRANK_CORE_REPEAT_BUDGET_H_
#define HARECRANK_CORE_REPEAT_BUDGET_H_

#include <deque>

#include "harecrank/core/clock.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// The limit on the repeats of all hosts together.
struct RepeatLimit {
  // Repeats per first request in a window.
  double ratio = 0.2;
  // Additional repeats per window.
  double allowance = 0;
  Millis window{10000};
};

// One host's part of the limit for one service. Not thread-safe.
class RepeatBudget {
 public:
  RepeatBudget(RepeatLimit limit, MonotonicClock clock);

  // Records that a request was sent for the first time.
  void OnFirstAttempt();

  // Spends one repeat, where `hosts` hosts (at least 1) share the allowance.
  // Returns false and spends nothing if that would exceed this host's part.
  bool TryRepeat(int hosts);

  // Share of the limit that is used. The rest is a margin: the windows of
  // different hosts are not aligned, and a change in the number of hosts
  // becomes known late.
  static constexpr double kUsedShare = 0.7;

 private:
  struct Slice {
    TimePoint start;
    int first_attempts = 0;
    int repeats = 0;
  };

  Slice* Current();

  RepeatLimit limit_;
  MonotonicClock clock_;
  std::deque<Slice> slices_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_REPEAT_BUDGET_H_
