#include "src/gateway/exchange.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "harecrank/core/http_status.h"
#include "src/gateway/admission.h"
#include "src/gateway/endpoint_request.h"

namespace harecrank {
namespace {

namespace http = boost::beast::http;

constexpr int kLeastUrgent = 9;
// Interval at which a waiting request checks whether this host is about to
// stop, and whether all endpoints have asked for a back-off.
constexpr Millis kWaitCheckInterval{100};

// Returns a name for the tickets of a request. The caller's id is no part of
// it: callers choose their ids, and a ticket's name goes into headers and JSON.
std::string TicketName(std::uint64_t number) {
  std::ostringstream text;
  text << std::hex << number;
  return text.str();
}

}  // namespace

Exchange::Exchange(const GatewayServices* services, CallerRequest request,
                   TimePoint arrived, std::shared_ptr<ResponseSink> sink)
    : services_(services),
      request_(std::move(request)),
      arrived_(arrived),
      sink_(std::move(sink)),
      timer_(*services->io),
      id_(request_[services->names->request_id]),
      log_(services, id_, arrived),
      relay_(sink_, services->clock) {}

void Exchange::Start() {
  body_ = std::make_shared<const std::string>(std::move(request_.body()));
  AdmittedRequest admitted = Admit(*services_, request_, arrived_);
  table_ = std::move(admitted.table);
  route_ = admitted.route;
  account_ = admitted.account;
  service_ = admitted.service;
  strip_key_ = admitted.strip_key;
  deadline_ = admitted.deadline;
  prompt_ = admitted.placement.prompt;
  if (route_ != nullptr && route_->MayRepeat()) {
    relay_.ResumeAfter(View(request_["Last-Event-ID"]));
  }
  parts_ = SharedPartsOf(View(request_[services_->names->prompt_parts]));
  log_.SetRoute(route_ == nullptr ? "" : route_->name,
                table_ == nullptr ? RoutingVersion{} : table_->Version());
  if (const std::optional<Rejection>& rejection = admitted.rejection) {
    Reject(rejection->status, rejection->code, rejection->retry_after);
    return;
  }
  admitted.placement.origin = RequestOrigin{Fingerprint(), Priority()};
  PlacementSearchParams params{
      std::move(admitted.placement), arrived_ + route_->target_latency,
      deadline_, TicketName(services_->random()),
      RequestRegions(services_, table_, route_, account_)};
  search_ = std::make_shared<PlacementSearch>(
      services_, std::move(params), this, [this] { return log_.Fields(); });
  sender_.emplace(services_, route_, this);
  crash_guard_registration_ = services_->crashes->Watch(this);
  services_->budgets->OnFirstAttempt(service_->name);
  TryNext();
}

void Exchange::TryNext() {
  if (services_->crashes->IsQuarantined(this)) {
    RejectQuarantined();
    return;
  }
  search_->Search(History());
}

SendingHistory Exchange::History() const {
  if (may_have_run_) {
    return SendingHistory::kMayHaveRun;
  }
  return sender_->SendCount() > 0 ? SendingHistory::kNotRun
                                  : SendingHistory::kNew;
}

void Exchange::OnRejected(RejectionReason reason, Millis retry_after) {
  const auto self = shared_from_this();
  const char* code = reason == RejectionReason::kStartQuotaExhausted
                         ? "starts_used_up"
                         : "waits_in_vain";
  Reject(http_status::kUnavailable, code, retry_after);
}

void Exchange::OnNoEndpoint() {
  const auto self = shared_from_this();
  GiveUp("no_endpoint");
}

void Exchange::OnForbidden() {
  const auto self = shared_from_this();
  services_->metrics
      ->GetCounter("harecrank_gateway_refused_by_region_total",
                   "service=\"" + service_->name.value + "\"")
      ->Add();
  RejectForGood("no_permitted_region");
}

void Exchange::OnWaiting() {
  ArmTimer();
  if (backoff_watch_.has_value()) {
    return;
  }
  backoff_watch_ = services_->backoff_notifier->Add([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self != nullptr && !self->finished_ && self->search_->IsWaiting()) {
      self->EndWaitIfDue(self->services_->clock());
    }
  });
}

