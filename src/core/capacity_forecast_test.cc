#include "harecrank/core/capacity_forecast.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

constexpr std::size_t kEngines = 50;

class ForecastFixture {
 protected:
  // Starts prompts at `rate` times the elapsed time, for one window.
  void StartFor(double rate) {
    constexpr Millis kStep{100};
    for (Millis passed(0); passed < kLongPromptForecast.window;
         passed += kStep) {
      now_ += kStep;
      forecast_.OnStarted(rate * FractionalMillis(kStep), kEngines);
    }
  }

  TimePoint now_{std::chrono::hours(1)};
  CapacityForecast forecast_{[this] { return now_; }, kLongPromptForecast};
};

TEST_CASE_METHOD(ForecastFixture,
                 "While prompts wait the capacity is the rate of starts") {
  forecast_.OnWaiting(true);
  StartFor(10);
  CHECK(forecast_.TimeUntilStart(FractionalMillis(20000), kEngines).count() ==
        Approx(2000).epsilon(0.05));
}

TEST_CASE_METHOD(ForecastFixture,
                 "Losing half of the engines halves the capacity") {
  forecast_.OnWaiting(true);
  StartFor(10);
  CHECK(
      forecast_.TimeUntilStart(FractionalMillis(20000), kEngines / 2).count() ==
      Approx(4000).epsilon(0.05));
}

TEST_CASE_METHOD(ForecastFixture,
                 "Few starts do not lower the capacity while no prompt waits") {
  StartFor(1);
  CHECK(forecast_.TimeUntilStart(FractionalMillis(25000), kEngines).count() ==
        Approx(1000).epsilon(0.05));
}

TEST_CASE_METHOD(ForecastFixture,
                 "Spare capacity is the capacity that arrivals leave unused") {
  forecast_.OnWaiting(true);
  forecast_.OnArrival(FractionalMillis(24000), kEngines);
  StartFor(10);
  CHECK(forecast_
            .TimeUntilSpareCapacity(FractionalMillis(3000),
                                    FractionalMillis(1000), kEngines)
            .count() == Approx(2000).epsilon(0.05));
}

TEST_CASE("The outcome follows from the forecast start") {
  PromptTiming timing;
  timing.until_late = FractionalMillis(1000);
  timing.until_abandoned = FractionalMillis(5000);
  timing.prefill = FractionalMillis(300);
  timing.decode = FractionalMillis(700);
  const FractionalMillis soon(500);
  const FractionalMillis later(900);
  const FractionalMillis last(4000);
  const FractionalMillis never(4001);
  CHECK(PredictOutcome(timing, soon, never) == PredictedOutcome::kInTime);
  CHECK(PredictOutcome(timing, later, never) == PredictedOutcome::kLate);
  CHECK(PredictOutcome(timing, last, last) == PredictedOutcome::kLate);
  CHECK(PredictOutcome(timing, last, never) == PredictedOutcome::kNone);
}

}  // namespace
}  // namespace harecrank
