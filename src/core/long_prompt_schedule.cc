#include "harecrank/core/long_prompt_schedule.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace harecrank {
namespace {

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
  // `shares_engines` tells whether there are several prompts to plan.
  PromptPlanner(bool shares_engines, EngineTimetable* timetable)
      : shares_engines_(shares_engines),
        now_(timetable->Now()),
        timetable_(timetable) {}

  // Plans the prompts with a promise, those that must start soon to be of any
  // use, and those that can meet their target. Returns the others.
  std::vector<const WaitingPrompt*> PlanInTime(
      const std::vector<WaitingPrompt>& prompts) {
    std::vector<const WaitingPrompt*> order;
    order.reserve(prompts.size());
    for (const WaitingPrompt& prompt : prompts) {
      order.push_back(&prompt);
    }
    SortBy(&order, [this](const WaitingPrompt& prompt) {
      return std::make_tuple(!prompt.has_promise, !Expires(prompt),
                             prompt.is_over_share,
                             SlackUntil(prompt.first_event_due, prompt, now_));
    });
    std::vector<const WaitingPrompt*> rest;
    for (const WaitingPrompt* prompt : order) {
      auto planned = GroupFor(*prompt, prompt->first_event_due);
      const bool in_time = planned.has_value() &&
                           planned->prefill_end <= prompt->first_event_due;
      const bool goes_first = prompt->has_promise || Expires(*prompt);
      const bool is_of_use = planned.has_value() &&
                             planned->prefill_end <= prompt->last_useful_event;
      if (in_time || (goes_first && is_of_use)) {
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
      auto planned = GroupFor(*prompt, last);
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

  // Returns the group for a prompt that is to have its first event by `end_by`,
  // or the one with the earliest first event if none has it by then. If prompts
  // share the engines, a prompt starts as soon as any group suffices: a larger
  // group that begins later would leave engines idle until then.
  std::optional<PlannedGroup> GroupFor(const WaitingPrompt& prompt,
                                       TimePoint end_by) const {
    std::optional<PlannedGroup> first;
    if (shares_engines_) {
      first = timetable_->FirstGroup(prompt.prompt, prompt.not_before, end_by,
                                     prompt.may_use);
    }
    return first.has_value()
               ? first
               : timetable_->EarliestGroup(prompt.prompt, prompt.not_before,
                                           prompt.may_use);
  }

  void Reserve(const WaitingPrompt& prompt, Prospect prospect,
               PlannedGroup planned) {
    timetable_->Reserve(planned);
    plans_.push_back(PromptPlan{prompt.id, prospect, std::move(planned)});
  }

  bool shares_engines_;
  TimePoint now_;
  EngineTimetable* timetable_;
  std::vector<PromptPlan> plans_;
};

}  // namespace

std::vector<PromptPlan> PlanPrompts(const std::vector<WaitingPrompt>& prompts,
                                    EngineTimetable* timetable) {
  PromptPlanner planner(prompts.size() > 1, timetable);
  planner.PlanLate(planner.PlanInTime(prompts));
  return std::move(planner).Plans();
}

}  // namespace harecrank