void Exchange::OnPlaced(const Placement& placement) {
  const auto self = shared_from_this();
  // Other requests with the same fingerprint may have crashed endpoints while
  // this one waited.
  if (!services_->crashes->TryAdmit(this, &trial_)) {
    RejectQuarantined();
    return;
  }
  sound_reported_ = false;
  search_->MarkTried(placement.endpoint.id);
  relay_.BeginAttempt();
  const auto repeat_decided_at = unsent_repeat_.has_value()
                                     ? std::make_optional(unsent_repeat_since_)
                                     : std::nullopt;
  log_.LogPlaced(placement, prompt_, search_->Waited(), repeat_decided_at);
  OutgoingRequest outgoing;
  outgoing.request_id = id_;
  outgoing.head = HeadFor(placement);
  outgoing.body = body_;
  outgoing.response_has_no_body = request_.method() == http::verb::head;
  sender_->Send(placement, std::move(outgoing));
  ArmTimer();
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
    changes.urgency = std::clamp(Priority(), 0, kLeastUrgent);
  }
  for (const PrefillHelper& helper : placement.helpers) {
    changes.helpers +=
        (changes.helpers.empty() ? "" : ",") + helper.record.address;
    if (Tokens{0} < helper.held) {
      changes.helpers += "/" + search_->TicketFor(helper.record.id).value;
    }
  }
  if (relay_.StreamBegun()) {
    changes.resume_after = relay_.LastEventId();
  }
  return EndpointHead(request_, *services_->names, changes);
}

int Exchange::Priority() const {
  return account_ != nullptr && account_->priority.has_value()
             ? *account_->priority
             : route_->priority;
}

void Exchange::ArmTimer() {
  TimePoint next = deadline_;
  if (const auto overdue_at = AttemptOverdueAt()) {
    next = std::min(next, *overdue_at);
  }
  if (const auto trouble_at = sender_->GroupTroubleAt()) {
    next = std::min(next, *trouble_at);
  }
  if (const auto wait_end = search_->WaitEnd(may_have_run_)) {
    next = std::min(next, *wait_end);
  }
  if (search_->IsWaiting()) {
    next = std::min(next, services_->clock() + kWaitCheckInterval);
  }
  timer_.expires_at(next);
  timer_.async_wait(
      [self = weak_from_this()](const boost::system::error_code& error) {
        const auto exchange = self.lock();
        if (!error && exchange != nullptr && !exchange->finished_ &&
            !exchange->rejection_code_.has_value()) {
          exchange->OnTimer();
        }
      });
}

void Exchange::OnTimer() {
  const TimePoint now = services_->clock();
  if (now >= deadline_) {
    may_have_run_ = may_have_run_ || sender_->WasSent();
    AbandonAttempt();
    GiveUp("out_of_time");
    return;
  }
  if (EndWaitIfDue(now)) {
    return;
  }
  const auto trouble_at = sender_->GroupTroubleAt();
  if (trouble_at.has_value() && now >= *trouble_at) {
    OnGroupTrouble("overdue");
  }
  const auto overdue_at = AttemptOverdueAt();
  if (overdue_at.has_value() && now >= *overdue_at) {
    if (RetryOverdue()) {
      return;
    }
    budget_exhausted_ = true;
  }
  ArmTimer();
}

bool Exchange::EndWaitIfDue(TimePoint now) {
  if (search_->IsWaiting() && services_->stops_at().has_value()) {
    search_->LeaveQueue();
    if (may_have_run_) {
      GiveUp("stopping");
    } else {
      Reject(http_status::kUnavailable, "stopping", kRetryElsewhere);
    }
    return true;
  }
  if (search_->SearchAnewIfRegionsChanged()) {
    return true;
  }
  if (search_->IsWaiting() && search_->RejectIfAllBackingOff()) {
    return true;
  }
  const auto wait_end = search_->WaitEnd(may_have_run_);
  if (wait_end.has_value() && now >= *wait_end) {
    search_->LeaveQueue();
    GiveUp("engines_not_idle");
    return true;
  }
  return false;
}

bool Exchange::RetryOverdue() {
  // Retry only if another attempt can still produce a response in time.
  if (TimeLeft() < sender_->TimeForRetry() ||
      !MayRetry(RepeatCause::kOverdue)) {
    return false;
  }
  may_have_run_ = may_have_run_ || sender_->WasSent();
  OnGroupTrouble("overdue");
  if (sender_->JudgesOverdue()) {
    OnErrorAnswer();
  }
  AbandonAttempt();
  sender_->OnOverdue();
  relay_.DropPartial();
  log_.LogRetry(sender_->Endpoint().id, "overdue",
                {{"predicted_ms", sender_->Predicted().count()},
                 {"resumes_after", relay_.LastEventId()}});
  TryNext();
  return true;
}

std::optional<TimePoint> Exchange::AttemptOverdueAt() const {
  // An endpoint that waits for a caller to read is not overdue.
  if (!sender_->IsUnderWay() || sender_->IsPaused() || !route_->MayRepeat() ||
      budget_exhausted_ || sender_->SendCount() >= route_->max_attempts) {
    return std::nullopt;
  }
  return sender_->OverdueAt();
}

Millis Exchange::TimeLeft() const {
  const auto left =
      std::chrono::duration_cast<Millis>(deadline_ - services_->clock());
  return std::max(Millis(0), left);
}

}  // namespace harecrank
