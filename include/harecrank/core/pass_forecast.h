// Predicts when an engine's forward passes end and how much prefill work each
// pass includes.
//
// An engine runs one forward pass after another, each over its whole batch. A
// pass prefills all prompts that arrived before it began, and the first events
// of these prompts are all sent when it ends. A prompt that just catches a pass
// therefore delays all other prompts of that pass, and a prompt that just
// misses it waits for the whole pass. Half of the observed first events of
// short prompts come within -3 to +6 ms of this forecast; for a plain sum of
// the pending prefill the range is -6 to +40 ms.

#ifndef HARECRANK_CORE_PASS_FORECAST_H_
#define HARECRANK_CORE_PASS_FORECAST_H_

#include <optional>
#include <vector>

#include "harecrank/core/clock.h"
#include "harecrank/core/engine_estimate.h"

namespace harecrank {

// Forecast of an engine's next forward pass, for a prompt that is sent to the
// engine now.
struct PassForecast {
  // Time until the next pass begins, which is the first pass that can prefill
  // the prompt.
  FractionalMillis until_next_pass{0};
  // Prefill time of the prompts that are already waiting for the next pass.
  FractionalMillis next_pass_prefill{0};
  // Shortest time left until the first event is late, among the prompts that
  // are already waiting for the next pass. Prompts that would miss their target
  // even without the new prompt are ignored.
  std::optional<FractionalMillis> next_pass_deadline;
};

// Tracks the prompts sent to one engine and the first events received from it,
// and forecasts its passes from them. Not thread-safe.
class EnginePasses {
 public:
  // A prompt, or a part of a prompt, that the engine prefills.
  struct Prompt {
    TimePoint sent{};
    FractionalMillis prefill_time{0};
    // Time after which the first event is late, if known.
    std::optional<TimePoint> first_event_due;
  };

  // Adds a prompt that was sent to the engine.
  void OnSent(const Prompt& prompt);

  // Records that the first event of `prompt` was received at `now`, which means
  // that a pass has ended. Prompts are identified by their send time and
  // prefill time.
  void OnPrefillDone(const Prompt& prompt, TimePoint now);

  // Removes a prompt that no longer waits for its prefill. Unknown prompts are
  // ignored.
  void Remove(const Prompt& prompt);

  // Returns the forecast for a prompt sent at `now`. `decode_pass` is the
  // duration of a pass without prefill.
  PassForecast Forecast(TimePoint now, FractionalMillis decode_pass) const;

 private:
  // Prompts whose prefill is not done, in the order of sending.
  std::vector<Prompt> pending_;
  // Estimated start of the latest known pass. A first event shows that a pass
  // has ended and the next one has begun.
  TimePoint pass_start_{};
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_PASS_FORECAST_H_
