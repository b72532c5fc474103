// Limit on repeated requests to a service.
//
// A repeat is another attempt of a request that was sent before. The limit
// applies to all hosts together. No host sees what the others send, and a host
// that restarts does not know what its previous process sent. Each host
// therefore keeps to two parts of the limit, which add up to at most the limit
// whatever happens to the hosts:
//
// - Credit, which first attempts earn. The repeats of a window spend the credit
//   that was held when the window began, and the credit that was earned within
//   it. What a host holds is bounded by its first attempts of the last window,
//   so that both together never exceed the ratio. A process that ends loses its
//   credit, and a new one has none.
// - An equal part of the allowance in each window. A process that has just
//   started has no part, since its predecessor may have used it.

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
  // Repeats that the credit pays for, without those that were permitted.
  double credit = 0;
  // The host's part of the allowance, and how much of it the repeats have used.
  double allowance = 0;
  double allowance_used = 0;
  // Number of hosts by which the allowance is divided; zero while it is
  // unknown, and the host has no part.
  int hosts = 0;
};

// Permission for one repeat: how much of it is paid for by credit, and how much
// by the allowance. The two add up to one.
struct RepeatPermit {
  double credit = 0;
  double allowance = 0;
};

// Whether one repeat is permitted, and by which use of the limit this was
// decided.
struct RepeatDecision {
  std::optional<RepeatPermit> permit;
  RepeatUse use;
};

// Decides whether this host may repeat a request to one service, within the
// host's parts of the limit. Not thread-safe.
class RepeatBudget {
 public:
  RepeatBudget(RepeatLimit limit, MonotonicClock clock);

  // Records that a request was sent for the first time.
  void OnFirstAttempt();

  // Permits one repeat if this host's parts of the limit suffice, with the
  // allowance divided by `hosts` (at least 1); this host has no part of it if
  // `hosts` is not set. A permitted repeat counts from then on until it is
  // withdrawn, or for a whole window after it was sent: it may wait for longer
  // than a window before it is sent.
  RepeatDecision TryRepeat(std::optional<int> hosts);

  // Records that the repeat of `permit` was sent, or that it never will be. One
  // of them must be called for each permit.
  void OnRepeatSent(const RepeatPermit& permit);
  void OnRepeatWithdrawn(const RepeatPermit& permit);

  // Returns what this host has sent and may repeat, with the allowance divided
  // by `hosts` (at least 1), if it is set.
  RepeatUse Use(std::optional<int> hosts) const;

  // Fraction of the limit that the hosts use. The rest is a margin for requests
  // that arrive at their endpoints later than others.
  static constexpr double kUsedShare = 0.9;
  // Fraction of the used ratio that each first attempt earns.
  static constexpr double kEarnedShare = 0.6;
  // Credit that a host may hold, as a fraction of what its first attempts of
  // the last window would earn at the used ratio. The sum of both fractions
  // must not exceed 1.
  static constexpr double kHeldShare = 1 - kEarnedShare;

 private:
  // Counts of one slice of the sliding window.
  struct Slice {
    TimePoint start;
    int first_attempts = 0;
    int repeats = 0;
    double allowance_used = 0;
  };

  // Drops the slices that are not needed any more and returns the slice for the
  // present time.
  Slice* Current();
  // Returns how long after its start a slice may hold entries that are younger
  // than the window.
  Millis SliceLifetime() const;
  // Returns the largest credit that may be held now, with `first_attempts` in
  // the last window.
  double MaxCredit(int first_attempts) const;

  RepeatLimit limit_;
  MonotonicClock clock_;
  std::deque<Slice> slices_;
  double credit_ = 0;
  // Sums over the permits whose repeats have not been sent.
  RepeatPermit reserved_;
  int unsent_ = 0;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_REPEAT_BUDGET_H_
