// Schedules the parsing of published configurations in time slices.
//
// A host has a single thread for parsing and for its traffic. Parsing a large
// configuration in one go would stall the streams that the host relays.

#ifndef HARECRANK_CORE_CONFIGURATION_PARSE_SCHEDULER_H_
#define HARECRANK_CORE_CONFIGURATION_PARSE_SCHEDULER_H_

#include <chrono>
#include <cstddef>
#include <optional>

#include "harecrank/core/clock.h"
#include "harecrank/core/fleet_messages.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

struct ParseSchedulePolicy {
  // The longest time for which a slice may occupy the thread. This is 1/40 of
  // the shortest inter-token gap that is still within a latency target, which
  // leaves time for other work in the same gap.
  Millis max_slice_time{6};
  // The fraction of time that is spent on parsing unless parsing is urgent.
  double parse_share = 0.25;
  // A version that arrives within this time after the oldest version that is
  // not in force replaces the one that is being parsed; a later one waits.
  // Without this limit, no version would come into force while new ones arrive
  // faster than one can be parsed.
  Millis replace_window{300};
  // Parsing is urgent, with no pauses between slices, if the oldest version
  // that is not in force is expected to become older than this. The value is
  // about a third of the time that operators allow for a version to come into
  // force; the rest is for its delivery to this host.
  Millis max_age{900};
};

// The next slice: parsing work of `cost` after a pause.
struct ParseSlice {
  std::chrono::nanoseconds pause{0};
  std::size_t cost = 0;
};

// Decides which version is parsed, in slices of which size and with which
// pauses between them. The owner does the parsing and reports its progress.
//
// The cost of work is the time in nanoseconds that it takes on a whole core.
// Not thread-safe.
class ConfigurationParseScheduler {
 public:
  // `cpu_share` is the share of a core that the host has.
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

  // Call when the version being parsed is in force or has been discarded.
  // Returns whether to parse the pending version now.
  bool OnVersionDone();

  // Call when the version being parsed is unusable and an older one, which it
  // had replaced, is parsed instead.
  void OnFallbackStarted() { last_slice_time_ = std::chrono::nanoseconds(0); }

  // Returns whether a version is pending until the one being parsed is done.
  bool HasPending() const { return pending_since_.has_value(); }
  bool IsParsing() const { return oldest_since_.has_value(); }

  // Returns the time since the arrival of the oldest version that is not in
  // force, or zero if there is none.
  std::chrono::nanoseconds BacklogAge(TimePoint now) const;

 private:
  // Returns the time that this host takes for a nanosecond of work on a whole
  // core, in nanoseconds, as follows from its share of a core.
  double NominalSlowdown() const;

  CpuShare cpu_share_;
  ParseSchedulePolicy policy_;
  // The slowdown estimated from the slices so far, as a moving average.
  double slowdown_;
  std::chrono::nanoseconds last_slice_time_{0};
  // Until the first version is in force the host has no traffic that parsing
  // could delay, while callers wait for it, so parsing is urgent.
  bool has_parsed_any_ = false;
  // Arrival of the oldest version that is not in force.
  std::optional<TimePoint> oldest_since_;
  // Arrival of the first version that became pending after that.
  std::optional<TimePoint> pending_since_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_CONFIGURATION_PARSE_SCHEDULER_H_
