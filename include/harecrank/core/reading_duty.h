// Whether this host reads the platform's service itself.
//
// Each call to the service has a price, and its rates grow more slowly than the
// fleet. So the planner and a few others read, and tell the rest. A host that
// is told by nobody that the service answers reads by itself: no rule that
// binds it may depend on another host for long.

#ifndef HARECRANK_CORE_READING_DUTY_H_
#define HARECRANK_CORE_READING_DUTY_H_

#include <optional>

#include "harecrank/core/clock.h"
#include "harecrank/core/fleet_messages.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// Not thread-safe.
class ReadingDuty {
 public:
  // `is_seed`: other hosts turn to this one first.
  ReadingDuty(bool is_seed, MonotonicClock clock, const RandomSource& random);

  // This host plans, or the planner wants it to read or not to. What it has
  // read counts on, as if another host had told it.
  void SetAsked(bool asked);

  // The service answered this host, or not as it should.
  void OnAnswered();
  void OnFailed() { own_ = OwnReading::kFailed; }

  // A host has told this one all that it knows, which the service answered
  // `age` ago. What was read long ago counts as little at the end of a chain of
  // hosts as at its beginning: with an age of zero at each host, two seconds
  // passed before anyone read after the readers were turned away.
  void OnInformed(Millis age);

  // Returns whether others rely on this host's reading.
  bool ReadsForOthers() const { return asked_; }

  // Returns whether this host has to read, for others or for itself.
  bool Reads() const;

  // Returns how this host's own reading goes. What the service answered before
  // a pause in reading says nothing.
  OwnReading Own() const;

  // Returns whether this host knows what is published, from the service or from
  // another host.
  bool IsWell() const;

  // Returns how long ago the service answered what this host knows; kUnknownAge
  // if it knows nothing.
  Millis Age() const;

  // This host does not read any more.
  void OnStopped() { own_ = OwnReading::kNone; }

  // How long an answer of the service counts: the longest pause between two
  // answers of a sound service, and a lost word between hosts.
  static constexpr Millis kInformedFor{1000};
  // Longer than any answer counts.
  static constexpr Millis kUnknownAge{3600000};
  // Hosts that hear nothing begin to read within so long of each other, and not
  // all at once: the first that is answered can tell the others.
  static constexpr Millis kSpread{400};
  // A seed that has just started reads at once, since callers may be waiting
  // for the whole fleet: 0.3 s without a configuration after a stop of all
  // hosts cost 0.02 of a day's worth. Other hosts hear from it within this.
  static constexpr Millis kPatienceAtStart{150};

 private:
  MonotonicClock clock_;
  Millis spread_;
  bool asked_ = false;
  OwnReading own_ = OwnReading::kNone;
  // When the service last answered what this host knows: itself, or the host
  // that told it.
  std::optional<TimePoint> answered_at_;
  // From then on this host reads unless it is told.
  TimePoint reads_from_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_READING_DUTY_H_
