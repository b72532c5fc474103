// Estimates how many hosts the fleet has, including hosts that are not
// reachable.
//
// Fleet-wide limits are enforced by shares: each host uses its part of the
// limit. If hosts divided the limit by the number of hosts that they hear now,
// a network partition would make both parts together exceed it. The limit is
// therefore divided by the largest number of hosts seen over a long time.

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

  // Returns zero if no value was added recently.
  int Value() const;

  // A value counts for at least this time and at most twice that: longer than a
  // network partition or a restart of the fleet lasts.
  static constexpr Millis kWindow{600000};

 private:
  MonotonicClock clock_;
  TimePoint window_began_at_;
  // Maximum of the current window and of the one before it.
  int current_max_ = 0;
  int previous_max_ = 0;
};

// Not thread-safe.
class FleetSize {
 public:
  explicit FleetSize(MonotonicClock clock);

  // Sets whether this host has seeds other than itself. With seeds it knows the
  // size only after it has heard of another host; without, it is alone.
  void SetHasOtherSeeds(bool has_other_seeds) {
    has_other_seeds_ = has_other_seeds;
  }

  // Records the number of alive hosts that this host observes, including
  // itself.
  void OnObserved(int hosts);

  // Records a number of hosts that another host reports.
  void OnReported(int hosts);

  // Returns the largest number that this host has observed itself, which its
  // heartbeats report. Numbers reported by others are not passed on: an
  // outdated number would circulate for ever.
  int PeakObserved() const;

  // Returns the largest number of hosts that the fleet may have; nothing if
  // this host has just started or has not heard of any other.
  std::optional<int> MaxHosts() const;

  // How long after its start a host does not know the size: hosts that start
  // together have not observed each other yet.
  static constexpr Millis kStartupGrace{2000};

 private:
  bool has_other_seeds_ = true;
  MonotonicClock clock_;
  TimePoint started_at_;
  WindowedMax observed_;
  WindowedMax reported_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_FLEET_SIZE_H_
