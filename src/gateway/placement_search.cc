#include "src/gateway/placement_search.h"

#include <algorithm>
#include <utility>

#include "harecrank/core/oversize_wait.h"

namespace harecrank {
namespace {

// How often one request is given a place that this host cannot use before it
// places by itself.
constexpr int kMostUnusablePlaces = 5;
// How long a request waits before it asks for another place after memory that
// was free has been taken by another.
constexpr Millis kMemoryRetry{40};
// How long a plain request waits before it looks again whether it may begin.
constexpr Millis kStartRetry{40};

}  // namespace

PlacementSearch::PlacementSearch(const GatewayServices* services,
                                 PlacementSearchParams sought,
                                 PlacementObserver* observer,
                                 std::function<nlohmann::json()> log_fields)
    : services_(services),
      sought_(std::move(sought)),
      observer_(observer),
      log_fields_(std::move(log_fields)),
      retry_timer_(*services->io) {}

void PlacementSearch::Search(SendingHistory history) {
  history_ = history;
  if (EndByBounds()) {
    return;
  }
  // Plain services have few endpoints and short work: this host's own knowledge
  // serves them as well, without the way to the planner.
  if (sought_.request.service->engine.has_value()) {
    SendQuery();
  } else {
    NotePlacedAlone();
    PlaceAlone();
  }
}

void PlacementSearch::SetTimes() {
  const TimePoint now = services_->clock();
  sought_.request.until_late = sought_.late_at - now;
  sought_.request.until_deadline = sought_.deadline - now;
}

void PlacementSearch::SetWithheld() {
  sought_.request.withheld =
      services_->start_limiter->Withheld(*sought_.request.service);
}

void PlacementSearch::SendQuery() {
  SetTimes();
  SetWithheld();
  ask_ = services_->places->SendQuery(
      sought_.request, WasSent(),
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
    NoteWaiting();
    observer_->OnWaiting();
    return;
  }
  waits_at_planner_ = false;
  if (const auto* planned = std::get_if<PlannedPlacement>(&result)) {
    UsePlanned(*planned);
    return;
  }
  ask_.reset();
  if (std::holds_alternative<QueryRejected>(result)) {
    observer_->OnRejected(
        RejectionReason::kCannotMeetTarget,
        std::get<QueryRejected>(result).retry_after.value_or(PauseForReturn()));
  } else if (std::holds_alternative<NoEndpoint>(result)) {
    observer_->OnNoEndpoint();
  } else {
    NotePlacedAlone();
    PlaceAlone();
  }
}

void PlacementSearch::NotePlacedAlone() {
  services_->metrics->GetCounter("harecrank_gateway_placed_alone_total")->Add();
  services_->log->Write("placed_alone", log_fields_());
}

void PlacementSearch::UsePlanned(const PlannedPlacement& planned) {
  std::optional<Placement> placement = PlacementOf(planned);
  if (placement.has_value() && MayStart(*placement)) {
    Prepare(*placement);
    return;
  }
  // The listing of the planner and this host's differ, or another planner has
  // given what this host may begin there.
  EndAsk();
  ExcludeUnusable(planned);
  ++unusable_places_;
  if (unusable_places_ < kMostUnusablePlaces) {
    SendQuery();
  } else {
    PlaceAlone();
  }
}

void PlacementSearch::ExcludeUnusable(const PlannedPlacement& planned) {
  std::vector<EndpointId> named = {planned.endpoint};
  for (const PlannedHelper& helper : planned.helpers) {
    named.push_back(helper.endpoint);
  }
  for (const EndpointId& id : named) {
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
  return services_->directory->FindUsable(id, sought_.request.service->name);
}

bool PlacementSearch::MayStart(const Placement& placement) const {
  return services_->start_limiter->MayStart(placement,
                                            *sought_.request.service);
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
  if (!sought_.request.service->engine.has_value()) {
    return std::nullopt;
  }
  const auto table = services_->routing->InForce();
  return ClaimOf(sought_.request,
                 table != nullptr && table->HasSeveralAccounts());
}

void PlacementSearch::PlaceAlone() {
  const auto claim = Claim();
  const ShareRank turn = claim.has_value()
                             ? services_->queue->ShareRankOf(*claim)
                             : ShareRank::kEqual;
  // It does not take what others wait for that have had less.
  const bool yields = turn == ShareRank::kAfter && !WasSent();
  if (!yields && TryPlace()) {
    return;
  }
  if (!sought_.request.service->engine.has_value()) {
    WaitForStart();
    return;
  }
  if (services_->policy->refuses_by_precedent && turn != ShareRank::kBefore &&
      WaitsInVain()) {
    observer_->OnRejected(RejectionReason::kCannotMeetTarget, PauseForReturn());
    return;
  }
  Wait();
}

std::optional<StartAvailability> PlacementSearch::Outlook(
    const std::set<EndpointId>& tried) const {
  const ServiceProfile& service = *sought_.request.service;
  return services_->start_limiter->StartAvailabilityOf(
      services_->directory->UsableOf(service.name), tried, service);
}

TimePoint PlacementSearch::WaitsOfUseUntil(SendingHistory history) const {
  // One that has waited for an endpoint already and is late all the same is
  // still served late.
  const bool is_late = sought_.late_at <= services_->clock();
  const bool serves_late = history == SendingHistory::kMayHaveRun ||
                           (history == SendingHistory::kNotRun && is_late);
  return serves_late ? sought_.deadline : sought_.late_at;
}

bool PlacementSearch::CannotStartInTime(SendingHistory history) const {
  const auto outlook = Outlook(sought_.request.tried);
  return outlook.has_value() && outlook->next > WaitsOfUseUntil(history);
}

bool PlacementSearch::EndByBounds() {
  const auto outlook = Outlook(sought_.request.tried);
  if (!outlook.has_value() || outlook->next <= WaitsOfUseUntil(history_)) {
    return false;
  }
  if (history_ == SendingHistory::kMayHaveRun) {
    observer_->OnNoEndpoint();
  } else {
    TurnAwayByBounds(*outlook);
  }
  return true;
}

void PlacementSearch::TurnAwayByBounds(const StartAvailability& outlook) {
  observer_->OnRejected(RejectionReason::kStartQuotaExhausted,
                        services_->start_limiter->NextRetryAfter(
                            sought_.request.service->name, outlook));
}

bool PlacementSearch::RejectIfAllBackingOff() {
  const auto outlook = Outlook(sought_.request.tried);
  const bool all_rest =
      outlook.has_value() && outlook->backoff_until > services_->clock();
  const bool may_be_told = history_ != SendingHistory::kMayHaveRun;
  if (!all_rest || !may_be_told || outlook->next <= WaitsOfUseUntil(history_)) {
    return false;
  }
  TurnAwayByBounds(*outlook);
  return true;
}

std::optional<Millis> PlacementSearch::RetryAfterBackoffs() const {
  const auto outlook = Outlook({});
  if (!outlook.has_value() || outlook->backoff_until <= services_->clock()) {
    return std::nullopt;
  }
  return services_->start_limiter->NextRetryAfter(sought_.request.service->name,
                                                  *outlook);
}

void PlacementSearch::WaitForStart() {
  if (EndByBounds()) {
    return;
  }
  NoteWaiting();
  retry_timer_.expires_after(kStartRetry);
  retry_timer_.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self != nullptr && self->observer_ != nullptr) {
          self->PlaceAlone();
        }
      });
  observer_->OnWaiting();
}

