#include "harecrank/core/long_prompt_schedule.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace harecrank {
namespace {

// Share of the time left until a first event is due that a prompt may use. The
// rest is kept for the error of the prediction.
constexpr double kTimeShareUsed = 0.8;

// Returns the prefill time of the prompt when all requested helpers take part.
FractionalMillis LeastPrefillTime(const LongPrompt& prompt) {
  return prompt.prefill_time / static_cast<double>(kMaxHelpers + 1);
}

// Returns the time left before the prefill of the prompt must begin for its
// first event to come at `event`.
FractionalMillis SlackUntil(TimePoint event, const WaitingPrompt& prompt,
                            TimePoint now) {
  return FractionalMillis(event - now) - LeastPrefillTime(prompt.prompt);
}

// Plans the prompts one after the other on a timetable.
class PromptPlanner {
 public:
  PromptPlanner(TimePoint now, bool others_wait, EngineTimetable* timetable)
      : now_(now), others_wait_(others_wait), timetable_(timetable) {}

  // Plans the prompts that must start soon to be of any use, then those that
  // can meet their target, and returns the others.
  std::vector<const WaitingPrompt*> PlanInTime(
      const std::vector<WaitingPrompt>& prompts) {
    std::vector<const WaitingPrompt*> order;
    order.reserve(prompts.size());
    for (const WaitingPrompt& prompt : prompts) {
      order.push_back(&prompt);
    }
    SortBy(&order, [this](const WaitingPrompt& prompt) {
      return std::make_tuple(!Expires(prompt), !prompt.has_promise,
                             prompt.is_over_share,
                             SlackUntil(prompt.first_event_due, prompt, now_));
    });
    std::vector<const WaitingPrompt*> rest;
    for (const WaitingPrompt* prompt : order) {
      auto planned = GroupFor(*prompt);
      const bool in_time = planned.has_value() &&
                           planned->prefill_end <= prompt->first_event_due;
      const bool is_last_chance =
          planned.has_value() && Expires(*prompt) &&
          planned->prefill_end <= prompt->last_useful_event;
      if (in_time || is_last_chance) {
        Reserve(*prompt, in_time ? Prospect::kInTime : Prospect::kLate,
                *std::move(planned));
      } else {
        rest.push_back(prompt);
      }
    }
    return rest;
  }

  // Plans prompts that cannot meet their target, the first to expire first.
  void PlanLate(std::vector<const WaitingPrompt*> prompts) {
    SortBy(&prompts, [](const WaitingPrompt& prompt) {
      return std::make_tuple(!prompt.may_have_run, !prompt.has_promise,
                             prompt.is_over_share, prompt.last_useful_event);
    });
    for (const WaitingPrompt* prompt : prompts) {
      const TimePoint last =
          prompt->may_have_run ? TimePoint::max() : prompt->last_useful_event;
      auto planned = GroupFor(*prompt);
      if (planned.has_value() && planned->prefill_end <= last) {
        Reserve(*prompt, Prospect::kLate, *std::move(planned));
      } else {
        plans_.push_back(
            PromptPlan{prompt->id, Prospect::kNoRoom, std::move(planned)});
      }
    }
  }

  std::vector<PromptPlan> Plans() && { return std::move(plans_); }

 private:
  // Sorts by the key that `key_of` returns, then by id.
  template <typename KeyOf>
  static void SortBy(std::vector<const WaitingPrompt*>* prompts, KeyOf key_of) {
    std::sort(prompts->begin(), prompts->end(),
              [&key_of](const WaitingPrompt* a, const WaitingPrompt* b) {
                return std::make_pair(key_of(*a), a->id) <
                       std::make_pair(key_of(*b), b->id);
              });
  }

  // Returns whether the prompt must start within one latency target to be of
  // any use.
  bool Expires(const WaitingPrompt& prompt) const {
    return SlackUntil(prompt.last_useful_event, prompt, now_) <
           prompt.prompt.target;
  }

  // Returns the group with which the prompt is planned. While others wait, a
  // prompt takes no more engine time than it needs to meet its target.
  std::optional<PlannedGroup> GroupFor(const WaitingPrompt& prompt) const {
    if (!others_wait_) {
      return timetable_->EarliestGroup(prompt.prompt, prompt.not_before,
                                       prompt.may_use);
    }
    const bool is_late = prompt.first_event_due < now_;
    const TimePoint due =
        is_late ? prompt.last_useful_event : prompt.first_event_due;
    const FractionalMillis left = kTimeShareUsed * (due - now_);
    const TimePoint end_by =
        now_ + std::chrono::duration_cast<TimePoint::duration>(left);
    return timetable_->CheapestGroup(prompt.prompt, prompt.not_before, end_by,
                                     prompt.may_use);
  }

  void Reserve(const WaitingPrompt& prompt, Prospect prospect,
               PlannedGroup planned) {
    timetable_->Reserve(planned);
    plans_.push_back(PromptPlan{prompt.id, prospect, std::move(planned)});
  }

  TimePoint now_;
  bool others_wait_;
  EngineTimetable* timetable_;
  std::vector<PromptPlan> plans_;
};

}  // namespace

std::vector<PromptPlan> PlanPrompts(const std::vector<WaitingPrompt>& prompts,
                                    EngineTimetable* timetable) {
  PromptPlanner planner(timetable->Now(), prompts.size() > 1, timetable);
  planner.PlanLate(planner.PlanInTime(prompts));
  return std::move(planner).Plans();
}

}  // namespace harecrank
