#include "harecrank/core/endpoint_loads.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

const EndpointId kEngine{"e"};
constexpr Millis kNoGap{0};

class LoadsFixture {
 protected:
  TimePoint now_{};
  EndpointLoads loads_{[this] { return now_; }};
};

TEST_CASE_METHOD(
    LoadsFixture,
    "The backlog is the sum of the prefill times and shrinks over time") {
  loads_.Begin(
      {kEngine, WorkClass::kShort, FractionalMillis(30), Tokens{100}, kNoGap});
  loads_.Begin(
      {kEngine, WorkClass::kShort, FractionalMillis(30), Tokens{100}, kNoGap});
  CHECK(loads_.Of(kEngine).prefill_backlog == FractionalMillis(60));
  now_ += Millis(40);
  CHECK(loads_.Of(kEngine).prefill_backlog == FractionalMillis(20));
  CHECK(loads_.Of(kEngine).memory == Tokens{200});
  CHECK(loads_.ShortRequests() == 2);
}

TEST_CASE_METHOD(LoadsFixture, "Work that has ended adds no load") {
  const WorkId id = loads_.Begin(
      {kEngine, WorkClass::kLong, FractionalMillis(300), Tokens{100}, kNoGap});
  loads_.End(id);
  loads_.End(id);
  const EndpointLoad load = loads_.Of(kEngine);
  CHECK(load.BatchSize() == 0);
  CHECK(load.pending_prefills == 0);
  CHECK(load.memory == Tokens{0});
  CHECK(load.prefill_backlog == FractionalMillis(0));
  CHECK(loads_.ShortRequests() == 0);
}

// If the count ended with the prediction, an engine that is still busy with a
// long part would be given another one.
TEST_CASE_METHOD(LoadsFixture,
                 "A long part is pending until its first event, even past its "
                 "predicted end") {
  const WorkId id = loads_.Begin(
      {kEngine, WorkClass::kHelper, FractionalMillis(300), Tokens{0}, kNoGap});
  now_ += Millis(1000);
  CHECK(loads_.Of(kEngine).prefill_backlog == FractionalMillis(0));
  CHECK(loads_.Of(kEngine).pending_prefills == 1);
  loads_.OnPrefillDone(id);
  CHECK(loads_.Of(kEngine).pending_prefills == 0);
}

TEST_CASE_METHOD(LoadsFixture,
                 "An engine's tightest gap is that of its active streams") {
  const WorkId tight =
      loads_.Begin({kEngine, WorkClass::kShort, FractionalMillis(10), Tokens{1},
                    Millis(250)});
  loads_.Begin({kEngine, WorkClass::kLong, FractionalMillis(10), Tokens{1},
                Millis(1000)});
  CHECK(loads_.Of(kEngine).tightest_gap == FractionalMillis(250));
  loads_.End(tight);
  CHECK(loads_.Of(kEngine).tightest_gap == FractionalMillis(1000));
}

TEST_CASE_METHOD(LoadsFixture,
                 "The rate of short prefill work covers the last window only") {
  CHECK(loads_.ShortPrefillRate() == 0);
  loads_.Begin(
      {kEngine, WorkClass::kShort, FractionalMillis(40), Tokens{1}, kNoGap});
  loads_.Begin(
      {kEngine, WorkClass::kLong, FractionalMillis(400), Tokens{1}, kNoGap});
  now_ += EndpointLoads::kRateWindow / 2;
  loads_.Begin(
      {kEngine, WorkClass::kShort, FractionalMillis(60), Tokens{1}, kNoGap});
  CHECK(loads_.ShortPrefillRate() == Approx(0.5));
  now_ += EndpointLoads::kRateWindow / 2 + Millis(1);
  CHECK(loads_.ShortPrefillRate() == Approx(0.3));
  now_ += EndpointLoads::kRateWindow;
  CHECK(loads_.ShortPrefillRate() == 0);
}

}  // namespace
}  // namespace harecrank
