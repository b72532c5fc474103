#include "harecrank/core/poll_schedule.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

class DutyFixture {
 protected:
  explicit DutyFixture(int polling_hosts = 2) : sharers_(polling_hosts) {}

  PollSchedule MakeDuty(bool is_seed) {
    return PollSchedule(
        is_seed,
        PollSchedulePorts{[this] { return sharers_; },
                          [this] { return copy_is_near_; }},
        [this] { return now_; }, [this] { return draw_; });
  }

  void Pass(Millis time) {
    now_ += time;
    duty_.Update();
  }

  // The last host's draw.
  static constexpr std::uint64_t kLast = ~std::uint64_t{0};
  // Longer than either of two hosts ever waits for word before it reads.
  static constexpr Millis kBlind =
      PollSchedule::kFreshFor + PollSchedule::kSpread + Millis(1);

  TimePoint now_{std::chrono::hours(1)};
  int sharers_;
  bool copy_is_near_ = false;
  std::uint64_t draw_ = 0;
  PollSchedule duty_ = MakeDuty(false);
};

TEST_CASE_METHOD(DutyFixture, "A seed that has just started reads at once") {
  const PollSchedule seed = MakeDuty(true);
  CHECK(seed.Mode() == PollMode::kOnce);
}

TEST_CASE_METHOD(DutyFixture,
                 "A host that has just started gives others time to tell it") {
  Pass(Millis(0));
  CHECK(duty_.Mode() == PollMode::kNone);
  CHECK_FALSE(duty_.HasFreshData());
  Pass(kBlind);
  CHECK(duty_.Mode() == PollMode::kOnce);
}

TEST_CASE_METHOD(DutyFixture,
                 "A host that has just started waits for a copy that another "
                 "one can give, but not for long") {
  copy_is_near_ = true;
  Pass(PollSchedule::kMaxSnapshotWait - Millis(1));
  CHECK(duty_.Mode() == PollMode::kNone);
  Pass(PollSchedule::kMaxRound);
  CHECK(duty_.Mode() == PollMode::kOnce);
}

TEST_CASE_METHOD(DutyFixture,
                 "A host that is told does not read, and one that is told no "
                 "more reads again soon, and once") {
  duty_.OnPeerUpdate(Millis(0));
  Pass(PollSchedule::kFreshFor - Millis(1));
  CHECK(duty_.Mode() == PollMode::kNone);
  CHECK(duty_.HasFreshData());
  Pass(PollSchedule::kSpread + Millis(2));
  CHECK(duty_.Mode() == PollMode::kOnce);
  CHECK_FALSE(duty_.HasFreshData());
  duty_.OnPollSucceeded();
  CHECK(duty_.HasFreshData());
  CHECK(duty_.Mode() == PollMode::kNone);
  CHECK(duty_.OwnPollState() == PollState::kAnswered);
}

// Otherwise it would lose the source and regain it again and again.
TEST_CASE_METHOD(DutyFixture,
                 "A host that hears no other reads before what it knows is too "
                 "old") {
  sharers_ = 1;
  duty_.OnPeerUpdate(Millis(0));
  Pass(PollSchedule::kStandbyPollAge);
  CHECK(duty_.Mode() == PollMode::kOnce);
  CHECK(duty_.HasFreshData());
}

TEST_CASE_METHOD(DutyFixture,
                 "The host that reads for all reads whatever it is told") {
  duty_.OnPeerUpdate(Millis(0));
  duty_.SetPollRank(0);
  CHECK(duty_.Mode() == PollMode::kContinuous);
  CHECK(duty_.HasFreshData());
  CHECK(duty_.OwnPollState() == PollState::kStarted);
}

TEST_CASE_METHOD(DutyFixture,
                 "Those that stand by read one after the other, before any "
                 "other host") {
  sharers_ = 402;
  draw_ = kLast;
  duty_.SetPollRank(2);
  duty_.OnPeerUpdate(Millis(0));
  Pass(PollSchedule::kStandbyPollAge);
  CHECK(duty_.Mode() == PollMode::kNone);
  Pass(PollSchedule::kStandbyPollStep);
  CHECK(duty_.Mode() == PollMode::kOnce);
}

// A planner that hands over would otherwise take the platform for lost.
TEST_CASE_METHOD(DutyFixture,
                 "A host that stops to read for others knows for a while what "
                 "it has read") {
  duty_.SetPollRank(0);
  duty_.OnPollSucceeded();
  Pass(PollSchedule::kLongPollWait);
  duty_.SetPollRank(std::nullopt);
  CHECK(duty_.HasFreshData());
  CHECK(duty_.Mode() == PollMode::kNone);
}

TEST_CASE_METHOD(DutyFixture,
                 "What the service answered a while ago says nothing of how "
                 "reading goes") {
  duty_.SetPollRank(0);
  duty_.OnPollSucceeded();
  Pass(PollSchedule::kFreshFor + Millis(1));
  CHECK_FALSE(duty_.OwnPollState() == PollState::kAnswered);
  CHECK_FALSE(duty_.HasFreshData());
}

// Were the age counted anew at each host, the end of a chain would be blind for
// longer.
TEST_CASE_METHOD(DutyFixture,
                 "A host at the end of a chain reads as soon as one at its "
                 "beginning") {
  PollSchedule planner = MakeDuty(false);
  planner.OnPeerUpdate(Millis(0));
  now_ += PollSchedule::kFreshFor - Millis(100);
  REQUIRE(planner.HasFreshData());
  duty_.OnPeerUpdate(planner.Age());
  Pass(Millis(100) + PollSchedule::kSpread + Millis(1));
  CHECK_FALSE(duty_.HasFreshData());
  CHECK(duty_.Mode() == PollMode::kOnce);
}

TEST_CASE_METHOD(DutyFixture,
                 "Word that is older than what a host knows does not make it "
                 "look blind") {
  duty_.OnPeerUpdate(Millis(100));
  duty_.OnPeerUpdate(Millis(900));
  CHECK(duty_.Age() == Millis(100));
}

TEST_CASE_METHOD(DutyFixture,
                 "Reading has begun until the service answers or fails") {
  CHECK(duty_.OwnPollState() == PollState::kNone);
  duty_.SetPollRank(0);
  CHECK(duty_.OwnPollState() == PollState::kStarted);
  duty_.OnPollFailed();
  CHECK(duty_.OwnPollState() == PollState::kFailed);
  duty_.OnPollSucceeded();
  CHECK(duty_.OwnPollState() == PollState::kAnswered);
}

TEST_CASE_METHOD(DutyFixture,
                 "A host that the service does not answer has its next turn a "
                 "round later, and later each time") {
  duty_.OnPeerUpdate(Millis(0));
  Pass(kBlind);
  REQUIRE(duty_.Mode() == PollMode::kOnce);
  duty_.OnPollFailed();
  CHECK(duty_.Mode() == PollMode::kNone);
  Pass(PollSchedule::kRound);
  CHECK(duty_.Mode() == PollMode::kNone);
  Pass(PollSchedule::kRound);
  CHECK(duty_.Mode() == PollMode::kOnce);
}

TEST_CASE_METHOD(DutyFixture,
                 "Of many hosts most have no turn in a round, and the first "
                 "draws have it at once") {
  sharers_ = 402;
  draw_ = kLast;
  duty_.OnPeerUpdate(Millis(0));
  Pass(kBlind);
  CHECK(duty_.Mode() == PollMode::kNone);
  draw_ = 0;
  Pass(PollSchedule::kRound);
  CHECK(duty_.Mode() == PollMode::kOnce);
}

}  // namespace
}  // namespace harecrank
