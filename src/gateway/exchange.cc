#include "src/gateway/exchange.h"

#include <algorithm>
#include <utility>

#include "harecrank/core/http_status.h"
#include "src/gateway/admission.h"
#include "src/gateway/endpoint_request.h"

namespace harecrank {
namespace {

namespace http = boost::beast::http;

// A connection inside a region comes up within milliseconds. One packet lost
// on the way costs a second; another endpoint is sooner.
constexpr Millis kConnectTimeout{250};
// How often one request is put to endpoints that cannot be reached.
constexpr int kMostConnectFailures = 5;
// An answer that is not a stream is kept whole before it goes on.
constexpr std::size_t kMostAnswerBytes = 16U << 20U;
// How long a first event may take beyond several times its prediction before
// the request goes elsewhere.
constexpr Millis kPatienceBase{500};
constexpr double kPatienceFactor = 3;
// An engine whose helper has died stands still for a second and a half before
// it says so; to give it up earlier would leave that unsaid.
constexpr Millis kHelperStall{1700};
// A plain answer is overdue at this multiple of its target.
constexpr int kPlainPatienceFactor = 2;
// A stream has stalled after this multiple of its target gap, and not before
// kLeastStall. Callers give a stream up after eight of its gaps, and after two
// seconds at the least; what is left of that must do for the resumption.
constexpr int kStallFactor = 3;
constexpr Millis kLeastStall{1300};
// Callers give a stream up when nothing came for the longest of these: a fixed
// time, so many targets, so many gaps. A slow endpoint gets this much of it.
constexpr Millis kCallerLeastPatience{2000};
constexpr int kCallerPatienceTargets = 4;
constexpr int kCallerPatienceGaps = 8;
constexpr int kPatienceUsed = 75;
constexpr int kPercent = 100;
// With less left than this a further attempt cannot bring anything.
constexpr Millis kLeastTimeForAttempt{60};
// RFC 9110: the endpoint is not the one that was expected, and ran nothing.
constexpr unsigned kMisdirected = 421;
constexpr int kLeastUrgent = 9;
// How often a request that waits looks whether this host is about to stop.
constexpr Millis kStopLook{250};
// How often one request is given a place that this host cannot use before it
// places by itself.
constexpr int kMostUnusablePlaces = 5;
// For how long after its first event an endpoint counts as beginning a request:
// engines ended 48 to 106 ms after the one that they crashed on began to run,
// in four runs. Ten times that, for engines that are slow.
constexpr Millis kBeginning{1000};
// The reason of the final answer to a request that ends endpoints.
constexpr char kHeldReason[] = "ends_endpoints";
// How long a request waits before it asks for another place after memory that
// was free has been taken by another.
constexpr Millis kMemoryRetry{40};

}  // namespace

Exchange::Exchange(const GatewayServices* services, CallerRequest request,
                   TimePoint arrived, std::shared_ptr<AnswerPort> answer)
    : services_(services),
      request_(std::move(request)),
      arrived_(arrived),
      answer_(std::move(answer)),
      timer_(*services->io),
      memory_timer_(*services->io) {}

void Exchange::Start() {
  id_ = std::string(request_[services_->names->request_id]);
  body_ = std::make_shared<const std::string>(std::move(request_.body()));
  AdmittedRequest admitted = Admit(*services_, request_, arrived_);
  table_ = std::move(admitted.table);
  route_ = admitted.route;
  account_ = admitted.account;
  service_ = admitted.service;
  strip_key_ = admitted.strip_key;
  deadline_ = admitted.deadline;
  placement_request_ = std::move(admitted.placement);
  if (const std::optional<Refusal>& refusal = admitted.refusal) {
    Refuse(refusal->status, refusal->code, refusal->retry_after);
    return;
  }
  watching_ = services_->crashes->Watch(this);
  services_->budgets->OnFirst(service_->name);
  TryNext();
}

void Exchange::TryNext() {
  if (services_->crashes->IsHeld(this)) {
    RefuseHeld();
    return;
  }
  // Plain services have few endpoints and short work: this host's own knowledge
  // serves them as well, without the way to the planner.
  if (service_->engine.has_value()) {
    AskForPlace();
  } else {
    NotePlacedAlone();
    PlaceAlone();
  }
}

void Exchange::AskForPlace() {
  placement_request_.until_late =
      arrived_ + route_->target_latency - services_->clock();
  const bool started = may_have_run_ || sendings_ > 0;
  ask_ = services_->places->Ask(
      placement_request_, started,
      [weak = weak_from_this()](const AskResult& result) {
        const auto self = weak.lock();
        if (self != nullptr && !self->finished_) {
          self->OnPlaceResult(result);
        }
      });
  ArmTimer();
}

void Exchange::OnPlaceResult(const AskResult& result) {
  if (std::holds_alternative<AskWaits>(result)) {
    waits_at_planner_ = true;
    NoteWaiting();
    ArmTimer();
    return;
  }
  waits_at_planner_ = false;
  if (const auto* planned = std::get_if<PlannedPlacement>(&result)) {
    UsePlanned(*planned);
    return;
  }
  ask_.reset();
  if (std::holds_alternative<AskRefused>(result)) {
    RefuseWaiting();
  } else if (std::holds_alternative<NoEndpoint>(result)) {
    GiveUp("no_endpoint");
  } else {
    NotePlacedAlone();
    PlaceAlone();
  }
}

void Exchange::NotePlacedAlone() {
  services_->metrics->GetCounter("harecrank_gateway_placed_alone_total")->Add();
  services_->log->Write("placed_alone", LogFields());
}

void Exchange::UsePlanned(const PlannedPlacement& planned) {
  std::optional<Placement> placement = PlacementOf(planned);
  if (placement.has_value()) {
    Prepare(*placement);
    return;
  }
  // The listing of the planner and this host's differ.
  EndAsk();
  placement_request_.tried.insert(planned.endpoint);
  ++unusable_places_;
  if (unusable_places_ < kMostUnusablePlaces) {
    AskForPlace();
  } else {
    PlaceAlone();
  }
}

std::optional<Placement> Exchange::PlacementOf(
    const PlannedPlacement& planned) const {
  const EndpointRecord* endpoint = Usable(planned.endpoint);
  if (endpoint == nullptr) {
    return std::nullopt;
  }
  Placement placement;
  placement.endpoint = *endpoint;
  placement.work_class = planned.work_class;
  placement.read = planned.read;
  placement.first_event = planned.first_event;
  placement.candidates = planned.candidates;
  for (const PlannedHelper& helper : planned.helpers) {
    const EndpointRecord* record = Usable(helper.endpoint);
    if (record == nullptr) {
      return std::nullopt;
    }
    placement.helpers.push_back(Helper{*record, helper.held});
  }
  return placement;
}

const EndpointRecord* Exchange::Usable(const EndpointId& id) const {
  const EndpointRecord* record = services_->directory->Find(id);
  const bool usable = record != nullptr && !record->draining &&
                      record->service == service_->name;
  return usable ? record : nullptr;
}

bool Exchange::IsStillUsable(const Placement& placement) const {
  const auto usable = [this](const Helper& helper) {
    return Usable(helper.record.id) != nullptr;
  };
  return Usable(placement.endpoint.id) != nullptr &&
         std::all_of(placement.helpers.begin(), placement.helpers.end(),
                     usable);
}

void Exchange::PlaceAlone() {
  if (TryPlace()) {
    return;
  }
  if (services_->policy->refuses_by_precedent && WaitsInVain()) {
    RefuseWaiting();
    return;
  }
  Wait();
}

bool Exchange::WaitsInVain() const {
  if (may_have_run_ || sendings_ > 0) {
    return false;
  }
  const FractionalMillis work =
      ReadTime(*service_->engine, placement_request_.prompt);
  const auto least = services_->queue->LeastLateWork();
  return least.has_value() && *least <= work;
}

void Exchange::RefuseWaiting() {
  const PlacementPolicy& policy = *services_->policy;
  const double share = IsShortPrompt(placement_request_, policy)
                           ? policy.short_retry_after_share
                           : policy.retry_after_share;
  const FractionalMillis pause =
      share * FractionalMillis(route_->target_latency);
  Refuse(http_status::kUnavailable, "waits_in_vain",
         std::chrono::duration_cast<Millis>(pause));
}

bool Exchange::TryPlace() {
  const TimePoint now = services_->clock();
  placement_request_.until_late = arrived_ + route_->target_latency - now;
  const PlacementResult result = services_->placer->Choose(placement_request_);
  if (std::holds_alternative<EnginesBusy>(result)) {
    return false;
  }
  if (const auto* placement = std::get_if<Placement>(&result)) {
    Prepare(*placement);
  } else {
    GiveUp("no_endpoint");
  }
  return true;
}

void Exchange::Wait() {
  NoteWaiting();
  waiter_ = services_->queue->Add(AsWaiter(), [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self == nullptr || self->finished_) {
      return true;
    }
    if (!self->TryPlace()) {
      return false;
    }
    self->waiter_.reset();
    return true;
  });
  ArmTimer();
}

