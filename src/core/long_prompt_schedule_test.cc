#include "harecrank/core/long_prompt_schedule.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

namespace harecrank {
namespace {

constexpr std::size_t kEngines = 4;

// Four engines whose passes take no time of their own. Each prompt occupies all
// of them for 150 ms, so the prompts follow each other.
class ScheduleFixture {
 protected:
  ScheduleFixture() : records_(kEngines) {
    engine_.memory = Tokens{400000};
    for (std::size_t i = 0; i < kEngines; ++i) {
      records_[i].id = EndpointId{"e" + std::to_string(i)};
    }
  }

  // Adds a prompt that is late after `due` and of no use after `useful`.
  WaitingPrompt* Add(Millis due, Millis useful) {
    WaitingPrompt prompt;
    prompt.id = WaitingRequestId{prompts_.size() + 1};
    prompt.prompt.prefill_time = FractionalMillis(600);
    prompt.prompt.target = FractionalMillis(400);
    prompt.prompt.tightest_gap = FractionalMillis(250);
    prompt.first_event_due = now_ + due;
    prompt.last_useful_event = now_ + useful;
    prompts_.push_back(prompt);
    return &prompts_.back();
  }

  void Plan() {
    std::vector<EngineAvailability> engines(kEngines);
    for (std::size_t i = 0; i < kEngines; ++i) {
      engines[i].candidate.record = &records_[i];
      engines[i].free_at = now_;
    }
    EngineTimetable timetable(&engine_, &policy_, now_, std::move(engines));
    plans_ = PlanPrompts(prompts_, &timetable);
  }

  const PromptPlan& PlanOf(std::uint64_t id) const {
    return *std::find_if(
        plans_.begin(), plans_.end(),
        [id](const PromptPlan& plan) { return plan.id.value == id; });
  }
  // Returns how many prompts are prefilled before the prompt `id`.
  std::int64_t Before(std::uint64_t id) const {
    return (PlanOf(id).planned->start - now_) / Millis(150);
  }

  TimePoint now_{std::chrono::hours(1)};
  EngineProfile engine_;
  PlacementPolicy policy_;
  std::vector<EndpointRecord> records_;
  std::vector<WaitingPrompt> prompts_;
  std::vector<PromptPlan> plans_;
};

TEST_CASE_METHOD(ScheduleFixture,
                 "The prompt with the least slack is planned first") {
  Add(Millis(900), Millis(5000));
  Add(Millis(300), Millis(5000));
  Add(Millis(600), Millis(5000));
  Plan();
  CHECK(Before(2) == 0);
  CHECK(Before(3) == 1);
  CHECK(Before(1) == 2);
  CHECK(PlanOf(1).prospect == Prospect::kInTime);
}

TEST_CASE_METHOD(ScheduleFixture,
                 "Prompts that will be late are planned after those in time") {
  Add(Millis(-100), Millis(5000));
  Add(Millis(300), Millis(5000));
  Add(Millis(-200), Millis(3000));
  Plan();
  CHECK(Before(2) == 0);
  CHECK(Before(3) == 1);
  CHECK(Before(1) == 2);
  CHECK(PlanOf(1).prospect == Prospect::kLate);
}

TEST_CASE_METHOD(ScheduleFixture,
                 "A late prompt goes first when it would soon be of no use") {
  Add(Millis(160), Millis(5000));
  Add(Millis(-100), Millis(300));
  Plan();
  CHECK(Before(2) == 0);
  CHECK(PlanOf(2).prospect == Prospect::kLate);
  CHECK(PlanOf(1).prospect == Prospect::kLate);
}

TEST_CASE_METHOD(ScheduleFixture,
                 "A prompt without room reserves nothing and names the time") {
  Add(Millis(200), Millis(5000));
  Add(Millis(-100), Millis(100));
  Add(Millis(-100), Millis(5000));
  Plan();
  CHECK(PlanOf(2).prospect == Prospect::kNoRoom);
  CHECK(PlanOf(2).planned.has_value());
  CHECK(Before(1) == 0);
  CHECK(Before(3) == 1);
}

TEST_CASE_METHOD(ScheduleFixture,
                 "Promised prompts come first, those over their share last") {
  Add(Millis(500), Millis(5000))->is_over_share = true;
  Add(Millis(600), Millis(5000));
  Add(Millis(700), Millis(5000))->has_promise = true;
  Plan();
  CHECK(Before(3) == 0);
  CHECK(Before(2) == 1);
  CHECK(Before(1) == 2);
}

TEST_CASE_METHOD(ScheduleFixture,
                 "A prompt that may have run is planned however late it is") {
  Add(Millis(-5000), Millis(-100))->may_have_run = true;
  Plan();
  CHECK(PlanOf(1).prospect == Prospect::kLate);
  CHECK(Before(1) == 0);
}

}  // namespace
}  // namespace harecrank
