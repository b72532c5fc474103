// Limit on repeated requests to a service.
//
// A repeat is another attempt of a request that was sent before. The limit
// applies to all hosts together, but no host can count the requests of all
// hosts. So each host keeps to its own part of the limit: the configured ratio
// of its own requests in the last window, plus an equal part of the fixed
// allowance. A process that has just started has no part of the allowance,
// since its predecessor may have used it.

#ifndef HARECRANK_CORE_REPEAT_BUDGET_H_
#define HARECRANK_CORE_REPEAT_BUDGET_H_

#include <deque>
#include <optional>

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

// Why a request is sent again.
enum class RepeatCause {
  // The endpoint answered that it has not run the request, or was not reached.
  kNotRun,
  // The endpoint answered with an error.
  kErrorAnswer,
  // The answer was invalid or broke off.
  kBroken,
  // The answer is overdue.
  kOverdue
};

// Name of `cause` for logs and metrics.
const char* NameOf(RepeatCause cause);

// What one host has sent to a service within the last window, and what it may
// repeat there.
struct RepeatUse {
  int first_attempts = 0;
  // Repeats that were sent, and those that were permitted and not sent yet.
  int repeats = 0;
  int unsent = 0;
  // Number of hosts by which the allowance is divided; zero while it is
  // unknown, and the host has no part of the allowance.
  int hosts = 0;
  // Maximum of `repeats` and `unsent` together.
  double part = 0;
};

// Whether one repeat is permitted. If it is, `use` includes it as unsent.
struct RepeatDecision {
  bool permitted = false;
  RepeatUse use;
};

// Decides whether this host may repeat a request to one service, within the
// host's part of the limit. Not thread-safe.
class RepeatBudget {
 public:
  RepeatBudget(RepeatLimit limit, MonotonicClock clock);

  // Records that a request was sent for the first time.
  void OnFirstAttempt();

  // Permits one repeat if this host's part of the limit suffices, with the
  // allowance divided by `hosts` (at least 1); this host has no part of it if
  // `hosts` is not set. A permitted repeat counts from then on until it is
  // withdrawn, or for a whole window after it was sent: it may wait for longer
  // than a window before it is sent.
  RepeatDecision TryRepeat(std::optional<int> hosts);

  // Records that a permitted repeat was sent, or that it never will be. One of
  // them must be called for each permitted repeat.
  void OnRepeatSent();
  void OnRepeatWithdrawn();

  // Returns what this host has sent and may repeat, with the allowance divided
  // by `hosts` (at least 1), if it is set.
  RepeatUse Use(std::optional<int> hosts) const;

  // Fraction of the limit that hosts use. The rest is a margin, because the
  // windows of different hosts are not aligned, and a change in the number of
  // hosts becomes known late.
  static constexpr double kUsedShare = 0.7;

 private:
  // Counts of one slice of the sliding window.
  struct Slice {
    TimePoint start;
    int first_attempts = 0;
    int repeats = 0;
  };

  // Drops the slices that are not needed any more and returns the slice for the
  // present time.
  Slice* Current();
  // Returns how long after its start a slice may hold entries that are younger
  // than the window.
  Millis SliceLifetime() const;

  RepeatLimit limit_;
  MonotonicClock clock_;
  std::deque<Slice> slices_;
  // Number of permitted repeats that have not been sent.
  int unsent_ = 0;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_REPEAT_BUDGET_H_