void Exchange::NoteWaiting() {
  if (waits_since_ == TimePoint{}) {
    waits_since_ = services_->clock();
  }
}

Waiter Exchange::AsWaiter() const {
  const FractionalMillis work =
      ReadTime(*service_->engine, placement_request_.prompt);
  return Waiter{arrived_ + route_->target_latency,
                work / static_cast<double>(kMostHelpers + 1), work};
}

void Exchange::LeaveQueue() {
  if (waits_at_planner_) {
    EndAsk();
  }
  if (waiter_.has_value()) {
    services_->queue->Remove(*waiter_);
    waiter_.reset();
  }
}

void Exchange::Prepare(const Placement& placement) {
  ++placements_;
  endpoint_ = placement.endpoint;
  BeginWork(placement);
  std::vector<MemoryNeed> needs;
  for (const Helper& helper : placement.helpers) {
    if (Tokens{0} < helper.held) {
      needs.push_back(MemoryNeed{helper.record.address,
                                 TicketFor(helper.record.id), helper.held});
    }
  }
  if (needs.empty()) {
    Send(placement);
    return;
  }
  hold_ = std::make_shared<MemoryHold>(services_->io, services_->orders,
                                       std::move(needs));
  hold_->Acquire([weak = weak_from_this(), placement](bool held) {
    const auto self = weak.lock();
    if (self != nullptr && !self->finished_) {
      self->OnMemory(placement, held);
    }
  });
  ArmTimer();
}