bool PlacementSearch::WaitsInVain() const {
  if (WasSent()) {
    return false;
  }
  const FractionalMillis work =
      PrefillTime(*sought_.request.service->engine, sought_.request.prompt);
  const auto least = services_->queue->LeastLateWork();
  return least.has_value() && *least <= work;
}

Millis PlacementSearch::PauseForReturn() const {
  const PlacementPolicy& policy = *services_->policy;
  const double share = IsShortPrompt(sought_.request, policy)
                           ? policy.short_retry_after_share
                           : policy.retry_after_share;
  const FractionalMillis pause =
      share * FractionalMillis(sought_.request.target_latency);
  return std::chrono::duration_cast<Millis>(pause);
}

bool PlacementSearch::TryPlace() {
  SetTimes();
  SetWithheld();
  const PlacementResult result = services_->placer->Choose(sought_.request);
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
  NoteWaiting();
  waiter_ = services_->queue->Add(AsWaiter(), [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self == nullptr || self->observer_ == nullptr) {
      return true;
    }
    if (!self->RejectIfAllBackingOff() && !self->TryPlace()) {
      return false;
    }
    self->waiter_.reset();
    return true;
  });
  observer_->OnWaiting();
}

void PlacementSearch::NoteWaiting() {
  if (waits_since_ == TimePoint{}) {
    waits_since_ = services_->clock();
  }
}

std::optional<Millis> PlacementSearch::Waited() const {
  if (waits_since_ == TimePoint{}) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Millis>(services_->clock() - waits_since_);
}

