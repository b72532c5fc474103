#include "harecrank/core/part_trials.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace harecrank {
namespace {

const HostAddress kSelf{"10.0.0.1:1"};
const HostAddress kOther{"10.0.0.2:1"};
constexpr TimePoint kHeldAt{Millis(100000)};

// All trials are owned by `kSelf`.
PartTrialSchedule MakeSchedule() {
  return PartTrialSchedule(PartTrials{{kSelf}, {}}, kHeldAt);
}

TEST_CASE("Hosts that know the same hosts choose the same trial owners") {
  const std::vector<HostAddress> hosts{kSelf, kOther, HostAddress{"c"},
                                       HostAddress{"d"}};
  const std::vector<HostAddress> reversed(hosts.rbegin(), hosts.rend());
  const PartTrials trials = ChooseTrials(PromptPartId{7}, hosts);
  CHECK(trials == ChooseTrials(PromptPartId{7}, reversed));
  CHECK(trials.owners.size() == kPartTrials);
}

TEST_CASE("Trials merge to the same value in any order") {
  const PartTrials a{{kSelf}, {true, false, false}};
  const PartTrials b{{kOther}, {false, true, false}};
  const PartTrials merged = MergeTrials(a, b);
  CHECK(merged == MergeTrials(b, a));
  CHECK(merged == MergeTrials(merged, a));
  CHECK(merged.owners == b.owners);
  CHECK(merged.run == std::array<bool, kPartTrials>{true, true, false});
  CHECK(DigestOf(merged) != DigestOf(b));
}

TEST_CASE("Owners that were chosen in a partition give way to those known") {
  const PartTrials none;
  const PartTrials some{{kSelf}, {}};
  CHECK(MergeTrials(none, some).owners == some.owners);
}

TEST_CASE("A trial is due only at its owner, after its delay, and once") {
  PartTrialSchedule schedule = MakeSchedule();
  const TimePoint due = kHeldAt + PartTrialSchedule::kDelays[0];
  CHECK_FALSE(schedule.IsDue(kSelf, due - Millis(1)));
  CHECK(schedule.IsDue(kSelf, due));
  CHECK_FALSE(schedule.IsDue(kOther, due));
  REQUIRE(schedule.Reserve(kSelf, due));
  schedule.OnSent();
  CHECK_FALSE(schedule.IsDue(kSelf, due + Millis(5000)));
  CHECK(schedule.IsDue(kSelf, kHeldAt + PartTrialSchedule::kDelays[1]));
}

// Prompts with the part may come seldom, and then several at once.
TEST_CASE("Overdue trials are not run together") {
  PartTrialSchedule schedule = MakeSchedule();
  const TimePoint late = kHeldAt + Millis(600000);
  REQUIRE(schedule.Reserve(kSelf, late));
  CHECK_FALSE(schedule.Reserve(kSelf, late));
  schedule.OnSent();
  CHECK_FALSE(schedule.Reserve(kSelf, late + Millis(1000)));
  CHECK(schedule.Reserve(kSelf, late + PartTrialSchedule::kDelays[0]));
}

TEST_CASE("A trial that was not sent is due again at once") {
  PartTrialSchedule schedule = MakeSchedule();
  const TimePoint due = kHeldAt + PartTrialSchedule::kDelays[0];
  REQUIRE(schedule.Reserve(kSelf, due));
  schedule.Cancel();
  CHECK(schedule.IsDue(kSelf, due));
  REQUIRE(schedule.Reserve(kSelf, due));
  schedule.OnSent();
  schedule.Cancel();
  CHECK_FALSE(schedule.IsDue(kSelf, due + Millis(5000)));
}

TEST_CASE("A trial that another host has run is not run again") {
  PartTrialSchedule schedule = MakeSchedule();
  const PartTrials told{{kOther}, {true, true, true}};
  CHECK(schedule.Merge(told, kHeldAt));
  CHECK_FALSE(schedule.Merge(told, kHeldAt));
  CHECK_FALSE(schedule.IsDue(kSelf, kHeldAt + Millis(600000)));
  CHECK_FALSE(schedule.IsDue(kOther, kHeldAt + Millis(600000)));
}

}  // namespace
}  // namespace harecrank