void Exchange::OnMemory(const Placement& placement, bool held) {
  nlohmann::json fields = LogFields();
  // Memory is waited for up to 300 ms. With the wait for a connection an
  // endpoint that was heard to leave meanwhile would be sent to 0.6 s later.
  const bool usable = IsStillUsable(placement);
  fields["held"] = held;
  fields["usable"] = usable;
  fields["prompt"] = placement_request_.prompt.value;
  services_->log->Write("memory", std::move(fields));
  if (held && usable) {
    Send(placement);
    return;
  }
  EndWork();
  NoteWaiting();
  // The memory that was there a moment ago is another's now.
  memory_timer_.expires_after(kMemoryRetry);
  memory_timer_.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self != nullptr && !self->finished_) {
          self->TryNext();
        }
      });
}

MemoryTicket Exchange::TicketFor(const EndpointId& holder) const {
  // One for each placement: memory of an earlier one may still be ending.
  return MemoryTicket{id_ + "-" + std::to_string(placements_) + "-" +
                      holder.value};
}

void Exchange::Send(const Placement& placement) {
  // Others may have ended endpoints while this one waited for its place.
  if (!services_->crashes->TakeTurn(this, &is_trial_)) {
    RefuseHeld();
    return;
  }
  placement_request_.tried.insert(endpoint_.id);
  predicted_ = placement.first_event;
  attempt_sent_ = false;
  first_event_seen_ = false;
  began_at_ = TimePoint{};
  use_ = AnswerUse::kNone;
  answer_body_.clear();
  LogPlaced(placement);

  OutgoingRequest outgoing;
  outgoing.request_id = id_;
  outgoing.head = HeadFor(placement);
  outgoing.body = body_;
  outgoing.answer_has_no_body = request_.method() == http::verb::head;
  std::unique_ptr<EndpointConnection> connection;
  // On a kept connection a request can cross the endpoint's close, and nobody
  // could tell whether it ran.
  if (route_->MayRepeat()) {
    connection = services_->connections->TakeIdle(endpoint_.id);
  }
  if (connection == nullptr) {
    connection = services_->connections->MakeNew(endpoint_.id);
    services_->metrics->GetCounter("harecrank_gateway_connections_total")
        ->Add();
  }
  sent_at_ = services_->clock();
  last_bytes_at_ = sent_at_;
  attempt_ = std::make_shared<Attempt>(services_->io, services_->connections,
                                       services_->names, this);
  attempt_->Start(std::move(connection), placement.endpoint.address,
                  std::move(outgoing), kConnectTimeout);
  ArmTimer();
}

