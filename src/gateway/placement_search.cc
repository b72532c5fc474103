#include "src/gateway/placement_search.h"

#include <algorithm>
#include <utility>

#include "harecrank/core/endpoint_eligibility.h"
#include "harecrank/core/oversize_wait.h"

namespace harecrank {
namespace {

// Number of placements with unusable endpoints that the planner may return for
// one request before the host places the request itself.
constexpr int kMaxUnusablePlacements = 5;

}  // namespace

PlacementSearch::PlacementSearch(const GatewayServices* services,
                                 PlacementSearchParams params,
                                 PlacementObserver* observer,
                                 std::function<nlohmann::json()> log_fields)
    : services_(services),
      params_(std::move(params)),
      observer_(observer),
      log_fields_(std::move(log_fields)),
      retry_timer_(*services->io) {}

void PlacementSearch::Search(SendingHistory history) {
  history_ = history;
  SetPermitted();
  if (EndIfForbidden() || EndIfStartLimited()) {
    return;
  }
  // Services without engines have few endpoints and short requests, so local
  // state is good enough and saves the round trip to the planner.
  if (params_.request.service->engine.has_value()) {
    SendQuery();
  } else {
    LogPlacedLocally();
    PlaceWithLocalState();
  }
}

void PlacementSearch::SetTimes() {
  const TimePoint now = services_->clock();
  params_.request.until_late = params_.late_at - now;
  params_.request.until_deadline = params_.deadline - now;
}

void PlacementSearch::SetPermitted() {
  params_.request.permitted = params_.regions.Permitted();
}

bool PlacementSearch::EndIfForbidden() {
  if (!AreAllForbidden(*services_->directory, params_.request.service->name,
                       params_.request.permitted)) {
    return false;
  }
  observer_->OnForbidden();
  return true;
}

bool PlacementSearch::SearchAnewIfRegionsChanged() {
  const bool changed =
      IsWaiting() && params_.regions.Permitted() != params_.request.permitted;
  if (changed) {
    LeaveQueue();
    Search(history_);
  }
  return changed;
}

void PlacementSearch::SetWithheld() {
  params_.request.withheld =
      services_->start_limiter->Withheld(*params_.request.service);
}

void PlacementSearch::SendQuery() {
  SetTimes();
  SetWithheld();
  query_id_ = services_->places->SendQuery(
      params_.request, WasSent(),
      [weak = weak_from_this()](const QueryResult& result) {
        const auto self = weak.lock();
        if (self != nullptr && self->observer_ != nullptr) {
          self->OnResult(result);
        }
      });
  observer_->OnWaiting();
}

void PlacementSearch::OnResult(const QueryResult& result) {
  if (std::holds_alternative<QueryQueued>(result)) {
    waits_at_planner_ = true;
    StartWaitClock();
    observer_->OnWaiting();
    return;
  }
  waits_at_planner_ = false;
  if (const auto* planned = std::get_if<PlannedPlacement>(&result)) {
    UsePlanned(*planned);
    return;
  }
  query_id_.reset();
  if (std::holds_alternative<QueryRejected>(result)) {
    observer_->OnRejected(RejectionReason::kCannotMeetTarget,
                          std::get<QueryRejected>(result).retry_after.value_or(
                              RetryAfterRejection()));
  } else if (std::holds_alternative<NoEndpoint>(result)) {
    observer_->OnNoEndpoint();
  } else {
    LogPlacedLocally();
    PlaceWithLocalState();
  }
}

void PlacementSearch::LogPlacedLocally() {
  services_->metrics->GetCounter("harecrank_gateway_placed_alone_total")->Add();
  services_->log->Write("placed_alone", log_fields_());
}

void PlacementSearch::UsePlanned(const PlannedPlacement& planned) {
  SetPermitted();
  std::optional<Placement> placement = PlacementOf(planned);
  if (placement.has_value() && MayStart(*placement)) {
    Prepare(*placement);
    return;
  }
  // An endpoint of the placement is not usable according to this host's
  // directory, which may differ from the planner's, or not permitted by this
  // host's configuration, which may have changed since the query. Or this
  // host's start quota there is used up, for example by placements of another
  // planner.
  EndQuery();
  if (EndIfForbidden()) {
    return;
  }
  ExcludeUnusable(planned);
  ++unusable_placements_;
  if (unusable_placements_ < kMaxUnusablePlacements) {
    SendQuery();
  } else {
    PlaceWithLocalState();
  }
}

void PlacementSearch::ExcludeUnusable(const PlannedPlacement& planned) {
  std::vector<EndpointId> endpoints = {planned.endpoint};
  for (const PlannedHelper& helper : planned.helpers) {
    endpoints.push_back(helper.endpoint);
  }
  for (const EndpointId& id : endpoints) {
    // The next query names the permitted data centres, so an endpoint in
    // another one need not be excluded.
    if (FindUsable(id) == nullptr) {
      MarkTried(id);
    }
  }
}

std::optional<Placement> PlacementSearch::PlacementOf(
    const PlannedPlacement& planned) const {
  const EndpointRecord* endpoint = Usable(planned.endpoint);
  if (endpoint == nullptr) {
    return std::nullopt;
  }
  Placement placement;
  placement.endpoint = *endpoint;
  placement.work_class = planned.work_class;
  placement.prefill_time = planned.prefill_time;
  placement.first_event = planned.first_event;
  placement.candidates = planned.candidates;
  for (const PlannedHelper& helper : planned.helpers) {
    const EndpointRecord* record = Usable(helper.endpoint);
    if (record == nullptr) {
      return std::nullopt;
    }
    placement.helpers.push_back(PrefillHelper{*record, helper.held});
  }
  return placement;
}

const EndpointRecord* PlacementSearch::FindUsable(const EndpointId& id) const {
  return services_->directory->FindUsable(id, params_.request.service->name);
}

const EndpointRecord* PlacementSearch::Usable(const EndpointId& id) const {
  const EndpointRecord* record = FindUsable(id);
  const bool permitted =
      record != nullptr &&
      IsPermitted(params_.request.permitted, record->data_centre);
  return permitted ? record : nullptr;
}

bool PlacementSearch::MayStart(const Placement& placement) const {
  return services_->start_limiter->MayStart(placement,
                                            *params_.request.service);
}

bool PlacementSearch::IsStillUsable(const Placement& placement) const {
  const auto usable = [this](const PrefillHelper& helper) {
    return Usable(helper.record.id) != nullptr;
  };
  return Usable(placement.endpoint.id) != nullptr &&
         std::all_of(placement.helpers.begin(), placement.helpers.end(),
                     usable);
}

std::optional<ShareClaim> PlacementSearch::Claim() const {
  if (!params_.request.service->engine.has_value()) {
    return std::nullopt;
  }
  const auto table = services_->routing->InForce();
  return ClaimOf(params_.request,
                 table != nullptr && table->HasSeveralAccounts());
}

void PlacementSearch::PlaceWithLocalState() {
  const auto claim = Claim();
  const ShareRank rank = claim.has_value()
                             ? services_->queue->ShareRankOf(*claim)
                             : ShareRank::kEqual;
  // A request of an account that is over its fair share does not take an engine
  // while requests of accounts that have received less are waiting.
  const bool must_yield = rank == ShareRank::kAfter && !WasSent();
  if (!must_yield && TryPlace()) {
    return;
  }
  if (!params_.request.service->engine.has_value()) {
    WaitForStart();
    return;
  }
  if (services_->policy->refuses_by_precedent && rank != ShareRank::kBefore &&
      CannotMeetTarget()) {
    observer_->OnRejected(RejectionReason::kCannotMeetTarget,
                          RetryAfterRejection());
    return;
  }
  Wait();
}

bool PlacementSearch::CannotMeetTarget() const {
  if (WasSent()) {
    return false;
  }
  const FractionalMillis work =
      PrefillTime(*params_.request.service->engine, params_.request.prompt);
  const auto least_late_work = services_->queue->LeastLateWork();
  return least_late_work.has_value() && *least_late_work <= work;
}

Millis PlacementSearch::RetryAfterRejection() const {
  const PlacementPolicy& policy = *services_->policy;
  const double share = IsShortPrompt(params_.request, policy)
                           ? policy.short_retry_after_share
                           : policy.retry_after_share;
  const FractionalMillis retry_after =
      share * FractionalMillis(params_.request.target_latency);
  return std::chrono::duration_cast<Millis>(retry_after);
}

bool PlacementSearch::TryPlace() {
  SetTimes();
  SetPermitted();
  if (EndIfForbidden()) {
    return true;
  }
  SetWithheld();
  const PlacementResult result = services_->placer->Choose(params_.request);
  if (std::holds_alternative<EnginesBusy>(result)) {
    return false;
  }
  if (const auto* placement = std::get_if<Placement>(&result)) {
    if (const auto claim = Claim()) {
      services_->queue->OnGranted(*claim);
    }
    Prepare(*placement);
  } else {
    observer_->OnNoEndpoint();
  }
  return true;
}

void PlacementSearch::Wait() {
  StartWaitClock();
  queue_id_ =
      services_->queue->Add(MakeWaitingRequest(), [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self == nullptr || self->observer_ == nullptr) {
          return true;
        }
        if (!self->RejectIfAllBackingOff() && !self->TryPlace()) {
          return false;
        }
        self->queue_id_.reset();
        return true;
      });
  observer_->OnWaiting();
}

