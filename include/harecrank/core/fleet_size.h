// Estimates how many hosts the fleet has, including hosts that are not
// reachable.
//
// Fleet-wide limits are enforced by shares: each host may use its fraction of
// the limit. If each host divided the limit by the number of hosts from which
// it currently receives messages, the two sides of a network partition would
// together exceed the limit. The limit is therefore divided by the largest
// number of hosts observed over a long time (WindowedMax::kWindow).

#ifndef HARECRANK_CORE_FLEET_SIZE_H_
#define HARECRANK_CORE_FLEET_SIZE_H_

#include <optional>

#include "harecrank/core/clock.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// Maximum of the values that were added within a time window. Not thread-safe.
class WindowedMax {
 public:
  explicit WindowedMax(MonotonicClock clock);

  void Add(int value);

  // Returns the maximum, or zero if no value was added recently.
  int Value() const;

  // A value counts towards the maximum for at least kWindow and at most twice
  // kWindow: longer than a network partition or a restart of the fleet lasts.
  static constexpr Millis kWindow{600000};

 private:
  MonotonicClock clock_;
  TimePoint window_began_at_;
  // Maximum of the values in the current window, and in the window before it.
  int current_max_ = 0;
  int previous_max_ = 0;
};

// Estimates the number of hosts among which fleet-wide limits are divided. Not
// thread-safe.
class FleetSize {
 public:
  explicit FleetSize(MonotonicClock clock);

  // Sets whether this host has seeds other than itself. If it has, the size is
  // unknown until this host has heard of another host; if not, this host may be
  // the whole fleet.
  void SetHasOtherSeeds(bool has_other_seeds) {
    has_other_seeds_ = has_other_seeds;
  }

  // Sets whether the whole fleet starts for the first time together with this
  // host.
  void SetIsFirstStart(bool is_first_start) {
    is_first_start_ = is_first_start;
  }
  bool IsFirstStart() const { return is_first_start_; }

  // Records the number of alive hosts that this host observes, including
  // itself.
  void OnObserved(int hosts);

  // Records the number of alive hosts that another host has reported.
  void OnReported(int hosts);

  // Returns the largest number of hosts that this host has recently observed
  // itself. Its heartbeats report this number. Numbers reported by other hosts
  // are not included, since an outdated number would then circulate for ever.
  int PeakObserved() const;

  // Returns the largest number of hosts that the fleet may have. Returns
  // nothing if this host started less than kStartupGrace ago, or has other
  // seeds but has not heard of another host.
  std::optional<int> MaxHosts() const;

  // Returns the largest number of hosts that may share a limit on what all
  // hosts together do within `window`. Returns nothing if this host started
  // less than `window` ago: the process that it replaces may have used its part
  // just before it ended. At the first start of the fleet there was no such
  // process.
  std::optional<int> MaxHostsSharing(Millis window) const;

  // Time after the start of a host during which MaxHosts() returns nothing,
  // since hosts that start together have not observed each other yet.
  static constexpr Millis kStartupGrace{2000};

 private:
  bool has_other_seeds_ = true;
  bool is_first_start_ = false;
  MonotonicClock clock_;
  TimePoint started_at_;
  WindowedMax observed_;
  WindowedMax reported_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_FLEET_SIZE_H_