void Exchange::LogPlaced(const Placement& placement) const {
  nlohmann::json fields = LogFields();
  fields["endpoint"] = endpoint_.id.value;
  fields["entry_revision"] = placement.endpoint.revision.value;
  if (const auto missing = services_->directory->MissingFor(endpoint_.id)) {
    fields["entry_missing_ms"] = missing->count();
  }
  fields["candidates"] = placement.candidates;
  fields["helpers"] = placement.helpers.size();
  if (!helpers_.empty()) {
    std::string ids;
    for (const EndpointId& helper : helpers_) {
      ids += (ids.empty() ? "" : " ") + helper.value;
    }
    fields["helper_ids"] = std::move(ids);
  }
  fields["predicted_ms"] = placement.first_event.count();
  fields["read_ms"] = placement.read.count();
  fields["prompt"] = placement_request_.prompt.value;
  if (waits_since_ != TimePoint{}) {
    fields["waited_ms"] =
        std::chrono::duration_cast<Millis>(services_->clock() - waits_since_)
            .count();
  }
  services_->log->Write("placed", std::move(fields));
}

std::string Exchange::HeadFor(const Placement& placement) const {
  HeadChanges changes;
  changes.time_left = TimeLeft();
  changes.endpoint = placement.endpoint.id;
  changes.strip_key = strip_key_;
  changes.body_bytes = body_->size();
  if (account_ != nullptr) {
    changes.account = account_->id;
  }
  if (service_->engine.has_value()) {
    const int priority = account_ != nullptr && account_->priority.has_value()
                             ? *account_->priority
                             : route_->priority;
    changes.urgency = std::clamp(priority, 0, kLeastUrgent);
  }
  for (const Helper& helper : placement.helpers) {
    changes.helpers +=
        (changes.helpers.empty() ? "" : ",") + helper.record.address;
    if (Tokens{0} < helper.held) {
      changes.helpers += "/" + TicketFor(helper.record.id).value;
    }
  }
  if (stream_begun_) {
    changes.resume_after = scanner_.LastId();
  }
  return EndpointHead(request_, *services_->names, changes);
}

void Exchange::BeginWork(const Placement& placement) {
  attempt_failed_ = false;
  helpers_.clear();
  for (const Helper& helper : placement.helpers) {
    helpers_.push_back(helper.record.id);
  }
  std::vector<WorkPart> parts = PartsOf(placement, placement_request_);
  for (const WorkPart& part : parts) {
    work_.push_back(services_->loads->Begin(part));
  }
  if (!service_->engine.has_value()) {
    return;
  }
  if (!ask_.has_value()) {
    ask_ = services_->places->NewId();
  }
  services_->places->OnStarted(*ask_, std::move(parts));
}

