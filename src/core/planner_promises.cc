// The functions of Planner that keep promises to returning callers. The other
// functions are in planner.cc, planner_wait_queue.cc and planner_schedule.cc.

#include <algorithm>
#include <iterator>
#include <utility>

#include "harecrank/core/planner.h"

namespace harecrank {

std::optional<QueryRejected> Planner::ApplyPromise(
    Entry* entry, const PlacementRequest& request) {
  const ReturnPromise* promise = promises_.Find(entry->query.origin.request);
  if (promise == nullptr) {
    return std::nullopt;
  }
  entry->first_event_due =
      std::min(entry->first_event_due, promise->first_event_due);
  if (!promise->HasRoom()) {
    return std::nullopt;
  }
  // Who returns early waits here for the time that it was told, but not longer
  // than a caller waits for a first event.
  if (promise->return_at >= LastUsefulEvent(*entry, request) &&
      !entry->query.may_have_run) {
    return QueryRejected{promises_.Make(*promise)};
  }
  entry->has_reservation = true;
  entry->promise = *promise;
  promises_.Cancel(entry->query.origin.request);
  return std::nullopt;
}

void Planner::AddPromises(const ServiceName& service,
                          std::vector<WaitingPrompt>* prompts) {
  std::vector<WaitingPrompt> open =
      promises_.Open(service, kMaxPlannedPromises);
  std::move(open.begin(), open.end(), std::back_inserter(*prompts));
}

ReturningCaller Planner::ReturningCallerOf(
    const Entry& entry, const PlacementRequest& request) const {
  ReturningCaller caller;
  caller.request = entry.query.origin.request;
  caller.service = entry.query.service;
  caller.last_event_before_deadline = LastEventBeforeDeadline(entry, request);
  caller.first_event_timeout = FirstEventTimeout(request, policy_);
  caller.engines = directory_->UsableOf(request.service->name).size();
  caller.promise = entry.promise;
  return caller;
}

std::vector<WaitingPrompt> Planner::QueuedPromptsOf(
    const ServiceName& service) const {
  std::vector<WaitingPrompt> prompts;
  for (const WaitingRequestId id : long_queue_.InOrder(kMaxPlannedPrompts)) {
    const QueryKey& key = long_query_keys_.at(id);
    const Entry& entry = hosts_.at(key.host).queries.at(key.id);
    const auto request = RequestOf(entry);
    if (entry.query.service == service && request.has_value()) {
      prompts.push_back(WaitingPromptOf(entry, *request));
    }
  }
  return prompts;
}

QueryRejected Planner::OnReturnQuery(const PlacementQuery& query) {
  const Entry entry = NewEntry(query);
  const auto request = RequestOf(entry);
  const bool is_planned_ahead = PlansArrivals() && request.has_value() &&
                                request->service->engine.has_value() &&
                                !IsShort(*request);
  if (!is_planned_ahead || IsLearning()) {
    return QueryRejected{};
  }
  EngineTimetable timetable = TimetableFor(*request);
  std::vector<WaitingPrompt> prompts = QueuedPromptsOf(query.service);
  AddPromises(query.service, &prompts);
  PlanPrompts(prompts, &timetable);
  return room_admission_.RejectUntilRoom(WaitingPromptOf(entry, *request),
                                         ReturningCallerOf(entry, *request),
                                         &timetable);
}

}  // namespace harecrank
