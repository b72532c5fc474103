#include "src/gateway/placement_search.h"

#include <algorithm>
#include <utility>

#include "harecrank/core/oversize_wait.h"

namespace harecrank {
namespace {

// Number of placements with unusable endpoints that the planner may return for
// one request before the host places the request itself.
constexpr int kMaxUnusablePlacements = 5;
// Delay before a new search if the memory for a placement could not be
// reserved, usually because another request has reserved it in the meantime.
constexpr Millis kMemoryRetryDelay{40};
// Interval at which a waiting request of a service without engines checks
// whether it may start.
constexpr Millis kStartRetryDelay{40};

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
  if (EndIfStartLimited()) {
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
  std::optional<Placement> placement = PlacementOf(planned);
  if (placement.has_value() && MayStart(*placement)) {
    Prepare(*placement);
    return;
  }
  // An endpoint of the placement is not usable according to this host's
  // directory, which may differ from the planner's, or this host's start quota
  // there is used up, for example by placements of another planner.
  EndQuery();
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
    if (Usable(id) == nullptr) {
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

const EndpointRecord* PlacementSearch::Usable(const EndpointId& id) const {
  return services_->directory->FindUsable(id, params_.request.service->name);
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

std::optional<StartAvailability> PlacementSearch::AvailabilityExcluding(
    const std::set<EndpointId>& tried) const {
  const ServiceProfile& service = *params_.request.service;
  return services_->start_limiter->StartAvailabilityOf(
      services_->directory->UsableOf(service.name), tried, service);
}

TimePoint PlacementSearch::WaitDeadline(SendingHistory history) const {
  // A request that was sent, has not run and is past its latency target has
  // already waited for an endpoint, so it is still served late.
  const bool is_late = params_.late_at <= services_->clock();
  const bool serves_late = history == SendingHistory::kMayHaveRun ||
                           (history == SendingHistory::kNotRun && is_late);
  return serves_late ? params_.deadline : params_.late_at;
}

bool PlacementSearch::CannotStartInTime(SendingHistory history) const {
  const auto availability = AvailabilityExcluding(params_.request.tried);
  return availability.has_value() && availability->next > WaitDeadline(history);
}

bool PlacementSearch::EndIfStartLimited() {
  const auto availability = AvailabilityExcluding(params_.request.tried);
  if (!availability.has_value() ||
      availability->next <= WaitDeadline(history_)) {
    return false;
  }
  if (history_ == SendingHistory::kMayHaveRun) {
    observer_->OnNoEndpoint();
  } else {
    RejectStartLimited(*availability);
  }
  return true;
}

void PlacementSearch::RejectStartLimited(
    const StartAvailability& availability) {
  observer_->OnRejected(RejectionReason::kStartQuotaExhausted,
                        services_->start_limiter->NextRetryAfter(
                            params_.request.service->name, availability));
}

bool PlacementSearch::RejectIfAllBackingOff() {
  const auto availability = AvailabilityExcluding(params_.request.tried);
  const bool all_backing_off = availability.has_value() &&
                               availability->backoff_until > services_->clock();
  const bool may_reject = history_ != SendingHistory::kMayHaveRun;
  if (!all_backing_off || !may_reject ||
      availability->next <= WaitDeadline(history_)) {
    return false;
  }
  RejectStartLimited(*availability);
  return true;
}

std::optional<Millis> PlacementSearch::RetryAfterBackoffs() const {
  const auto availability = AvailabilityExcluding({});
  if (!availability.has_value() ||
      availability->backoff_until <= services_->clock()) {
    return std::nullopt;
  }
  return services_->start_limiter->NextRetryAfter(params_.request.service->name,
                                                  *availability);
}

void PlacementSearch::WaitForStart() {
  if (EndIfStartLimited()) {
    return;
  }
  StartWaitClock();
  retry_timer_.expires_after(kStartRetryDelay);
  retry_timer_.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self != nullptr && self->observer_ != nullptr) {
          self->PlaceWithLocalState();
        }
      });
  observer_->OnWaiting();
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
  if (waits_at_planner_ && services_->policy->foresees_room) {
    // The planner decides how long it is useful to wait. A limit on this host
    // would end the wait of the largest prompts while they still have time.
    return std::nullopt;
  }
  return OversizeWaitEnd(request, *services_->policy, params_.late_at,
                         params_.deadline);
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

void PlacementSearch::Prepare(const Placement& placement) {
  ++placements_;
  StartWork(placement);
  std::vector<MemoryNeed> needs;
  for (const PrefillHelper& helper : placement.helpers) {
    if (Tokens{0} < helper.held) {
      needs.push_back(
          MemoryNeed{helper.record, TicketFor(helper.record.id), helper.held});
    }
  }
  if (needs.empty()) {
    Commit(placement);
    return;
  }
  reservation_ = std::make_shared<MemoryReservation>(
      services_->io, services_->orders, std::move(needs),
      [handler = services_->response_handler, sent_at = services_->clock()](
          const EndpointRecord& endpoint, const EndpointResponse& response) {
        handler->OnAnswer(endpoint, response, sent_at);
      });
  reservation_->Acquire([weak = weak_from_this(), placement](bool reserved) {
    const auto self = weak.lock();
    if (self != nullptr && self->observer_ != nullptr) {
      self->OnMemoryReserved(placement, reserved);
    }
  });
  observer_->OnWaiting();
}

void PlacementSearch::Commit(const Placement& placement) {
  services_->start_limiter->OnStart(placement, *params_.request.service);
  observer_->OnPlaced(placement);
}

void PlacementSearch::OnMemoryReserved(const Placement& placement,
                                       bool reserved) {
  nlohmann::json fields = log_fields_();
  // The reservation takes up to 300 ms. If an endpoint announces during that
  // time that it is shutting down, the request must not be sent there: together
  // with the time-out of the connection that would cost 0.6 s.
  const bool usable = IsStillUsable(placement) && MayStart(placement);
  fields["held"] = reserved;
  fields["usable"] = usable;
  fields["prompt"] = params_.request.prompt.value;
  services_->log->Write("memory", std::move(fields));
  if (reserved && usable) {
    Commit(placement);
    return;
  }
  End();
  StartWaitClock();
  // The memory was probably reserved by another request in the meantime, or an
  // endpoint has become unusable, so the search is repeated after a delay.
  retry_timer_.expires_after(kMemoryRetryDelay);
  retry_timer_.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self != nullptr && self->observer_ != nullptr) {
          self->Search(self->history_);
        }
      });
}

