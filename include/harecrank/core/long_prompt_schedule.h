// Plans all waiting long prompts of a service on the timetable of its engines.

#ifndef HARECRANK_CORE_LONG_PROMPT_SCHEDULE_H_
#define HARECRANK_CORE_LONG_PROMPT_SCHEDULE_H_

#include <optional>
#include <vector>

#include "harecrank/core/clock.h"
#include "harecrank/core/engine_timetable.h"
#include "harecrank/core/prefill_group.h"
#include "harecrank/core/wait_queue.h"

namespace harecrank {

// A long prompt that waits for engines, or whose caller was told when to return
// and has not returned yet.
struct WaitingPrompt {
  WaitingRequestId id;
  LongPrompt prompt;
  // Time after which the first event is late.
  TimePoint first_event_due{};
  // Time after which a first event is of no use: the caller has given up by
  // then, or the answer cannot end before the deadline.
  TimePoint last_useful_event{};
  // Earliest start; in the future for a caller that was told to return then.
  TimePoint not_before{};
  // The endpoints to which the prompt may be sent; all if empty.
  EndpointFilter may_use;
  // The room for this prompt was promised to its caller. It is planned before
  // all prompts without a promise.
  bool has_promise = false;
  // The prompt's account has used more than its fair share of engine time. It
  // is planned after other prompts of its prospect.
  bool is_over_share = false;
  // An endpoint may already have run the request, so it must not be refused.
  bool may_have_run = false;
};

// What the schedule predicts for a prompt.
enum class Prospect {
  // Its first event meets the latency target.
  kInTime,
  // Its first event is late, but the answer still ends before the caller gives
  // up.
  kLate,
  // It cannot be served before its caller gives up.
  kNoRoom
};

// The plan for one prompt. With kNoRoom, `planned` is the earliest group of
// engines, which comes too late and is not reserved; it is unset if no group of
// engines can take the prompt at present.
struct PromptPlan {
  WaitingRequestId id;
  Prospect prospect = Prospect::kNoRoom;
  std::optional<PlannedGroup> planned;
};

// Plans `prompts` on `timetable`, which holds all reservations afterwards.
// Prompts that can meet their target come first, by least slack. The others are
// planned on what these leave, by the time left until they are of no use, and a
// prompt for which this time is nearly over goes before those, so that none
// starves. Prompts with a promise go before all others. Returns one plan for
// each prompt, in the order in which they were planned.
std::vector<PromptPlan> PlanPrompts(const std::vector<WaitingPrompt>& prompts,
                                    EngineTimetable* timetable);

}  // namespace harecrank

#endif  // HARECRANK_CORE_LONG_PROMPT_SCHEDULE_H_
