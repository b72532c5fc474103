// How many hosts a fleet may have, also where most of them cannot be heard.
//
// Bounds that hold for all hosts together are kept by shares: each host takes
// its part and no more. A host that divides by those that it hears now takes
// too much as soon as a link is cut, so it divides by the most that were heard
// for a long time.

#ifndef HARECRANK_CORE_FLEET_SIZE_H_
#define HARECRANK_CORE_FLEET_SIZE_H_

#include <optional>

#include "harecrank/core/clock.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// The highest of the numbers that were noted within a long time. Not
// thread-safe.
class WindowedMax {
 public:
  explicit WindowedMax(MonotonicClock clock);

  void Note(int number);

  // Returns zero if nothing was noted for long.
  int Value() const;

  // A number is remembered for this long at the least, and twice that at the
  // most: longer than any cut or restart of a fleet lasts.
  static constexpr Millis kWindow{600000};

 private:
  MonotonicClock clock_;
  TimePoint began_;
  int current_ = 0;
  int former_ = 0;
};

// Not thread-safe.
class FleetSize {
 public:
  explicit FleetSize(MonotonicClock clock);

  // Whether this host was told of others to turn to. If so, it knows the size
  // only once it has heard of it; if not, it is alone.
  void SetHasOtherSeeds(bool has_other_seeds) {
    has_other_seeds_ = has_other_seeds;
  }

  // Notes how many living hosts this one has heard itself, itself among them.
  void OnObserved(int hosts);

  // Notes how many another host has counted.
  void OnReported(int hosts);

  // Returns the most that this host has counted: what it may tell others. What
  // it was told is not told on, or an old number would go round for ever.
  int PeakObserved() const;

  // Returns the most hosts that the fleet may have; nothing if this host has
  // started just now, or has not heard of any other.
  std::optional<int> MaxHosts() const;

  // A host that has started within this does not know the size: hosts that
  // start together have not counted each other yet.
  static constexpr Millis kStartupGrace{2000};

 private:
  bool has_other_seeds_ = true;
  MonotonicClock clock_;
  TimePoint started_;
  WindowedMax counted_;
  WindowedMax told_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_FLEET_SIZE_H_
