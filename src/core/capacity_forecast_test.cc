#include "harecrank/core/capacity_forecast.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

constexpr std::size_t kEngines = 50;

class ForecastFixture {
 protected:
  // Starts `rate` of engine time for each time, for as long as a window.
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
                 "While some wait the rate is that of starts") {
  forecast_.OnWaiting(true);
  StartFor(10);
  CHECK(forecast_.TimeUntilStart(FractionalMillis(20000), kEngines).count() ==
        Approx(2000).epsilon(0.05));
}

TEST_CASE_METHOD(ForecastFixture,
                 "A lost half of the engines halves the rate") {
  forecast_.OnWaiting(true);
  StartFor(10);
  CHECK(
      forecast_.TimeUntilStart(FractionalMillis(20000), kEngines / 2).count() ==
      Approx(4000).epsilon(0.05));
}

TEST_CASE_METHOD(ForecastFixture,
                 "Few starts mean nothing while nobody waits") {
  StartFor(1);
  CHECK(forecast_.TimeUntilStart(FractionalMillis(25000), kEngines).count() ==
        Approx(1000).epsilon(0.05));
}

TEST_CASE_METHOD(ForecastFixture,
                 "Who goes after all others gets what those that come leave") {
  forecast_.OnWaiting(true);
  forecast_.OnArrival(FractionalMillis(24000), kEngines);
  StartFor(10);
  CHECK(forecast_
            .TimeUntilSpareCapacity(FractionalMillis(3000),
                                    FractionalMillis(1000), kEngines)
            .count() == Approx(2000).epsilon(0.05));
}

TEST_CASE("Prompts are in time, late but of use, or neither") {
  PromptTiming time;
  time.until_late = FractionalMillis(1000);
  time.until_abandoned = FractionalMillis(5000);
  time.prefill = FractionalMillis(300);
  time.decode = FractionalMillis(700);
  const FractionalMillis soon(500);
  const FractionalMillis later(900);
  const FractionalMillis last(4000);
  const FractionalMillis never(4001);
  CHECK(PredictOutcome(time, soon, never) == PredictedOutcome::kInTime);
  CHECK(PredictOutcome(time, later, never) == PredictedOutcome::kLate);
  CHECK(PredictOutcome(time, last, last) == PredictedOutcome::kLate);
  CHECK(PredictOutcome(time, last, never) == PredictedOutcome::kNone);
}

}  // namespace
}  // namespace harecrank
