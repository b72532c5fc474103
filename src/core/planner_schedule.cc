// The functions of Planner that plan long prompts ahead. The other functions
// are in planner.cc and planner_wait_queue.cc.

#include <algorithm>
#include <map>
#include <utility>

#include "harecrank/core/endpoint_eligibility.h"
#include "harecrank/core/planner.h"

namespace harecrank {
namespace {

TimePoint After(TimePoint time, FractionalMillis delay) {
  return time + std::chrono::duration_cast<TimePoint::duration>(delay);
}

// Returns a filter that accepts the endpoints to which the request may be sent
// now, or an empty one if these are all.
EndpointFilter FilterFor(const PlacementRequest& request) {
  const bool is_bounded = !request.tried.empty() || !request.withheld.empty() ||
                          request.permitted.has_value();
  if (!is_bounded) {
    return {};
  }
  return [request](const EndpointRecord& endpoint) {
    return MayUse(request, endpoint);
  };
}

}  // namespace

PlacementDecision Planner::PlanOnArrival(Entry* entry,
                                         const PlacementRequest& request) {
  std::optional<PlacementDecision> decision;
  if (!request.service->engine.has_value()) {
    decision = TryPlace(entry);
  } else if (long_queue_.IsEmpty()) {
    EngineTimetable timetable = TimetableFor(request);
    const WaitingPrompt prompt = WaitingPromptOf(*entry, request);
    if (!timetable.HasEngineFor(prompt.may_use)) {
      decision = TryPlace(entry);
    } else {
      std::vector<WaitingPrompt> prompts = {prompt};
      AddPromises(request.service->name, &prompts);
      const auto plans = PlanPrompts(prompts, &timetable);
      const auto plan = std::find_if(
          plans.begin(), plans.end(),
          [&prompt](const PromptPlan& one) { return one.id == prompt.id; });
      decision = DecideOnPlan(entry, *plan, &timetable);
    }
  }
  if (decision.has_value()) {
    return *std::move(decision);
  }
  Enqueue(entry, request);
  return QueryQueued{};
}

void Planner::PlanLongQueue(std::vector<DeferredReply>* replies) {
  admission_control_.OnWaiting(PromptKind::kLong, !long_queue_.IsEmpty());
  plan_ = Plan{};
  plan_.made_at = clock_();
  std::map<ServiceName, std::vector<WaitingRequestId>> by_service;
  std::size_t planned = 0;
  for (const WaitingRequestId id : long_queue_.InOrder(long_queue_.Count())) {
    const QueryKey key = long_query_keys_.at(id);
    const Entry& entry = hosts_.at(key.host).queries.at(key.id);
    if (planned < kMaxPlannedPrompts) {
      by_service[entry.query.service].push_back(id);
      ++planned;
    } else if (IsOfNoUse(entry)) {
      ++planning_counts_.no_room;
      EndWait(key, QueryRejected{}, replies);
    }
  }
  for (const auto& [service, ids] : by_service) {
    PlanService(service, ids, replies);
  }
}

void Planner::PlanService(const ServiceName& service,
                          const std::vector<WaitingRequestId>& ids,
                          std::vector<DeferredReply>* replies) {
  std::optional<EngineTimetable> timetable;
  std::vector<WaitingPrompt> prompts;
  for (const WaitingRequestId id : ids) {
    const QueryKey key = long_query_keys_.at(id);
    Entry& entry = hosts_.at(key.host).queries.at(key.id);
    const auto request = RequestOf(entry);
    std::optional<WaitingPrompt> prompt;
    if (request.has_value() && request->service->engine.has_value()) {
      if (!timetable.has_value()) {
        timetable.emplace(TimetableFor(*request));
      }
      prompt = WaitingPromptOf(entry, *request);
    }
    if (prompt.has_value() && timetable->HasEngineFor(prompt->may_use)) {
      prompts.push_back(*std::move(prompt));
    } else if (auto decision = TryPlace(&entry)) {
      EndWait(key, *std::move(decision), replies);
    }
  }
  if (prompts.empty()) {
    return;
  }
  AddPromises(service, &prompts);
  for (const PromptPlan& plan : PlanPrompts(prompts, &*timetable)) {
    if (ReturnPromises::IsPromise(plan.id)) {
      continue;
    }
    const QueryKey key = long_query_keys_.at(plan.id);
    Entry& entry = hosts_.at(key.host).queries.at(key.id);
    if (auto decision = DecideOnPlan(&entry, plan, &*timetable)) {
      EndWait(key, *std::move(decision), replies);
    } else if (plan.planned.has_value()) {
      plan_.starts.push_back(std::chrono::duration_cast<Millis>(
          plan.planned->start - plan_.made_at));
    }
  }
  plan_.later_parts.merge(timetable->LaterStarts());
}

EngineTimetable Planner::TimetableFor(const PlacementRequest& request) const {
  const TimePoint now = clock_();
  return EngineTimetable(&*request.service->engine, &policy_, now,
                         placer_.EnginesOf(request, now));
}

WaitingPrompt Planner::WaitingPromptOf(const Entry& entry,
                                       const PlacementRequest& request) const {
  WaitingPrompt prompt;
  prompt.id = entry.queue_id.value_or(WaitingRequestId{});
  prompt.prompt = LongPromptOf(request);
  prompt.first_event_due = entry.first_event_due;
  prompt.last_useful_event = LastUsefulEvent(entry, request);
  prompt.may_use = FilterFor(request);
  prompt.has_promise = entry.has_reservation;
  if (entry.promise.has_value()) {
    prompt.not_before = entry.promise->return_at;
  }
  prompt.is_over_share =
      policy_.shares_by_account &&
      long_queue_.AccountsOverShare().count(ShareClaimOf(request).account) > 0;
  prompt.may_have_run = entry.query.may_have_run;
  return prompt;
}

TimePoint Planner::LastEventBeforeDeadline(
    const Entry& entry, const PlacementRequest& request) const {
  if (entry.query.until_deadline <= FractionalMillis(0)) {
    return TimePoint::max();
  }
  return After(entry.deadline, -Placer::DecodeTimeOn(request, EndpointLoad{}));
}

TimePoint Planner::LastUsefulEvent(const Entry& entry,
                                   const PlacementRequest& request) const {
  return std::min(After(entry.arrived_at, FirstEventTimeout(request, policy_)),
                  LastEventBeforeDeadline(entry, request));
}

std::optional<PlacementDecision> Planner::DecideOnPlan(
    Entry* entry, const PromptPlan& plan, EngineTimetable* timetable) {
  if (plan.prospect == Prospect::kNoRoom) {
    const auto rejected = RejectionWithoutRoom(*entry, plan, timetable);
    planning_counts_.no_room += rejected.has_value() ? 1 : 0;
    return rejected.has_value()
               ? std::make_optional<PlacementDecision>(*rejected)
               : std::nullopt;
  }
  if (plan.planned->start <= timetable->Now()) {
    return StartPlanned(entry, *plan.planned, timetable->EngineCount());
  }
  planning_counts_.planned_ahead += entry->planned_ahead ? 0 : 1;
  entry->planned_ahead = true;
  return std::nullopt;
}

std::optional<QueryRejected> Planner::RejectionWithoutRoom(
    const Entry& entry, const PromptPlan& plan, EngineTimetable* timetable) {
  const auto request = RequestOf(entry);
  if (!request.has_value()) {
    return std::nullopt;
  }
  return room_admission_.RejectionOf(WaitingPromptOf(entry, *request), plan,
                                     ReturningCallerOf(entry, *request),
                                     timetable);
}

bool Planner::IsOfNoUse(const Entry& entry) const {
  const auto request = RequestOf(entry);
  return !entry.query.may_have_run && request.has_value() &&
         request->service->engine.has_value() &&
         clock_() >= LastUsefulEvent(entry, *request);
}

std::optional<PlacementDecision> Planner::StartPlanned(
    Entry* entry, const PlannedGroup& planned, std::size_t candidates) {
  const auto request = RequestOf(*entry);
  if (!request.has_value()) {
    return NoEndpoint{};
  }
  // A start that was granted to the host earlier in this pass may have used up
  // its quota.
  const bool withheld =
      request->withheld.count(planned.group.decode_engine.record->id) > 0;
  auto placement =
      withheld ? std::nullopt : placer_.PlaceOn(*request, planned.group);
  if (!placement.has_value()) {
    return std::nullopt;
  }
  placement->candidates = candidates;
  planning_counts_.backfilled += plan_.starts.empty() ? 0 : 1;
  return RecordPlacement(entry, *request, *placement);
}

LaterParts Planner::LaterPartsDuring(const PlacementRequest& request) const {
  const TimePoint now = clock_();
  if (plan_.later_parts.empty() || now - plan_.made_at > kPlanLifetime) {
    return {};
  }
  const FractionalMillis runs_for =
      FractionalMillis(request.target_latency) +
      Placer::DecodeTimeOn(request, EndpointLoad{});
  return LaterParts{&plan_.later_parts, After(now, runs_for)};
}

}  // namespace harecrank