MemoryTicket PlacementSearch::TicketFor(const EndpointId& holder) const {
  // The ticket is different for each placement, since the memory of an earlier
  // one may not have been released yet.
  return MemoryTicket{params_.request_id + "-" + std::to_string(placements_) +
                      "-" + holder.value};
}

void PlacementSearch::StartWork(const Placement& placement) {
  failed_ = false;
  std::vector<WorkPart> parts = PartsOf(placement, params_.request);
  for (const WorkPart& part : parts) {
    work_.push_back(services_->loads->Begin(part));
  }
  if (!params_.request.service->engine.has_value()) {
    return;
  }
  if (!query_id_.has_value()) {
    query_id_ = services_->places->NewId();
  }
  services_->places->OnStarted(*query_id_, std::move(parts));
}

void PlacementSearch::OnPrefillDone(double slowdown) {
  if (query_id_.has_value()) {
    services_->places->OnPrefillDone(*query_id_, slowdown);
  }
  for (const WorkId id : work_) {
    services_->loads->OnPrefillDone(id);
  }
}

void PlacementSearch::OnGroupTrouble(double slowdown) {
  if (query_id_.has_value()) {
    services_->places->OnGroupTrouble(*query_id_, slowdown);
  }
}

void PlacementSearch::End() {
  services_->queue->PumpSoon();
  for (const WorkId id : work_) {
    services_->loads->End(id);
  }
  work_.clear();
  EndQuery();
  if (reservation_ != nullptr) {
    reservation_->Release();
    reservation_.reset();
  }
}

void PlacementSearch::EndQuery() {
  if (query_id_.has_value()) {
    services_->places->OnEnd(*query_id_, failed_);
    query_id_.reset();
  }
  waits_at_planner_ = false;
}

void PlacementSearch::Close() {
  LeaveQueue();
  End();
  retry_timer_.cancel();
  observer_ = nullptr;
}

}  // namespace harecrank
