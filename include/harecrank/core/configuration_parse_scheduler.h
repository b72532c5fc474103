// Schedules the parsing of published configurations in time slices.
//
// A host parses configurations on the thread that relays its streams. Parsing a
// large configuration without interruption would stall these streams.

#ifndef HARECRANK_CORE_CONFIGURATION_PARSE_SCHEDULER_H_
#define HARECRANK_CORE_CONFIGURATION_PARSE_SCHEDULER_H_

#include <chrono>
#include <cstddef>
#include <optional>

#include "harecrank/core/clock.h"
#include "harecrank/core/fleet_messages.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// Limits the time during which parsing keeps the thread from relaying streams.
struct ParseSchedulePolicy {
  // Maximum time that a slice may occupy the thread. This is 1/40 of the
  // shortest inter-token gap that the latency targets allow, so that other work
  // fits into the same gap.
  Millis max_slice_time{6};
  // Fraction of the thread's time that parsing takes while it is not urgent.
  double parse_share = 0.25;
  // A new version replaces the one being parsed only within this time after the
  // arrival of the oldest version that is not yet active. A version that
  // arrives later waits until the parsing ends. Without this limit, no version
  // would become active while new versions arrive faster than one can be
  // parsed.
  Millis replace_window{300};
  // Maximum time from the arrival of a version to its activation. If parsing
  // with pauses is expected to exceed this for the oldest version that is not
  // yet active, parsing is urgent: slices follow each other without a pause.
  // The value is about a third of the time that operators allow between the
  // publication of a version and its activation; delivery to this host takes
  // the rest.
  Millis max_age{900};
};

// The next slice: the owner pauses for `pause`, then parses for `cost`
// (nanoseconds of work on a whole core).
struct ParseSlice {
  std::chrono::nanoseconds pause{0};
  std::size_t cost = 0;
};

// Decides which version of the configuration a host parses next, how large each
// slice is and how long to pause before it. The owner does the parsing and
// reports its progress.
//
// The cost of work is the time in nanoseconds that it takes on a whole core.
// Not thread-safe.
class ConfigurationParseScheduler {
 public:
  // `cpu_share` is the number of cores, possibly a fraction, that this host may
  // use.
  ConfigurationParseScheduler(CpuShare cpu_share, ParseSchedulePolicy policy);

  // Call when a version newer than all earlier ones has arrived. Returns
  // whether to parse it now, in place of the version being parsed if there is
  // one. Otherwise it is pending until OnVersionDone() and replaces any other
  // pending version.
  bool OnVersionArrived(TimePoint now);

  // Returns the next slice of the version being parsed. `remaining_cost` is an
  // estimate of the work that is left for this version.
  ParseSlice NextSlice(std::size_t remaining_cost, TimePoint now) const;

  // Call when a slice of `cost` has been parsed and has occupied the thread for
  // `elapsed`. If `cost` is 0, `elapsed` is not used to estimate the speed.
  void OnSliceDone(std::size_t cost, std::chrono::nanoseconds elapsed);

  // Call when the version being parsed has become active or has been discarded.
  // Returns whether to parse the pending version now.
  bool OnVersionDone();

  // Call when the version being parsed turns out to be unusable and the owner
  // parses the older version that it had replaced. The first slice then follows
  // without a pause.
  void OnFallbackStarted() { last_slice_time_ = std::chrono::nanoseconds(0); }

  // Returns whether a version waits until the one being parsed is done.
  bool HasPending() const { return pending_since_.has_value(); }
  bool IsParsing() const { return oldest_since_.has_value(); }

  // Returns the time since the arrival of the oldest version that is not yet
  // active, or zero if none is being parsed.
  std::chrono::nanoseconds BacklogAge(TimePoint now) const;

 private:
  // Returns the slowdown expected from the CPU share: how many nanoseconds this
  // host takes for work that takes 1 ns on a whole core.
  double NominalSlowdown() const;

  CpuShare cpu_share_;
  ParseSchedulePolicy policy_;
  // Estimated slowdown: nanoseconds that this host takes for work that takes 1
  // ns on a whole core. Moving average over the slices so far.
  double slowdown_;
  std::chrono::nanoseconds last_slice_time_{0};
  // Whether the parsing of any version has ended. The first version is urgent:
  // callers wait for it, and the host has no traffic yet that parsing could
  // delay.
  bool has_parsed_any_ = false;
  // Arrival time of the oldest version that is not yet active; unset if none is
  // being parsed.
  std::optional<TimePoint> oldest_since_;
  // Arrival time of the first version that had to wait for the end of the
  // current parsing; unset if no version is pending.
  std::optional<TimePoint> pending_since_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_CONFIGURATION_PARSE_SCHEDULER_H_
