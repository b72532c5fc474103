#include "harecrank/core/room_admission.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace harecrank {
namespace {

// A deadline that is nearer by less than this is the one that was stated: the
// time left that a caller states excludes the time that its return has taken.
constexpr Millis kDeadlineTolerance{200};

BrokenPromiseCause CauseOf(const ReturnPromise& promise,
                           const WaitingPrompt& prompt,
                           const ReturningCaller& caller) {
  if (caller.engines < promise.engines) {
    return BrokenPromiseCause::kEnginesLeft;
  }
  return prompt.last_useful_event + kDeadlineTolerance <
                 promise.last_useful_event
             ? BrokenPromiseCause::kNearerDeadline
             : BrokenPromiseCause::kOther;
}

}  // namespace

std::optional<QueryRejected> RoomAdmission::RejectionOf(
    const WaitingPrompt& prompt, const PromptPlan& plan,
    const ReturningCaller& caller, EngineTimetable* timetable) {
  if (plan.prospect != Prospect::kNoRoom || prompt.may_have_run) {
    return std::nullopt;
  }
  // Without a group at present, the engines may still get memory for the
  // prompt, so it waits as long as that is of use.
  if (!plan.planned.has_value() &&
      timetable->Now() < prompt.last_useful_event) {
    return std::nullopt;
  }
  return RejectUntilRoom(prompt, caller, timetable);
}

QueryRejected RoomAdmission::RejectUntilRoom(const WaitingPrompt& prompt,
                                             const ReturningCaller& caller,
                                             EngineTimetable* timetable) {
  CountBroken(prompt, caller);
  const TimePoint now = timetable->Now();
  // A return is a new request, which may be sent to any engine.
  const auto planned = timetable->EarliestGroup(
      prompt.prompt, now + kMinReturnDelay, EndpointFilter{});
  if (!planned.has_value() || !caller.request.IsSet()) {
    return QueryRejected{};
  }
  ReturnPromise promise;
  promise.request = caller.request;
  promise.prompt = prompt.prompt;
  promise.return_at = now + std::chrono::ceil<Millis>(planned->start - now);
  promise.first_event_due = prompt.first_event_due;
  promise.last_useful_event = std::min(
      caller.last_event_before_deadline,
      promise.return_at + std::chrono::duration_cast<TimePoint::duration>(
                              caller.first_event_timeout));
  promise.engines = caller.engines;
  if (planned->prefill_end <= promise.last_useful_event) {
    promise.service = caller.service;
    timetable->Reserve(*planned);
  }
  // Some time has passed since the plan was begun.
  return QueryRejected{
      std::max(kMinReturnDelay, promises_->Make(std::move(promise)))};
}

void RoomAdmission::CountBroken(const WaitingPrompt& prompt,
                                const ReturningCaller& caller) {
  if (caller.promise.has_value()) {
    promises_->OnBroken(CauseOf(*caller.promise, prompt, caller));
  }
}

}  // namespace harecrank
