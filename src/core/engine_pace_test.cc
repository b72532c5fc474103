#include "harecrank/core/engine_pace.h"

#include <catch2/catch.hpp>
#include <set>

namespace harecrank {
namespace {

constexpr int kEngines = 20;
constexpr std::size_t kGroupSize = 8;
constexpr FractionalMillis kPart{300};
constexpr double kTimesSlower = 5;

EndpointId Engine(int number) {
  return EndpointId{"e" + std::to_string(number)};
}

std::vector<EndpointId> Engines(int first, int last) {
  std::vector<EndpointId> engines;
  for (int i = first; i <= last; ++i) {
    engines.push_back(Engine(i));
  }
  return engines;
}

// Twenty engines, of which some are slow, and prompts of groups of them.
class PaceFixture {
 protected:
  // Plays a prompt on `engines`. Returns its first event divided by the
  // prediction.
  double Prefill(const std::vector<EndpointId>& engines) {
    double pace = 1;
    for (const EndpointId& id : engines) {
      pace = std::max(pace, slow_.count(id) != 0 ? kTimesSlower : 1.0);
    }
    PrefillObservation observation;
    observation.engines = engines;
    observation.part = kPart;
    observation.taken = pace * kPart;
    observation.slowdown = SlowdownOf(observation.taken, kPart);
    now_ += std::chrono::duration_cast<TimePoint::duration>(observation.taken);
    pace_.OnFirstEvent(observation);
    return pace;
  }

  bool IsSound(const EndpointId& id) const {
    return pace_.StandingOf(id) == EngineStanding::kSound;
  }

  // Returns kGroupSize engines, of which as many as possible are sound. The
  // first one moves on with each call.
  std::vector<EndpointId> NextGroup() {
    std::vector<EndpointId> group;
    for (const bool sound : {true, false}) {
      for (int i = 0; i < kEngines && group.size() < kGroupSize; ++i) {
        const EndpointId id = Engine((next_ + i) % kEngines);
        if (IsSound(id) == sound) {
          group.push_back(id);
        }
      }
    }
    next_ = (next_ + 3) % kEngines;
    return group;
  }

  // Plays groups every half second. Returns how many of them were slow.
  int PlayGroups(int count) {
    int slow_groups = 0;
    for (int i = 0; i < count; ++i) {
      slow_groups += Prefill(NextGroup()) > 1 ? 1 : 0;
      for (const EndpointId& id : Engines(0, kEngines - 1)) {
        if (pace_.StandingOf(id) == EngineStanding::kSlow) {
          found_.insert(id);
        }
      }
      now_ += Millis(200);
    }
    return slow_groups;
  }

  TimePoint now_{std::chrono::hours(1)};
  std::set<EndpointId> slow_;
  // The engines that were kSlow at any time in PlayGroups().
  std::set<EndpointId> found_;
  int next_ = 0;
  EnginePace pace_{[this] { return now_; }, true};
};

TEST_CASE_METHOD(PaceFixture,
                 "A slow engine is found within a few groups, and no sound "
                 "engine is taken for slow") {
  slow_ = {Engine(GENERATE(0, 3, 7, 12, 19))};
  CHECK(PlayGroups(40) <= 5);
  CHECK(found_ == slow_);
}

TEST_CASE_METHOD(PaceFixture, "Two slow engines are found") {
  slow_ = {Engine(2), Engine(11)};
  CHECK(PlayGroups(40) <= 9);
  CHECK(found_ == slow_);
}

TEST_CASE_METHOD(PaceFixture, "A fast group clears all its members") {
  slow_ = {Engine(0)};
  Prefill(Engines(0, 3));
  CHECK(pace_.StandingOf(Engine(2)) == EngineStanding::kSuspected);
  Prefill(Engines(1, 3));
  CHECK(IsSound(Engine(1)));
  CHECK(IsSound(Engine(3)));
  CHECK_FALSE(IsSound(Engine(0)));
}

TEST_CASE_METHOD(
    PaceFixture,
    "A slow group is charged to the only member that was not sound lately") {
  Prefill(Engines(1, 7));
  now_ += Millis(100);
  slow_ = {Engine(0)};
  Prefill(Engines(0, 7));
  CHECK(pace_.StandingOf(Engine(0)) == EngineStanding::kSlow);
  CHECK(IsSound(Engine(1)));
}

TEST_CASE_METHOD(PaceFixture,
                 "A group that waited behind other work is not charged") {
  PrefillObservation observation;
  observation.engines = Engines(0, 7);
  observation.part = kPart;
  observation.taken = 3 * kPart;
  observation.slowdown = SlowdownOf(observation.taken, 2.5 * kPart);
  pace_.OnFirstEvent(observation);
  CHECK(IsSound(Engine(0)));
}

TEST_CASE_METHOD(PaceFixture,
                 "An overdue group is charged before its first event") {
  pace_.OnGroupTrouble(Engines(0, 3), 3, FractionalMillis(900));
  CHECK_FALSE(IsSound(Engine(0)));
  CHECK(IsSound(Engine(4)));
}

TEST_CASE_METHOD(PaceFixture, "Evidence told twice counts once") {
  slow_ = {Engine(0)};
  Prefill(Engines(0, 7));
  Prefill(Engines(0, 7));
  CHECK(pace_.StandingOf(Engine(0)) == EngineStanding::kSuspected);
  CHECK(pace_.Of(Engine(0)) < EnginePace::kSlow);
}

TEST_CASE_METHOD(PaceFixture,
                 "An engine that recovers is sound after a few "
                 "good prompts, and not after the first") {
  slow_ = {Engine(0)};
  Prefill(Engines(0, 1));
  Prefill({Engine(1)});
  Prefill({Engine(0)});
  REQUIRE(pace_.StandingOf(Engine(0)) == EngineStanding::kSlow);
  slow_.clear();
  Prefill({Engine(0)});
  CHECK_FALSE(IsSound(Engine(0)));
  Prefill({Engine(0)});
  Prefill({Engine(0)});
  CHECK(IsSound(Engine(0)));
}

TEST_CASE_METHOD(PaceFixture, "A slowdown fades while nothing is heard") {
  slow_ = {Engine(0)};
  Prefill(Engines(0, 1));
  Prefill({Engine(1)});
  Prefill({Engine(0)});
  const double before = pace_.Of(Engine(0));
  REQUIRE(before >= EnginePace::kSlow);
  now_ += EnginePace::kHalfLife;
  CHECK(pace_.Of(Engine(0)) == Approx(1 + (before - 1) / 2));
  now_ += 2 * EnginePace::kHalfLife;
  CHECK(IsSound(Engine(0)));
}

TEST_CASE("Without standings, the decoding engine is charged for its group") {
  TimePoint now{std::chrono::hours(1)};
  EnginePace pace([&now] { return now; }, false);
  PrefillObservation observation;
  observation.engines = Engines(0, 1);
  observation.slowdown = 3;
  pace.OnFirstEvent(observation);
  now += std::chrono::hours(1);
  CHECK(pace.Of(Engine(0)) == Approx(1.3));
  CHECK(pace.Of(Engine(1)) == 1);
  CHECK(pace.StandingOf(Engine(0)) == EngineStanding::kSound);
}

}  // namespace
}  // namespace harecrank