WaitingRequest PlacementSearch::AsWaiter() const {
  const FractionalMillis work =
      PrefillTime(*sought_.request.service->engine, sought_.request.prompt);
  WaitingRequest waiter;
  waiter.first_event_due = sought_.late_at;
  waiter.prefill_time = work / static_cast<double>(kMaxHelpers + 1);
  waiter.work = work;
  waiter.claim = Claim().value_or(ShareClaim{});
  return waiter;
}

std::optional<TimePoint> PlacementSearch::WaitEnd(bool may_have_run) const {
  const PlacementRequest& request = sought_.request;
  const Tokens needed = request.prompt + request.answer;
  if (!IsWaiting() || may_have_run || !IsOversize(*request.service, needed)) {
    return std::nullopt;
  }
  if (waits_at_planner_ && services_->policy->foresees_room) {
    // The planner knows when waiting is of no more use. A limit of this host's
    // own sends the largest prompts away while they still have time.
    return std::nullopt;
  }
  return OversizeWaitEnd(request, *services_->policy, sought_.late_at,
                         sought_.deadline);
}

void PlacementSearch::LeaveQueue() {
  if (waits_at_planner_) {
    EndAsk();
  }
  if (waiter_.has_value()) {
    services_->queue->Remove(*waiter_);
    waiter_.reset();
  }
}

void PlacementSearch::Prepare(const Placement& placement) {
  ++placements_;
  BeginWork(placement);
  std::vector<MemoryNeed> needs;
  for (const PrefillHelper& helper : placement.helpers) {
    if (Tokens{0} < helper.held) {
      needs.push_back(
          MemoryNeed{helper.record, TicketFor(helper.record.id), helper.held});
    }
  }
  if (needs.empty()) {
    GivePlace(placement);
    return;
  }
  hold_ = std::make_shared<MemoryReservation>(
      services_->io, services_->orders, std::move(needs),
      [answers = services_->response_handler, asked_at = services_->clock()](
          const EndpointRecord& endpoint, const EndpointResponse& answer) {
        answers->OnAnswer(endpoint, answer, asked_at);
      });
  hold_->Acquire([weak = weak_from_this(), placement](bool held) {
    const auto self = weak.lock();
    if (self != nullptr && self->observer_ != nullptr) {
      self->OnMemory(placement, held);
    }
  });
  observer_->OnWaiting();
}

void PlacementSearch::GivePlace(const Placement& placement) {
  services_->start_limiter->OnStart(placement, *sought_.request.service);
  observer_->OnPlaced(placement);
}

void PlacementSearch::OnMemory(const Placement& placement, bool held) {
  nlohmann::json fields = log_fields_();
  // Memory is waited for up to 300 ms. With the wait for a connection an
  // endpoint that was heard to leave meanwhile would be sent to 0.6 s later.
  const bool usable = IsStillUsable(placement) && MayStart(placement);
  fields["held"] = held;
  fields["usable"] = usable;
  fields["prompt"] = sought_.request.prompt.value;
  services_->log->Write("memory", std::move(fields));
  if (held && usable) {
    GivePlace(placement);
    return;
  }
  End();
  NoteWaiting();
  // The memory that was there a moment ago is another's now.
  retry_timer_.expires_after(kMemoryRetry);
  retry_timer_.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self != nullptr && self->observer_ != nullptr) {
          self->Search(self->history_);
        }
      });
}

MemoryTicket PlacementSearch::TicketFor(const EndpointId& holder) const {
  // One for each placement: memory of an earlier one may still be ending.
  return MemoryTicket{sought_.request_id + "-" + std::to_string(placements_) +
                      "-" + holder.value};
}

void PlacementSearch::BeginWork(const Placement& placement) {
  failed_ = false;
  std::vector<WorkPart> parts = PartsOf(placement, sought_.request);
  for (const WorkPart& part : parts) {
    work_.push_back(services_->loads->Begin(part));
  }
  if (!sought_.request.service->engine.has_value()) {
    return;
  }
  if (!ask_.has_value()) {
    ask_ = services_->places->NewId();
  }
  services_->places->OnStarted(*ask_, std::move(parts));
}

void PlacementSearch::OnPrefillDone(double pace) {
  if (ask_.has_value()) {
    services_->places->OnPrefillDone(*ask_, pace);
  }
  for (const WorkId id : work_) {
    services_->loads->OnPrefillDone(id);
  }
}

void PlacementSearch::End() {
  services_->queue->PumpSoon();
  for (const WorkId id : work_) {
    services_->loads->End(id);
  }
  work_.clear();
  EndAsk();
  if (hold_ != nullptr) {
    hold_->Release();
    hold_.reset();
  }
}

void PlacementSearch::EndAsk() {
  if (ask_.has_value()) {
    services_->places->OnEnd(*ask_, failed_);
    ask_.reset();
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
