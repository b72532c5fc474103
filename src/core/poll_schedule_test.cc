#include "harecrank/core/poll_schedule.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

class PollScheduleFixture {
 protected:
  explicit PollScheduleFixture(int polling_hosts = 2)
      : polling_hosts_(polling_hosts) {}

  PollSchedule MakeSchedule(bool is_seed) {
    return PollSchedule(
        is_seed,
        PollSchedulePorts{[this] { return polling_hosts_; },
                          [this] { return snapshot_available_; }},
        [this] { return now_; }, [this] { return random_value_; });
  }

  void Advance(Millis time) {
    now_ += time;
    schedule_.Update();
  }

  // Random value that gives the last position among all hosts.
  static constexpr std::uint64_t kLastDraw = ~std::uint64_t{0};
  // Longest time after which one of two hosts polls if it is not updated.
  static constexpr Millis kPollDueAfter =
      PollSchedule::kFreshFor + PollSchedule::kSpread + Millis(1);

  TimePoint now_{std::chrono::hours(1)};
  int polling_hosts_;
  bool snapshot_available_ = false;
  std::uint64_t random_value_ = 0;
  PollSchedule schedule_ = MakeSchedule(false);
};

TEST_CASE_METHOD(PollScheduleFixture, "A seed polls at its start") {
  const PollSchedule seed = MakeSchedule(true);
  CHECK(seed.Mode() == PollMode::kOnce);
}

TEST_CASE_METHOD(PollScheduleFixture,
                 "A host that is not a seed waits at its start for an update "
                 "of another host") {
  Advance(Millis(0));
  CHECK(schedule_.Mode() == PollMode::kNone);
  CHECK_FALSE(schedule_.HasFreshData());
  Advance(kPollDueAfter);
  CHECK(schedule_.Mode() == PollMode::kOnce);
}

TEST_CASE_METHOD(PollScheduleFixture,
                 "A host waits at its start for a snapshot of another host, "
                 "but not longer than the limit") {
  snapshot_available_ = true;
  Advance(PollSchedule::kMaxSnapshotWait - Millis(1));
  CHECK(schedule_.Mode() == PollMode::kNone);
  Advance(PollSchedule::kMaxRound);
  CHECK(schedule_.Mode() == PollMode::kOnce);
}

TEST_CASE_METHOD(
    PollScheduleFixture,
    "A host polls once when it is no longer updated, and not before") {
  schedule_.OnPeerUpdate(Millis(0));
  Advance(PollSchedule::kFreshFor - Millis(1));
  CHECK(schedule_.Mode() == PollMode::kNone);
  CHECK(schedule_.HasFreshData());
  Advance(PollSchedule::kSpread + Millis(2));
  CHECK(schedule_.Mode() == PollMode::kOnce);
  CHECK_FALSE(schedule_.HasFreshData());
  schedule_.OnPollSucceeded();
  CHECK(schedule_.HasFreshData());
  CHECK(schedule_.Mode() == PollMode::kNone);
  CHECK(schedule_.OwnPollState() == PollState::kAnswered);
}

// Otherwise its data would expire and be renewed again and again.
TEST_CASE_METHOD(PollScheduleFixture,
                 "An isolated host polls while its data are still fresh") {
  polling_hosts_ = 1;
  schedule_.OnPeerUpdate(Millis(0));
  Advance(PollSchedule::kStandbyPollAge);
  CHECK(schedule_.Mode() == PollMode::kOnce);
  CHECK(schedule_.HasFreshData());
}

TEST_CASE_METHOD(
    PollScheduleFixture,
    "The host of rank zero polls continuously even if it is updated") {
  schedule_.OnPeerUpdate(Millis(0));
  schedule_.SetPollRank(0);
  CHECK(schedule_.Mode() == PollMode::kContinuous);
  CHECK(schedule_.HasFreshData());
  CHECK(schedule_.OwnPollState() == PollState::kStarted);
}

