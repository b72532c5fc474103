#include "harecrank/core/pass_forecast.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

constexpr FractionalMillis kDecodePass{50};
// Longer than the delay from the planner to an engine.
constexpr Millis kMoreThanDispatchDelay{2};

class PassFixture {
 protected:
  EnginePasses::Prompt Send(FractionalMillis prefill_time, Millis until_late) {
    const EnginePasses::Prompt prompt{now_, prefill_time, now_ + until_late};
    passes_.OnSent(prompt);
    return prompt;
  }

  PassForecast Forecast() const { return passes_.Forecast(now_, kDecodePass); }

  TimePoint now_{std::chrono::hours(1)};
  EnginePasses passes_;
};

TEST_CASE_METHOD(PassFixture, "A prompt sent during a pass waits for its end") {
  const auto first = Send(FractionalMillis(30), Millis(300));
  now_ += kMoreThanDispatchDelay;
  passes_.OnPrefillDone(first, now_);
  const auto in_pass = Send(FractionalMillis(80), Millis(300));
  // The last pass left nothing to prefill, so a pass without prefill follows
  // first, and then the one that prefills this prompt.
  now_ += std::chrono::milliseconds(60);
  const PassForecast during = Forecast();
  CHECK(during.next_pass_prefill == FractionalMillis(0));
  CHECK(during.until_next_pass > FractionalMillis(80));
  CHECK(during.until_next_pass < FractionalMillis(130));
  Send(FractionalMillis(20), Millis(300));
  CHECK(Forecast().next_pass_prefill == FractionalMillis(20));
  passes_.Remove(in_pass);
  CHECK(Forecast().next_pass_prefill == FractionalMillis(20));
}

TEST_CASE_METHOD(PassFixture,
                 "The forecast gives the earliest due time of the next pass, "
                 "without prompts that will be late anyway") {
  const auto first = Send(FractionalMillis(30), Millis(300));
  now_ += kMoreThanDispatchDelay;
  passes_.OnPrefillDone(first, now_);
  Send(FractionalMillis(40), Millis(20));
  Send(FractionalMillis(40), Millis(250));
  Send(FractionalMillis(40), Millis(900));
  const PassForecast forecast = Forecast();
  CHECK(forecast.next_pass_prefill == FractionalMillis(120));
  REQUIRE(forecast.next_pass_deadline.has_value());
  CHECK(*forecast.next_pass_deadline == FractionalMillis(250));
}

TEST_CASE_METHOD(
    PassFixture,
    "Without recent first events half a pass is assumed to be left") {
  CHECK(Forecast().until_next_pass == kDecodePass / 2);
  CHECK_FALSE(Forecast().next_pass_deadline.has_value());
}

TEST_CASE_METHOD(PassFixture,
                 "An overdue pass is expected to end immediately") {
  const auto first = Send(FractionalMillis(30), Millis(300));
  now_ += kMoreThanDispatchDelay;
  passes_.OnPrefillDone(first, now_);
  Send(FractionalMillis(30), Millis(300));
  now_ += Millis(2000);
  CHECK(Forecast().until_next_pass == FractionalMillis(0));
}

}  // namespace
}  // namespace harecrank
