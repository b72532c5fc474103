// When, and in which slices, a host reads the configurations that are
// published, so that what it carries meanwhile does not stand still.

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
  // The longest that one slice may hold a host's only thread. A fortieth of the
  // tightest pause between two events that callers still take for a stream in
  // time, so that some other work fits beside it.
  Millis max_slice_time{6};
  // The part of the host's time that reading takes while nothing presses.
  double share = 0.25;
  // A version that comes within so long after the oldest that is not in force
  // replaces the one that is being read; one that comes later waits. Without an
  // end of it, versions that follow each other faster than one is read would
  // never be in force.
  Millis replace_window{300};
  // After so long reading no longer leaves time to others between its slices:
  // a third of what the operator allows for a version to be in force, since the
  // way to this host takes time too.
  Millis max_age{900};
};

// What to do next: after a pause, work of this cost.
struct ParseSlice {
  std::chrono::nanoseconds pause{0};
  std::size_t cost = 0;
};

// Costs are in the nanoseconds that the work takes on a whole core. Does no
// work by itself. Not thread-safe.
class ConfigurationParseScheduler {
 public:
  // `power` is the share of a core that the host has.
  ConfigurationParseScheduler(CpuShare power, ParseSchedulePolicy policy);

  // A version newer than all before has come. Returns whether it is to be read
  // now, instead of the one that is being read if there is one. Otherwise it
  // waits for OnVersionDone, and takes the place of another one that waits.
  bool OnVersionArrived(TimePoint now);

  // Returns the next slice of the version that is being read, of which work of
  // about `left` is still to be done.
  ParseSlice NextSlice(std::size_t left, TimePoint now) const;

  // A slice of `cost` has been done and held the thread for `held`.
  void OnSliceDone(std::size_t cost, std::chrono::nanoseconds held);

  // The version that was being read is in force, or was passed over. Returns
  // whether the one that waits is to be read now.
  bool OnVersionDone();

  // The version that was being read cannot be used, and an older one that had
  // been passed over for it is read in its place.
  void OnFallbackStarted() { last_held_ = std::chrono::nanoseconds(0); }

  // Whether a version waits until the one that is being read is done.
  bool HasPending() const { return waits_since_.has_value(); }
  bool IsParsing() const { return oldest_.has_value(); }

  // Returns how long ago the oldest version came that is not in force, or zero.
  std::chrono::nanoseconds OldestPendingAge(TimePoint now) const;

 private:
  // Nanoseconds of this host for a nanosecond of a whole core.
  double NominalStretch() const;

  CpuShare power_;
  ParseSchedulePolicy policy_;
  // As NominalStretch, as slices have shown it.
  double stretch_;
  std::chrono::nanoseconds last_held_{0};
  // A host that has read nothing yet carries nothing, and callers wait for it.
  bool read_any_ = false;
  // When the oldest version came that is not in force.
  std::optional<TimePoint> oldest_;
  // When the first version came that waits.
  std::optional<TimePoint> waits_since_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_CONFIGURATION_PARSE_SCHEDULER_H_