TEST_CASE_METHOD(
    PollScheduleFixture,
    "Standby hosts poll in the order of their ranks, before any other host") {
  polling_hosts_ = 402;
  random_value_ = kLastDraw;
  schedule_.SetPollRank(2);
  schedule_.OnPeerUpdate(Millis(0));
  Advance(PollSchedule::kStandbyPollAge);
  CHECK(schedule_.Mode() == PollMode::kNone);
  Advance(PollSchedule::kStandbyPollStep);
  CHECK(schedule_.Mode() == PollMode::kOnce);
}

// A planner that is replaced would otherwise report that the store is lost.
TEST_CASE_METHOD(PollScheduleFixture,
                 "A host that loses its rank keeps fresh data for a while") {
  schedule_.SetPollRank(0);
  schedule_.OnPollSucceeded();
  Advance(PollSchedule::kLongPollWait);
  schedule_.SetPollRank(std::nullopt);
  CHECK(schedule_.HasFreshData());
  CHECK(schedule_.Mode() == PollMode::kNone);
}

TEST_CASE_METHOD(
    PollScheduleFixture,
    "An answer that is no longer fresh does not count as a successful poll") {
  schedule_.SetPollRank(0);
  schedule_.OnPollSucceeded();
  Advance(PollSchedule::kFreshFor + Millis(1));
  CHECK_FALSE(schedule_.OwnPollState() == PollState::kAnswered);
  CHECK_FALSE(schedule_.HasFreshData());
}

// If each host of a chain counted the age from the message, data at the end of
// the chain would become too old before the host polls.
TEST_CASE_METHOD(PollScheduleFixture,
                 "A host at the end of a chain of updates polls as early as "
                 "one at its beginning") {
  PollSchedule planner = MakeSchedule(false);
  planner.OnPeerUpdate(Millis(0));
  now_ += PollSchedule::kFreshFor - Millis(100);
  REQUIRE(planner.HasFreshData());
  schedule_.OnPeerUpdate(planner.Age());
  Advance(Millis(100) + PollSchedule::kSpread + Millis(1));
  CHECK_FALSE(schedule_.HasFreshData());
  CHECK(schedule_.Mode() == PollMode::kOnce);
}

TEST_CASE_METHOD(
    PollScheduleFixture,
    "An update older than a host's data does not increase their age") {
  schedule_.OnPeerUpdate(Millis(100));
  schedule_.OnPeerUpdate(Millis(900));
  CHECK(schedule_.Age() == Millis(100));
}

TEST_CASE_METHOD(PollScheduleFixture,
                 "The poll state is 'started' until a poll succeeds or fails") {
  CHECK(schedule_.OwnPollState() == PollState::kNone);
  schedule_.SetPollRank(0);
  CHECK(schedule_.OwnPollState() == PollState::kStarted);
  schedule_.OnPollFailed();
  CHECK(schedule_.OwnPollState() == PollState::kFailed);
  schedule_.OnPollSucceeded();
  CHECK(schedule_.OwnPollState() == PollState::kAnswered);
}

TEST_CASE_METHOD(PollScheduleFixture,
                 "After a failed poll a host waits for a round, which grows "
                 "with each failure") {
  schedule_.OnPeerUpdate(Millis(0));
  Advance(kPollDueAfter);
  REQUIRE(schedule_.Mode() == PollMode::kOnce);
  schedule_.OnPollFailed();
  CHECK(schedule_.Mode() == PollMode::kNone);
  Advance(PollSchedule::kRound);
  CHECK(schedule_.Mode() == PollMode::kNone);
  Advance(PollSchedule::kRound);
  CHECK(schedule_.Mode() == PollMode::kOnce);
}

TEST_CASE_METHOD(PollScheduleFixture,
                 "In a large fleet most hosts do not poll in a round, and the "
                 "first draws poll at once") {
  polling_hosts_ = 402;
  random_value_ = kLastDraw;
  schedule_.OnPeerUpdate(Millis(0));
  Advance(kPollDueAfter);
  CHECK(schedule_.Mode() == PollMode::kNone);
  random_value_ = 0;
  Advance(PollSchedule::kRound);
  CHECK(schedule_.Mode() == PollMode::kOnce);
}

}  // namespace
}  // namespace harecrank
