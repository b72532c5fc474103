// Forecasts when waiting prompts find a free engine.
//
// For some seconds more prompts can arrive than the engines can prefill,
// because of a burst or because many engines are down. A waiting prompt is then
// served within its latency target, or past the target but before its caller
// gives up, or not at all. The forecast derives this from the work that is
// ahead of the prompt and from the rate at which engine time has recently
// become free.

#ifndef HARECRANK_CORE_CAPACITY_FORECAST_H_
#define HARECRANK_CORE_CAPACITY_FORECAST_H_

#include <cstddef>
#include <deque>
#include <optional>

#include "harecrank/core/clock.h"
#include "harecrank/core/engine_estimate.h"

namespace harecrank {

// Forecast parameters for one kind of prompt.
struct CapacityForecastOptions {
  // Length of the sliding window over which arrivals and starts are counted.
  Millis window{0};
  // Assumed share of an engine's time for this kind of prompt, 0 to 1, used as
  // a lower limit until prompts have waited for a whole window. Before that,
  // the rate of starts shows the demand and not the capacity.
  double default_share = 0;
  // Share of the capacity, 0 to 1, that is forecast to remain for prompts past
  // their target, however many others arrive.
  double min_spare_share = 0;
};

// Long prompts start one at a time on many engines, so their rate can only be
// estimated over a few seconds.
constexpr CapacityForecastOptions kLongPromptForecast{Millis(3000), 0.5, 0};
// Dozens of short prompts start at a time. A burst of them ends within a second
// if the engines have enough capacity, and no prompt is rejected in that time.
constexpr CapacityForecastOptions kShortPromptForecast{Millis(1000), 1, 0.1};

// Forecasts from recent arrivals and starts when waiting prompts of one kind
// start. Work is measured in engine time: the prefill time of a prompt on a
// single engine. `engines` is the number of usable engines at the time of the
// call. Not thread-safe.
class CapacityForecast {
 public:
  CapacityForecast(MonotonicClock clock,
                   const CapacityForecastOptions& options);

  // Records that a prompt of `work` arrived (OnArrival) or got a placement
  // (OnStarted).
  void OnArrival(FractionalMillis work, std::size_t engines);
  void OnStarted(FractionalMillis work, std::size_t engines);

  // Records whether any prompt waits.
  void OnWaiting(bool any);

  // Returns the forecast time until the start of a prompt that is queued behind
  // work of `ahead`.
  FractionalMillis TimeUntilStart(FractionalMillis ahead,
                                  std::size_t engines) const;

  // Returns whether recent arrivals use less than the capacity, so that a
  // prompt past its latency target may start without making others miss theirs.
  bool HasSpareCapacity() const;

  // Returns the forecast time until a prompt of `work`, with work of `ahead`
  // before it in the queue, starts on capacity that new prompts leave unused.
  // Assumes that new prompts, all of which go before it, keep arriving at the
  // recent rate. Returns the largest value of the type if new prompts leave no
  // capacity unused.
  FractionalMillis TimeUntilSpareCapacity(FractionalMillis ahead,
                                          FractionalMillis work,
                                          std::size_t engines) const;

 private:
  // One prompt that arrived or started.
  struct Sample {
    TimePoint at;
    // The prompt's work divided by the number of engines that were usable at
    // `at`.
    FractionalMillis per_engine{0};
  };
  using Samples = std::deque<Sample>;

  void AddSample(FractionalMillis work, std::size_t engines, Samples* samples);
  // Returns the share of each engine's time, averaged over the window, that the
  // prompts in `samples` take.
  double UsedShare(const Samples& samples) const;
  // Returns the share of an engine's time that is available to this kind of
  // prompt.
  double Capacity() const;

  MonotonicClock clock_;
  CapacityForecastOptions options_;
  Samples arrivals_;
  Samples starts_;
  // Since when at least one prompt has been waiting; unset while none waits.
  std::optional<TimePoint> waiting_since_;
};

// Times of a prompt that has no placement yet.
struct PromptTiming {
  // Time left until the first event is late; negative once it is late.
  FractionalMillis until_late{0};
  // Time left until the caller gives the request up.
  FractionalMillis until_abandoned{0};
  // Prefill time of the prompt; that of a long prompt assumes the maximum
  // number of helpers, which are other engines that prefill parts of the
  // prompt.
  FractionalMillis prefill{0};
  // Decode time of the whole answer.
  FractionalMillis decode{0};
};

// Outcomes of a prompt that waits for a free engine.
enum class PredictedOutcome {
  // The first event meets the latency target.
  kInTime,
  // The first event is late, but the answer ends before the caller gives up.
  kLate,
  // The caller gives up before the answer ends.
  kNone
};

// Returns the predicted outcome of a prompt. It starts after `until_start`, in
// queue order, unless its first event is late before then; in that case it
// starts after `until_spare`, on capacity that new prompts leave unused.
PredictedOutcome PredictOutcome(const PromptTiming& timing,
                                FractionalMillis until_start,
                                FractionalMillis until_spare);

}  // namespace harecrank

#endif  // HARECRANK_CORE_CAPACITY_FORECAST_H_
