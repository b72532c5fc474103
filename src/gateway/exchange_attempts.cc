// How an exchange handles responses and failed attempts. exchange_crashes.cc
// handles broken answers, exchange.cc the rest of the class.

#include <utility>

#include "harecrank/core/answer_check.h"
#include "harecrank/core/http_status.h"
#include "src/gateway/endpoint_request.h"
#include "src/gateway/exchange.h"
#include "src/gateway/response_decoder.h"

namespace harecrank {
namespace {

namespace http = boost::beast::http;

// After this many failed connection attempts for a request, each further
// attempt counts as a retry and is subject to the limits in MayRetry. Fewer
// failures do not use up retries, since the request was not sent.
constexpr int kMaxConnectFailures = 5;

// Returns whether the head tells where the body of the response ends. An
// attempt passes on no transfer coding but "chunked".
bool HasFramedEnd(const ResponseHead& head) {
  return head.count(http::field::transfer_encoding) != 0 ||
         head.count(http::field::content_length) != 0 ||
         head.result() == http::status::no_content ||
         head.result() == http::status::not_modified;
}

// Returns whether the head announces a body that cannot be buffered.
bool IsTooLarge(const ResponseHead& head) {
  const auto bytes = ParseInteger(View(head[http::field::content_length]));
  constexpr auto kMaxBytes =
      static_cast<std::int64_t>(ResponseRelay::kMaxResponseBytes);
  return bytes.has_value() && *bytes > kMaxBytes;
}

}  // namespace

void Exchange::OnErrorAnswer() {
  search_->OnFailure();
  sender_->OnErrorAnswer();
}

void Exchange::OnFirstEvent() {
  if (const auto slowdown = sender_->OnFirstEvent()) {
    services_->queue->PumpSoon();
    search_->OnPrefillDone(*slowdown);
  }
}

void Exchange::OnGroupTrouble(const char* cause) {
  const auto slowdown = sender_->OnGroupTrouble();
  if (!slowdown.has_value()) {
    return;
  }
  search_->OnGroupTrouble(*slowdown);
  nlohmann::json fields = log_.Fields();
  fields["endpoint"] = sender_->Endpoint().id.value;
  fields["cause"] = cause;
  fields["slowdown"] = *slowdown;
  services_->log->Write("group_trouble", std::move(fields));
}

void Exchange::OnSent() {
  services_->crashes->OnSent(this, trial_);
  sender_->OnSent();
  OnRepeatSent();
}

void Exchange::OnResponseHead(const ResponseHead& head) {
  const auto self = shared_from_this();
  const EndpointResponse response = DecodeResponse(head, *services_->names);
  sender_->OnAnswer(response);
  has_framed_end_ = request_.method() == http::verb::head || HasFramedEnd(head);
  HandleResponseHead(response, head);
}

void Exchange::HandleResponseHead(const EndpointResponse& response,
                                  const ResponseHead& head) {
  const unsigned status = response.status;
  const bool is_not_run = response.not_run || response.IsMisdirected();
  if (is_not_run && status != http_status::kBadRequest) {
    OnNotRunResponse(response);
    return;
  }
  ExpectedAnswer expected;
  expected.continues_stream = relay_.StreamBegun();
  if (const auto fault = CheckAnswer(response, expected)) {
    LogGarbled(NameOf(*fault));
    OnErrorAnswer();
    AbandonAttempt();
    OnMayHaveRun(NameOf(*fault));
    return;
  }
  const bool success = response.IsSuccess();
  const bool endpoint_failed = status / 100 == 5;
  if (!success && (relay_.StreamBegun() || endpoint_failed) &&
      route_->MayRepeat() && RetryElsewhere(status)) {
    return;
  }
  if (success && route_->kind == RequestKind::kStreaming &&
      response.is_event_stream) {
    relay_.RelayEvents(head);
    return;
  }
  if (request_.method() != http::verb::head && IsTooLarge(head)) {
    AbandonAttempt();
    OnMayHaveRun("answer_too_large");
    return;
  }
  relay_.BufferWhole(head);
}

void Exchange::OnNotRunResponse(const EndpointResponse& response) {
  if (response.IsMisdirected()) {
    sender_->OnUnreachable();
  }
  sender_->OnRejection(response, log_.Fields());
  AbandonAttempt();
  OnNotRun("endpoint_answered_" + std::to_string(response.status));
}

bool Exchange::RetryElsewhere(unsigned status) {
  OnErrorAnswer();
  if (relay_.StreamBegun()) {
    may_have_run_ = true;
    AbandonAttempt();
    OnMayHaveRun("resumption_answered_" + std::to_string(status));
    return true;
  }
  if (!MayRetry(RepeatCause::kErrorAnswer)) {
    return false;
  }
  may_have_run_ = true;
  AbandonAttempt();
  log_.LogRetry(sender_->Endpoint().id,
                "endpoint_answered_" + std::to_string(status),
                nlohmann::json::object());
  TryNext();
  return true;
}

void Exchange::OnResponseBytes(std::string_view bytes) {
  const auto self = shared_from_this();
  sender_->OnBytes();
  const ResponseRelay::Relayed relayed = relay_.Accept(bytes);
  if (relayed.has_events) {
    OnFirstEvent();
    if (!sender_->IsStarting()) {
      ReportSound();
    }
    if (sink_->IsCongested()) {
      sender_->PauseReading();
    }
  }
  if (relayed.fault.has_value()) {
    OnGarbled(*relayed.fault);
  } else if (relayed.is_too_large) {
    OnErrorAnswer();
    AbandonAttempt();
    OnMayHaveRun("answer_too_large");
  }
}

void Exchange::OnResponseEnd() {
  const auto self = shared_from_this();
  sender_->OnEnded();
  const bool is_broken = relay_.IsStream() && !relay_.MayEndStream();
  if (is_broken) {
    OnErrorAnswer();
  }
  search_->End();
  if (is_broken) {
    const char* reason = relay_.HasPartial() ? "ended_inside_an_event"
                                             : "ended_without_an_event";
    relay_.DropPartial();
    HandleBroken(AttemptBroken{reason, true, false, true});
    return;
  }
  if (!has_framed_end_) {
    ConfirmEnd();
    return;
  }
  ReportCompletion();
  Complete();
}

void Exchange::Complete() {
  if (relay_.IsStream()) {
    CompleteStream();
  } else {
    CompleteBuffered();
  }
}

void Exchange::CompleteStream() {
  relay_.EndStream();
  Finish("completed", http_status::kOk, "");
}

void Exchange::CompleteBuffered() {
  const bool completed = relay_.BufferedStatus() < http_status::kBadRequest;
  if (completed) {
    OnFirstEvent();
    ReportSound();
  }
  const unsigned status = relay_.SendBuffered();
  Finish(completed ? "completed" : "failed", status,
         completed ? "" : "endpoint_answer");
}

void Exchange::OnFailure(const AttemptFailure& failure) {
  const auto self = shared_from_this();
  sender_->OnEnded();
  if (const auto* not_sent = std::get_if<AttemptNotSent>(&failure)) {
    OnNotSent(*not_sent);
    return;
  }
  if (const auto* malformed = std::get_if<AttemptMalformed>(&failure)) {
    OnMalformed(malformed->fault);
    return;
  }
  // An aborted response does not prove that the endpoint is dead, so it only
  // counts as an error. If the endpoint is dead, the next connection attempt
  // fails.
  OnErrorAnswer();
  OnGroupTrouble("broken");
  search_->End();
  relay_.DropPartial();
  HandleBroken(std::get<AttemptBroken>(failure));
}

void Exchange::OnMalformed(HeadFault fault) {
  LogGarbled(NameOf(fault));
  OnErrorAnswer();
  OnGroupTrouble("broken");
  search_->End();
  relay_.DropPartial();
  OnMayHaveRun(NameOf(fault));
}

void Exchange::OnNotSent(const AttemptNotSent& failure) {
  search_->End();
  services_->crashes->OnNotSent(this, trial_);
  sender_->OnUnreachable();
  log_.LogNotSent(sender_->Endpoint().id, failure.reason);
  ++connect_failures_;
  if (connect_failures_ < kMaxConnectFailures) {
    TryNext();
  } else {
    OnNotRun("not_reached: " + failure.reason);
  }
}

void Exchange::RejectForGood(const char* code) {
  AbandonAttempt();
  if (relay_.StreamBegun() || may_have_run_) {
    GiveUp(code);
    return;
  }
  // A 4xx status would state the cause more clearly, but platforms limit the
  // 4xx responses of a gateway.
  Respond(GatewayResponse{http_status::kUnavailable, code, std::nullopt, true});
}

void Exchange::OnNotRun(const std::string& reason) {
  if (MayRetry(RepeatCause::kNotRun)) {
    log_.LogRetry(sender_->Endpoint().id, reason, nlohmann::json::object());
    TryNext();
    return;
  }
  GiveUp(reason);
}

void Exchange::OnMayHaveRun(const std::string& reason) {
  may_have_run_ = true;
  if (services_->crashes->IsQuarantined(this)) {
    RejectQuarantined();
    return;
  }
  if (route_->MayRepeat() && MayRetry(RepeatCause::kBroken)) {
    log_.LogRetry(sender_->Endpoint().id, reason,
                  {{"resumes_after", relay_.LastEventId()}});
    TryNext();
    return;
  }
  GiveUp(reason);
}

bool Exchange::MayRetry(RepeatCause cause) {
  if (sender_->SendCount() >= route_->max_attempts ||
      TimeLeft() < kMinTimeForAttempt ||
      search_->CannotStartInTime(History())) {
    return false;
  }
  budget_exhausted_ = !unsent_repeat_.has_value() && !TakeRepeat(cause);
  return !budget_exhausted_;
}

bool Exchange::TakeRepeat(RepeatCause cause) {
  const RepeatDecision decision = services_->budgets->TryRepeat(service_->name);
  log_.LogRepeatDecision(service_->name, cause, decision);
  unsent_repeat_ = decision.permit;
  unsent_repeat_since_ = services_->clock();
  return unsent_repeat_.has_value();
}

void Exchange::OnRepeatSent() {
  if (sender_->SendCount() <= 1) {
    // The permit was taken because endpoints could not be reached, and the
    // request is sent for the first time.
    WithdrawRepeat();
  } else if (unsent_repeat_.has_value()) {
    services_->budgets->OnRepeatSent(service_->name, *unsent_repeat_);
    unsent_repeat_.reset();
  }
}

void Exchange::WithdrawRepeat() {
  if (unsent_repeat_.has_value()) {
    services_->budgets->OnRepeatWithdrawn(service_->name, *unsent_repeat_);
    unsent_repeat_.reset();
  }
}

void Exchange::AbandonAttempt() {
  if (search_ == nullptr) {
    return;
  }
  search_->LeaveQueue();
  sender_->Cancel();
  search_->End();
}

}  // namespace harecrank