void Exchange::EndWork() {
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

void Exchange::EndAsk() {
  if (ask_.has_value()) {
    services_->places->OnEnd(*ask_, attempt_failed_);
    ask_.reset();
  }
  waits_at_planner_ = false;
}

void Exchange::OnErrorAnswer() {
  attempt_failed_ = true;
  services_->health->OnErrorAnswer(endpoint_.id);
}

void Exchange::OnFirstEvent() {
  if (first_event_seen_) {
    return;
  }
  first_event_seen_ = true;
  began_at_ = services_->clock();
  if (first_event_at_ == TimePoint{}) {
    first_event_at_ = services_->clock();
  }
  services_->queue->PumpSoon();
  const FractionalMillis taken = services_->clock() - sent_at_;
  // A single slow answer says little of short waits; what counts is how the
  // longer ones compare.
  constexpr FractionalMillis kNegligible{200};
  const double pace = (taken + kNegligible) / (predicted_ + kNegligible);
  services_->health->OnSuccess(endpoint_.id, pace);
  if (ask_.has_value()) {
    services_->places->OnRead(*ask_, pace);
  }
  for (const WorkId id : work_) {
    services_->loads->OnRead(id);
  }
}

void Exchange::NotePause() {
  const TimePoint now = services_->clock();
  if (last_event_at_ != TimePoint{}) {
    longest_pause_ = std::max(longest_pause_, now - last_event_at_);
  }
  last_event_at_ = now;
}

void Exchange::OnSent() {
  if (is_trial_) {
    services_->crashes->OnTrialSent(Fingerprint());
  }
  attempt_sent_ = true;
  ++sendings_;
}

void Exchange::OnAnswerHead(const AnswerHead& head) {
  last_bytes_at_ = services_->clock();
  JudgeHead(head);
}

void Exchange::JudgeHead(const AnswerHead& head) {
  const auto self = shared_from_this();
  has_framed_end_ = head.count(http::field::content_length) != 0 ||
                    head.count(http::field::transfer_encoding) != 0;
  const ProtocolNames& names = *services_->names;
  const unsigned status = head.result_int();
  const bool says_not_run =
      head.count(names.not_run) != 0 || status == kMisdirected;
  if (says_not_run && status != http_status::kBadRequest) {
    if (status == kMisdirected) {
      services_->health->OnUnreachable(endpoint_.id);
      services_->on_fault();
    }
    NoteFault(head);
    AbandonAttempt();
    OnNotRun("endpoint_answered_" + std::to_string(status));
    return;
  }
  const bool success = status / 100 == 2;
  if (success && head.count(names.answer_signature) == 0) {
    OnErrorAnswer();
    AbandonAttempt();
    OnMayHaveRun("unsigned_answer");
    return;
  }
  if (!success && (stream_begun_ || status >= 500) && route_->MayRepeat()) {
    OnErrorAnswer();
    if (stream_begun_ || MaySendAgain()) {
      may_have_run_ = true;
      AbandonAttempt();
      if (stream_begun_) {
        OnMayHaveRun("resumption_answered_" + std::to_string(status));
      } else {
        TryNext();
      }
      return;
    }
  }
  const bool events =
      View(head[http::field::content_type])
          .substr(0, std::string_view("text/event-stream").size()) ==
      "text/event-stream";
  if (success && route_->kind == RequestKind::kStreaming && events) {
    use_ = AnswerUse::kStream;
    if (!stream_begun_) {
      stream_begun_ = true;
      answer_->BeginStream(head);
    }
    return;
  }
  use_ = AnswerUse::kRelay;
  head_ = head;
}

void Exchange::NoteFault(const AnswerHead& head) {
  const std::string named(head[services_->names->endpoint_at_fault]);
  if (named.empty()) {
    return;
  }
  nlohmann::json fields = LogFields();
  fields["endpoint"] = endpoint_.id.value;
  fields["at_fault"] = named;
  services_->log->Write("endpoint_blamed", std::move(fields),
                        LogWeight::kAlwaysKept);
  for (const EndpointId& helper : helpers_) {
    const EndpointRecord* record = services_->directory->Find(helper);
    const bool is_address = record != nullptr && record->address == named;
    if (helper.value == named || is_address) {
      services_->health->OnNamedAtFault(helper);
      services_->on_fault();
    }
  }
}

void Exchange::OnAnswerBytes(std::string_view bytes) {
  last_bytes_at_ = services_->clock();
  services_->health->OnHeard(endpoint_.id);
  if (use_ == AnswerUse::kRelay) {
    answer_body_.append(bytes);
    if (answer_body_.size() > kMostAnswerBytes) {
      AbandonAttempt();
      OnMayHaveRun("answer_too_large");
    }
    return;
  }
  std::string events = scanner_.Accept(bytes);
  if (!events.empty()) {
    OnFirstEvent();
    NotePause();
    answer_->SendEvents(std::move(events));
  }
}

void Exchange::OnAnswerEnd() {
  const auto self = shared_from_this();
  attempt_.reset();
  const bool torn = use_ == AnswerUse::kStream && scanner_.HasPartial();
  if (torn) {
    OnErrorAnswer();
  }
  EndWork();
  if (use_ == AnswerUse::kStream) {
    if (torn) {
      scanner_.DropPartial();
      JudgeBroken(AttemptBroken{"ended_inside_an_event", true, false, true});
      return;
    }
    NoteEnd();
    answer_->EndStream();
    Finish("completed", http_status::kOk, "");
    return;
  }
  NoteEnd();
  const unsigned status = head_->result_int();
  if (status < http_status::kBadRequest) {
    OnFirstEvent();
  }
  answer_->SendWhole(std::move(*head_), std::move(answer_body_));
  Finish(status < http_status::kBadRequest ? "completed" : "failed", status,
         status < http_status::kBadRequest ? "" : "endpoint_answer");
}

void Exchange::OnFailure(const AttemptFailure& failure) {
  const auto self = shared_from_this();
  attempt_.reset();
  if (const auto* not_sent = std::get_if<AttemptNotSent>(&failure)) {
    EndWork();
    if (is_trial_) {
      services_->crashes->OnTrialNotSent(Fingerprint());
    }
    services_->health->OnUnreachable(endpoint_.id);
    services_->on_fault();
    ++connect_failures_;
    if (connect_failures_ < kMostConnectFailures) {
      TryNext();
    } else {
      OnNotRun("not_reached: " + not_sent->reason);
    }
    return;
  }
  // One broken answer is not a dead endpoint; the next connection tells.
  OnErrorAnswer();
  EndWork();
  scanner_.DropPartial();
  JudgeBroken(std::get<AttemptBroken>(failure));
}

bool Exchange::IsBeginning() const {
  return began_at_ == TimePoint{} ||
         services_->clock() - began_at_ < kBeginning;
}

void Exchange::JudgeBroken(const AttemptBroken& broken) {
  nlohmann::json fields = LogFields();
  fields["fingerprint"] = LogName(Fingerprint());
  fields["endpoint"] = endpoint_.id.value;
  fields["by_endpoint"] = broken.by_endpoint;
  fields["answer_began"] = broken.answer_began;
  if (began_at_ != TimePoint{}) {
    fields["since_first_event_ms"] =
        std::chrono::duration_cast<Millis>(services_->clock() - began_at_)
            .count();
  }
  // What is sent on is judged first: it may have ended its third endpoint.
  may_have_run_ = true;
  const bool goes_on = route_->MayRepeat();
  services_->crashes->OnBrokenOff(
      Fingerprint(), endpoint_, broken.by_endpoint && IsBeginning(),
      [weak = weak_from_this(), services = services_, goes_on,
       reason = broken.reason, fields = std::move(fields)](ProbeResult result) {
        nlohmann::json line = fields;
        line["connection"] = Name(result);
        services->log->Write("broken_off", std::move(line),
                             LogWeight::kAlwaysKept);
        const auto self = weak.lock();
        if (goes_on && self != nullptr && !self->finished_) {
          self->OnMayHaveRun(reason);
        }
      });
  if (!goes_on) {
    GiveUp(broken.reason);
  }
}

const RequestFingerprint& Exchange::Fingerprint() {
  if (!fingerprint_.has_value()) {
    FingerprintParts parts;
    parts.account = account_ == nullptr ? AccountId{} : account_->id;
    parts.method = View(request_.method_string());
    parts.target = View(request_.target());
    parts.body = *body_;
    fingerprint_ = FingerprintOf(parts);
  }
  return *fingerprint_;
}

void Exchange::OnHeld() {
  const auto self = shared_from_this();
  // One that an endpoint runs already shows by itself what it does, and one
  // that may run once is not broken off.
  const bool runs = attempt_ != nullptr && attempt_sent_ &&
                    (first_event_seen_ || !route_->MayRepeat());
  if (finished_ || runs) {
    return;
  }
  may_have_run_ = may_have_run_ || (attempt_ != nullptr && attempt_sent_);
  RefuseHeld();
}

void Exchange::RefuseHeld() {
  AbandonAttempt();
  if (stream_begun_ || may_have_run_) {
    GiveUp(kHeldReason);
    return;
  }
  // Without a time to come back: it will be refused then too. An own 4xx would
  // say more plainly whose fault it is, but platforms bound those.
  SendOwnAnswer(http_status::kUnavailable, kHeldReason, std::nullopt, true);
}

void Exchange::NoteEnd() {
  if (has_framed_end_) {
    services_->crashes->OnCompleted(this);
  }
}

void Exchange::OnNotRun(const std::string& reason) {
  if (MaySendAgain()) {
    nlohmann::json fields = LogFields();
    fields["endpoint"] = endpoint_.id.value;
    fields["reason"] = reason;
    NoteSentAgain(std::move(fields));
    TryNext();
    return;
  }
  GiveUp(reason);
}

void Exchange::OnMayHaveRun(const std::string& reason) {
  may_have_run_ = true;
  if (services_->crashes->IsHeld(this)) {
    RefuseHeld();
    return;
  }
  if (route_->MayRepeat() && MaySendAgain()) {
    nlohmann::json fields = LogFields();
    fields["endpoint"] = endpoint_.id.value;
    fields["reason"] = reason;
    fields["resumes_after"] = scanner_.LastId();
    NoteSentAgain(std::move(fields));
    TryNext();
    return;
  }
  GiveUp(reason);
}

void Exchange::NoteSentAgain(nlohmann::json fields) {
  services_->metrics->GetCounter("harecrank_gateway_sent_again_total")->Add();
  services_->log->Write("sent_again", std::move(fields),
                        LogWeight::kAlwaysKept);
}

bool Exchange::MaySendAgain() {
  if (sendings_ >= route_->max_attempts || TimeLeft() < kLeastTimeForAttempt) {
    return false;
  }
  budget_refused_ = !services_->budgets->TryRepeat(service_->name);
  return !budget_refused_;
}

void Exchange::AbandonAttempt() {
  LeaveQueue();
  if (attempt_ != nullptr) {
    attempt_->Cancel();
    attempt_.reset();
  }
  EndWork();
}

void Exchange::ArmTimer() {
  TimePoint next = deadline_;
  if (const auto patience = PatienceEnd()) {
    next = std::min(next, *patience);
  }
  if (const auto limit = WaitEnd()) {
    next = std::min(next, *limit);
  }
  if (IsWaiting()) {
    next = std::min(next, services_->clock() + kStopLook);
  }
  timer_.expires_at(next);
  timer_.async_wait(
      [self = weak_from_this()](const boost::system::error_code& error) {
        const auto exchange = self.lock();
        if (!error && exchange != nullptr && !exchange->finished_) {
          exchange->OnTimer();
        }
      });
}

void Exchange::OnTimer() {
  const auto self = shared_from_this();
  const TimePoint now = services_->clock();
  if (now >= deadline_) {
    may_have_run_ = may_have_run_ || attempt_sent_;
    AbandonAttempt();
    GiveUp("out_of_time");
    return;
  }
  if (IsWaiting() && services_->stops_at().has_value()) {
    LeaveQueue();
    if (may_have_run_) {
      GiveUp("stopping");
    } else {
      Refuse(http_status::kUnavailable, "stopping", kRetryElsewhere);
    }
    return;
  }
  const auto wait_end = WaitEnd();
  if (wait_end.has_value() && now >= *wait_end) {
    LeaveQueue();
    GiveUp("engines_not_idle");
    return;
  }
  const auto patience = PatienceEnd();
  if (patience.has_value() && now >= *patience && attempt_ != nullptr) {
    // A second sending only pays while it can still bring something.
    if (sendings_ < route_->max_attempts && MaySendAgain()) {
      may_have_run_ = may_have_run_ || attempt_sent_;
      AbandonAttempt();
      services_->health->OnOverdue(endpoint_.id, last_bytes_at_);
      services_->on_fault();
      scanner_.DropPartial();
      nlohmann::json fields = LogFields();
      fields["endpoint"] = endpoint_.id.value;
      fields["reason"] = "overdue";
      fields["predicted_ms"] = predicted_.count();
      fields["resumes_after"] = scanner_.LastId();
      NoteSentAgain(std::move(fields));
      TryNext();
      return;
    }
    budget_refused_ = true;
  }
  ArmTimer();
}

std::optional<TimePoint> Exchange::WaitEnd() const {
  const Tokens needed = placement_request_.prompt + placement_request_.answer;
  if (!IsWaiting() || may_have_run_ || !IsOversize(*service_, needed)) {
    return std::nullopt;
  }
  // A caller that is told early can still come back in time.
  const FractionalMillis waits = services_->policy->oversize_wait_share *
                                 FractionalMillis(route_->target_latency);
  return arrived_ + std::chrono::duration_cast<Millis>(waits);
}

std::optional<TimePoint> Exchange::PatienceEnd() const {
  if (attempt_ == nullptr || !route_->MayRepeat() || budget_refused_ ||
      sendings_ >= route_->max_attempts) {
    return std::nullopt;
  }
  if (route_->kind != RequestKind::kStreaming) {
    return sent_at_ + kPlainPatienceFactor * route_->target_latency;
  }
  Millis limit = std::max(kLeastStall, kStallFactor * route_->target_gap);
  if (!first_event_seen_) {
    const auto expected =
        std::chrono::duration_cast<Millis>(kPatienceFactor * predicted_);
    limit = expected + (helpers_.empty() ? kPatienceBase : kHelperStall);
  }
  if (services_->health->WasHeardAfter(endpoint_.id, last_bytes_at_)) {
    // The endpoint is alive and slow. To begin anew elsewhere costs more than
    // to wait, until the caller is about to give the stream up.
    limit = std::max(limit, CallerPatience());
  }
  return last_bytes_at_ + limit;
}

Millis Exchange::CallerPatience() const {
  const Millis given_up = std::max(
      {kCallerLeastPatience, kCallerPatienceTargets * route_->target_latency,
       kCallerPatienceGaps * route_->target_gap});
  return given_up * kPatienceUsed / kPercent;
}

Millis Exchange::TimeLeft() const {
  const auto left =
      std::chrono::duration_cast<Millis>(deadline_ - services_->clock());
  return std::max(Millis(0), left);
}

void Exchange::GiveUp(const std::string& reason) {
  if (stream_begun_) {
    answer_->AbortStream();
    Finish("broken_off", http_status::kOk, reason);
    return;
  }
  if (!may_have_run_) {
    Refuse(http_status::kUnavailable, reason, kRetryAfterRefusal);
    return;
  }
  Refuse(TimeLeft() == Millis(0) ? http_status::kGatewayTimeout
                                 : http_status::kBadGateway,
         reason, std::nullopt);
}

void Exchange::Refuse(unsigned status, const std::string& code,
                      std::optional<Millis> retry_after) {
  SendOwnAnswer(status, code, retry_after, retry_after.has_value());
}

void Exchange::SendOwnAnswer(unsigned status, const std::string& code,
                             std::optional<Millis> retry_after, bool not_run) {
  AnswerHead head;
  head.result(status);
  head.set(services_->names->request_id, id_);
  head.set(http::field::content_type, "application/json");
  if (retry_after.has_value()) {
    constexpr double kMillisPerSecond = 1000;
    const double seconds =
        static_cast<double>(retry_after->count()) / kMillisPerSecond;
    head.set(http::field::retry_after, std::to_string(seconds));
  }
  nlohmann::json body = {{"error", code},
                         {"outcome", not_run ? "not_run" : "failed"}};
  answer_->SendWhole(std::move(head), body.dump() + "\n");
  Finish(not_run ? "refused" : "failed", status, code);
}

void Exchange::OnCallerLeft() {
  const auto self = shared_from_this();
  if (finished_) {
    return;
  }
  AbandonAttempt();
  Finish("caller_left", 0, "");
}

void Exchange::Finish(const char* outcome, unsigned status,
                      const std::string& reason) {
  if (finished_) {
    return;
  }
  finished_ = true;
  timer_.cancel();
  AbandonAttempt();
  const std::string label = std::string("outcome=\"") + outcome + "\"";
  services_->metrics->GetCounter("harecrank_gateway_requests_total", label)
      ->Add();
  services_->metrics->GetHistogram("harecrank_gateway_request_seconds", label)
      ->Record(services_->clock() - arrived_);
  if (first_event_at_ != TimePoint{}) {
    services_->metrics->GetHistogram("harecrank_gateway_first_event_seconds")
        ->Record(first_event_at_ - arrived_);
  }
  nlohmann::json fields = LogFields();
  fields["outcome"] = outcome;
  fields["status"] = status;
  fields["reason"] = reason;
  fields["events"] = scanner_.Count();
  if (first_event_at_ != TimePoint{}) {
    fields["first_event_ms"] =
        std::chrono::duration_cast<Millis>(first_event_at_ - arrived_).count();
  }
  if (longest_pause_.count() > 0) {
    fields["longest_pause_ms"] =
        std::chrono::duration_cast<Millis>(longest_pause_).count();
  }
  fields["sendings"] = sendings_;
  fields["prompt"] = placement_request_.prompt.value;
  fields["endpoint"] = endpoint_.id.value;
  const bool failed = std::string_view(outcome) != "completed";
  services_->log->Write("ended", std::move(fields),
                        failed ? LogWeight::kAlwaysKept : LogWeight::kOrdinary);
}

nlohmann::json Exchange::LogFields() const {
  nlohmann::json fields;
  fields["request"] = id_;
  fields["route"] = route_ == nullptr ? "" : route_->name;
  fields["configuration"] = table_ == nullptr ? 0 : table_->Version().value;
  fields["age_ms"] =
      std::chrono::duration_cast<Millis>(services_->clock() - arrived_).count();
  return fields;
}

}  // namespace harecrank