void PlacementSearch::StartWaitClock() {
  if (waiting_since_ == TimePoint{}) {
    waiting_since_ = services_->clock();
  }
}

std::optional<Millis> PlacementSearch::Waited() const {
  if (waiting_since_ == TimePoint{}) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Millis>(services_->clock() -
                                            waiting_since_);
}

WaitingRequest PlacementSearch::MakeWaitingRequest() const {
  const FractionalMillis work =
      PrefillTime(*params_.request.service->engine, params_.request.prompt);
  WaitingRequest request;
  request.first_event_due = params_.late_at;
  request.prefill_time = work / static_cast<double>(kMaxHelpers + 1);
  request.work = work;
  request.claim = Claim().value_or(ShareClaim{});
  return request;
}

std::optional<TimePoint> PlacementSearch::WaitEnd(bool may_have_run) const {
  const PlacementRequest& request = params_.request;
  const Tokens needed = request.prompt + request.answer;
  if (!IsWaiting() || may_have_run || !IsOversize(*request.service, needed)) {
    return std::nullopt;
  }
  const PlacementPolicy& policy = *services_->policy;
  const bool planner_ends_wait =
      policy.foresees_room ||
      std::holds_alternative<ReserveEnginesAhead>(policy.long_placing);
  if (waits_at_planner_ && planner_ends_wait) {
    // The planner decides how long it is useful to wait. A limit on this host
    // would end the wait of the largest prompts while they still have time.
    return std::nullopt;
  }
  return OversizeWaitEnd(request, policy, params_.late_at, params_.deadline);
}

void PlacementSearch::LeaveQueue() {
  if (waits_at_planner_) {
    EndQuery();
  }
  if (queue_id_.has_value()) {
    services_->queue->Remove(*queue_id_);
    queue_id_.reset();
  }
}

}  // namespace harecrank
