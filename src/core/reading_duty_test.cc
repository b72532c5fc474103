#include "harecrank/core/reading_duty.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

class DutyFixture {
 protected:
  // Longer than a host ever waits for word before it reads.
  static constexpr Millis kBlind =
      ReadingDuty::kInformedFor + ReadingDuty::kSpread + Millis(1);

  TimePoint now_{std::chrono::hours(1)};
  ReadingDuty duty_{false, [this] { return now_; },
                    [] { return std::uint64_t{0}; }};
};

TEST_CASE_METHOD(DutyFixture, "A seed that has just started reads at once") {
  const ReadingDuty seed(
      true, [this] { return now_; }, [] { return std::uint64_t{0}; });
  CHECK(seed.Reads());
  CHECK_FALSE(seed.ReadsForOthers());
}

TEST_CASE_METHOD(DutyFixture,
                 "A host that has just started gives others time to tell it") {
  CHECK_FALSE(duty_.Reads());
  CHECK_FALSE(duty_.IsWell());
  now_ += kBlind;
  CHECK(duty_.Reads());
}

TEST_CASE_METHOD(DutyFixture,
                 "A host that is told does not read, and one that is told no "
                 "more reads again soon") {
  duty_.OnInformed(Millis(0));
  now_ += ReadingDuty::kInformedFor;
  CHECK_FALSE(duty_.Reads());
  CHECK(duty_.IsWell());
  now_ += ReadingDuty::kSpread + Millis(1);
  CHECK(duty_.Reads());
  CHECK_FALSE(duty_.IsWell());
  duty_.OnAnswered();
  CHECK(duty_.IsWell());
}

TEST_CASE_METHOD(DutyFixture,
                 "A host that others rely on reads whatever it is told") {
  duty_.OnInformed(Millis(0));
  duty_.SetAsked(true);
  CHECK(duty_.Reads());
  CHECK(duty_.ReadsForOthers());
  CHECK(duty_.IsWell());
  CHECK_FALSE(duty_.Own() == OwnReading::kAnswered);
}

// A planner that hands over would otherwise take the platform for lost.
TEST_CASE_METHOD(DutyFixture,
                 "A host that stops to read for others knows for a while what "
                 "it has read") {
  duty_.SetAsked(true);
  duty_.OnAnswered();
  now_ += kBlind;
  duty_.SetAsked(false);
  CHECK(duty_.IsWell());
  CHECK_FALSE(duty_.Reads());
}

TEST_CASE_METHOD(DutyFixture,
                 "What the service answered before a pause in reading says "
                 "nothing") {
  duty_.SetAsked(true);
  duty_.OnAnswered();
  duty_.SetAsked(false);
  CHECK_FALSE(duty_.Own() == OwnReading::kAnswered);
}

// The readers of a fleet were turned away at once; each host along the way
// counted its second anew, and a configuration was in force 2.3 s late.
TEST_CASE_METHOD(DutyFixture,
                 "A host at the end of a chain reads as soon as one at its "
                 "beginning") {
  ReadingDuty planner(
      false, [this] { return now_; }, [] { return std::uint64_t{0}; });
  planner.OnInformed(Millis(0));
  now_ += ReadingDuty::kInformedFor - Millis(100);
  REQUIRE(planner.IsWell());
  duty_.OnInformed(planner.Age());
  now_ += Millis(100) + ReadingDuty::kSpread + Millis(1);
  CHECK_FALSE(duty_.IsWell());
  CHECK(duty_.Reads());
}

TEST_CASE_METHOD(DutyFixture,
                 "Reading has begun until the service answers or fails") {
  CHECK(duty_.Own() == OwnReading::kNone);
  duty_.SetAsked(true);
  CHECK(duty_.Own() == OwnReading::kBegun);
  duty_.OnFailed();
  CHECK(duty_.Own() == OwnReading::kFailed);
  duty_.OnAnswered();
  CHECK(duty_.Own() == OwnReading::kAnswered);
}

}  // namespace
}  // namespace harecrank
