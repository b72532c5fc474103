#include "harecrank/core/room_admission.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace harecrank {
namespace {

const ServiceName kService{"writers"};
constexpr std::size_t kEngines = 4;

EngineProfile Engine() {
  EngineProfile engine;
  engine.slots = 16;
  engine.memory = Tokens{400000};
  engine.step_ms = 1;
  engine.steps_per_pass = 40;
  engine.prefill_tokens_per_ms = 150;
  return engine;
}

// Four engines that are busy for a while, and a prompt that takes all of them
// for about a second.
class RoomAdmissionFixture {
 protected:
  RoomAdmissionFixture() : records_(kEngines) {
    for (std::size_t i = 0; i < kEngines; ++i) {
      records_[i].id = EndpointId{"e" + std::to_string(i)};
    }
  }

  // Returns the timetable of engines that are busy for `busy`.
  EngineTimetable BusyFor(Millis busy) const {
    std::vector<EngineAvailability> engines(kEngines);
    for (std::size_t i = 0; i < kEngines; ++i) {
      engines[i].candidate.record = &records_[i];
      engines[i].candidate.rank = kEngines - i;
      engines[i].free_at = now_ + busy;
    }
    return EngineTimetable(&engine_, &policy_, now_, std::move(engines));
  }

  // Returns a prompt of `caller`, whose target ends in 4 s.
  WaitingPrompt PromptOf(const ReturningCaller& caller) const {
    WaitingPrompt prompt;
    prompt.id = WaitingRequestId{caller.request.high};
    prompt.prompt.prefill_time = FractionalMillis(4000);
    prompt.prompt.needed = Tokens{100000};
    prompt.prompt.target = FractionalMillis(4000);
    prompt.prompt.until_late = FractionalMillis(4000);
    prompt.prompt.gap = FractionalMillis(1000);
    prompt.prompt.tightest_gap = FractionalMillis(250);
    prompt.first_event_due = now_ + Millis(4000);
    prompt.last_useful_event = caller.last_event_before_deadline;
    return prompt;
  }

  ReturningCaller CallerOf(std::uint64_t number, Millis left) const {
    ReturningCaller caller;
    caller.request = RequestFingerprint{AccountId{"press"}, number, 1};
    caller.service = kService;
    caller.last_event_before_deadline = now_ + left;
    caller.first_event_timeout = FractionalMillis(16000);
    caller.engines = kEngines;
    return caller;
  }

  // Plans the prompt of `caller`, together with the promises, on engines that
  // are busy for `busy`, and returns the decision about it.
  std::optional<QueryRejected> Decide(const ReturningCaller& caller,
                                      Millis busy, bool may_have_run = false) {
    EngineTimetable timetable = BusyFor(busy);
    std::vector<WaitingPrompt> prompts = promises_.Open(kService, kEngines);
    prompts.push_back(PromptOf(caller));
    prompts.back().may_have_run = may_have_run;
    for (const PromptPlan& plan : PlanPrompts(prompts, &timetable)) {
      if (plan.id == prompts.back().id) {
        return admission_.RejectionOf(prompts.back(), plan, caller, &timetable);
      }
    }
    return std::nullopt;
  }

  TimePoint now_{std::chrono::hours(1)};
  EngineProfile engine_ = Engine();
  PlacementPolicy policy_;
  std::vector<EndpointRecord> records_;
  ReturnPromises promises_{[this] { return now_; }};
  RoomAdmission admission_{&promises_};
};

TEST_CASE_METHOD(RoomAdmissionFixture,
                 "A prompt with room before its caller gives up waits, also if "
                 "it will be late") {
  CHECK_FALSE(Decide(CallerOf(1, Millis(15000)), Millis(0)).has_value());
  CHECK_FALSE(Decide(CallerOf(1, Millis(15000)), Millis(9000)).has_value());
  CHECK(promises_.Count() == 0);
}

TEST_CASE_METHOD(RoomAdmissionFixture,
                 "A prompt without room is rejected at once with the time at "
                 "which the engines have room") {
  const auto rejected = Decide(CallerOf(1, Millis(15000)), Millis(16000));
  REQUIRE(rejected.has_value());
  CHECK(rejected->retry_after == Millis(16000));
  // The room comes after the deadline, so it is not kept.
  CHECK(promises_.Open(kService, 9).empty());
}

TEST_CASE_METHOD(RoomAdmissionFixture,
                 "A prompt that an endpoint may have run is not rejected") {
  CHECK_FALSE(
      Decide(CallerOf(1, Millis(15000)), Millis(16000), true).has_value());
}

TEST_CASE_METHOD(RoomAdmissionFixture,
                 "Callers that give up a first event sooner than their "
                 "deadline are promised room, each another one") {
  std::vector<Millis> delays;
  for (std::uint64_t number = 1; number <= 3; ++number) {
    ReturningCaller caller = CallerOf(number, Millis(30000));
    EngineTimetable timetable = BusyFor(Millis(3000));
    PlanPrompts(promises_.Open(kService, kEngines), &timetable);
    const QueryRejected rejected =
        admission_.RejectUntilRoom(PromptOf(caller), caller, &timetable);
    delays.push_back(rejected.retry_after.value());
  }
  CHECK(delays.front() == Millis(3000));
  CHECK(delays[1] >= delays[0] + Millis(1000));
  CHECK(delays[2] >= delays[1] + Millis(1000));
  CHECK(promises_.Open(kService, 9).size() == 3);
  // The room is not given to a new caller of the same size.
  const auto stranger = Decide(CallerOf(9, Millis(4500)), Millis(3000));
  CHECK(stranger.has_value());
}

TEST_CASE_METHOD(RoomAdmissionFixture,
                 "The shortest delay is told if there is room at once") {
  const ReturningCaller caller = CallerOf(1, Millis(15000));
  EngineTimetable timetable = BusyFor(Millis(0));
  CHECK(admission_.RejectUntilRoom(PromptOf(caller), caller, &timetable)
            .retry_after == RoomAdmission::kMinReturnDelay);
}

TEST_CASE_METHOD(RoomAdmissionFixture,
                 "No time is told for a prompt that fits on no engines") {
  const ReturningCaller caller = CallerOf(1, Millis(15000));
  WaitingPrompt prompt = PromptOf(caller);
  prompt.prompt.needed = Tokens{9000000};
  EngineTimetable timetable = BusyFor(Millis(0));
  CHECK_FALSE(admission_.RejectUntilRoom(prompt, caller, &timetable)
                  .retry_after.has_value());
  CHECK(promises_.Count() == 0);
}

TEST_CASE_METHOD(RoomAdmissionFixture,
                 "A promise that is broken is counted by its cause") {
  ReturningCaller caller = CallerOf(1, Millis(9000));
  ReturnPromise& promise = caller.promise.emplace();
  promise.engines = kEngines;
  promise.last_useful_event = caller.last_event_before_deadline;
  CHECK(Decide(caller, Millis(16000)).has_value());
  CHECK(promises_.Counts().broken == 1);
  promise.last_useful_event += Millis(5000);
  CHECK(Decide(caller, Millis(16000)).has_value());
  CHECK(promises_.Counts().broken_nearer_deadline == 1);
  promise.engines = kEngines + 1;
  CHECK(Decide(caller, Millis(16000)).has_value());
  CHECK(promises_.Counts().broken_engines_left == 1);
  CHECK(promises_.Counts().broken == 3);
}

}  // namespace
}  // namespace harecrank
