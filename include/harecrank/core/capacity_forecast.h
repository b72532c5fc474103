// Foresees when prompts that wait find engines.
//
// The load that it answers: more prompts than the engines read for some
// seconds, because a wave of them arrives or because many engines are gone.
// Whether one that waits is served in time, late but still of use, or not at
// all follows from what waits before it and from how fast engine time has
// lately become free.

#ifndef HARECRANK_CORE_CAPACITY_FORECAST_H_
#define HARECRANK_CORE_CAPACITY_FORECAST_H_

#include <cstddef>
#include <deque>
#include <optional>

#include "harecrank/core/clock.h"
#include "harecrank/core/engine_estimate.h"

namespace harecrank {

// How a kind of prompt is foreseen.
struct CapacityForecastOptions {
  // Over how long starts are counted.
  Millis window{0};
  // The share of its time that an engine gives to this kind of prompt, as long
  // as none has waited for a whole window: until then what starts tells how
  // many ask, not how many could start.
  double usual_share = 0;
  // Of what can be given away this share is left over, however many come.
  double least_left_over = 0;
};

// Long prompts start one at a time on many engines, so that a few seconds are
// needed to tell a rate. Short ones start by the dozen; a wave of them is over
// within a second where engines suffice, and nobody is turned away meanwhile.
constexpr CapacityForecastOptions kLongPromptForecast{Millis(3000), 0.5, 0};
constexpr CapacityForecastOptions kShortPromptForecast{Millis(1000), 1, 0.1};

// Foresees for one kind of prompt. Work is engine time: how long one engine
// alone reads a prompt. Not thread-safe.
class CapacityForecast {
 public:
  CapacityForecast(MonotonicClock clock, const CapacityForecastOptions& traits);

  // Notes a prompt that came, and one that was given its place, while so many
  // engines could be used.
  void OnArrival(FractionalMillis work, std::size_t engines);
  void OnStarted(FractionalMillis work, std::size_t engines);

  // Notes whether any prompt waits.
  void OnWaiting(bool any);

  // Returns until a prompt starts that `ahead` goes before.
  FractionalMillis TimeUntilStart(FractionalMillis ahead,
                                  std::size_t engines) const;

  // Returns whether less comes than can be given away, so that one that is late
  // already may start without making others late.
  bool HasSpareCapacity() const;

  // Returns until a prompt of `work` starts on what is left over by others
  // that will come and go before it, as many as came lately.
  FractionalMillis TimeUntilSpareCapacity(FractionalMillis ahead,
                                          FractionalMillis work,
                                          std::size_t engines) const;

 private:
  // Work divided by the engines that there were.
  struct Noted {
    TimePoint at;
    FractionalMillis per_engine{0};
  };
  using Notes = std::deque<Noted>;

  void Note(FractionalMillis work, std::size_t engines, Notes* notes);
  // Returns the share of an engine's time that `notes` took.
  double ShareOf(const Notes& notes) const;
  // Returns the share of an engine's time that can be given away.
  double Share() const;

  MonotonicClock clock_;
  CapacityForecastOptions traits_;
  Notes asked_;
  Notes started_;
  std::optional<TimePoint> waits_since_;
};

// What is left to a prompt that has no place yet.
struct PromptTiming {
  // Until its first event is late; negative if it is.
  FractionalMillis until_late{0};
  // Until its caller gives it up.
  FractionalMillis until_end{0};
  // How long it takes to read with all helpers, and to answer.
  FractionalMillis read{0};
  FractionalMillis answer{0};
};

enum class PredictedOutcome { kInTime, kLate, kNone };

// Returns what becomes of a prompt that starts after `until_start` if it goes
// by its turn, and after `until_left_over` once it is late.
PredictedOutcome PredictOutcome(const PromptTiming& time,
                                FractionalMillis until_start,
                                FractionalMillis until_left_over);

}  // namespace harecrank

#endif  // HARECRANK_CORE_CAPACITY_FORECAST_H_
