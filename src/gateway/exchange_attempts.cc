// What an exchange makes of its attempts: answers, failures and requests that
// end endpoints. The rest of the class is in exchange.cc.

#include <utility>

#include "harecrank/core/http_status.h"
#include "src/gateway/endpoint_request.h"
#include "src/gateway/exchange.h"
#include "src/gateway/response_decoder.h"

namespace harecrank {
namespace {

namespace http = boost::beast::http;

// How often one request is put to endpoints that cannot be reached.
constexpr int kMostConnectFailures = 5;
// With less left than this a further attempt cannot bring anything.
constexpr Millis kLeastTimeForAttempt{60};
// The reason of the final answer to a request that ends endpoints.
constexpr char kHeldReason[] = "ends_endpoints";

bool IsEventStream(const ResponseHead& head) {
  const std::string_view wanted = "text/event-stream";
  return View(head[http::field::content_type]).substr(0, wanted.size()) ==
         wanted;
}

}  // namespace

void Exchange::OnErrorAnswer() {
  place_->OnFailure();
  sender_->OnErrorAnswer();
}

void Exchange::OnFirstEvent() {
  if (const auto pace = sender_->OnFirstEvent()) {
    services_->queue->PumpSoon();
    place_->OnPrefillDone(*pace);
  }
}

void Exchange::OnSent() {
  if (is_trial_) {
    services_->crashes->OnTrialSent(Fingerprint());
  }
  sender_->OnSent();
}

void Exchange::OnAnswerHead(const ResponseHead& head) {
  const auto self = shared_from_this();
  const EndpointResponse answer = DecodeResponse(head, *services_->names);
  sender_->OnAnswer(answer);
  has_framed_end_ = head.count(http::field::content_length) != 0 ||
                    head.count(http::field::transfer_encoding) != 0;
  JudgeHead(answer, head);
}

void Exchange::JudgeHead(const EndpointResponse& answer,
                         const ResponseHead& head) {
  const unsigned status = answer.status;
  const bool says_not_run = answer.not_run || answer.IsMisdirected();
  if (says_not_run && status != http_status::kBadRequest) {
    OnNotRunAnswer(answer);
    return;
  }
  const bool success = answer.IsSuccess();
  if (success && !answer.is_signed) {
    OnErrorAnswer();
    AbandonAttempt();
    OnMayHaveRun("unsigned_answer");
    return;
  }
  const bool endpoint_failed = status / 100 == 5;
  if (!success && (relay_.StreamBegun() || endpoint_failed) &&
      route_->MayRepeat() && TakeUpElsewhere(status)) {
    return;
  }
  if (success && route_->kind == RequestKind::kStreaming &&
      IsEventStream(head)) {
    relay_.RelayEvents(head);
    return;
  }
  relay_.BufferWhole(head);
}

void Exchange::OnNotRunAnswer(const EndpointResponse& answer) {
  if (answer.IsMisdirected()) {
    sender_->OnUnreachable();
  }
  sender_->OnRefusal(answer, log_.Fields());
  AbandonAttempt();
  OnNotRun("endpoint_answered_" + std::to_string(answer.status));
}

bool Exchange::TakeUpElsewhere(unsigned status) {
  OnErrorAnswer();
  if (relay_.StreamBegun()) {
    may_have_run_ = true;
    AbandonAttempt();
    OnMayHaveRun("resumption_answered_" + std::to_string(status));
    return true;
  }
  if (!MaySendAgain()) {
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

void Exchange::OnAnswerBytes(std::string_view bytes) {
  sender_->OnBytes();
  switch (relay_.Accept(bytes)) {
    case ResponseRelay::Accepted::kEvents:
      OnFirstEvent();
      break;
    case ResponseRelay::Accepted::kTooLarge:
      AbandonAttempt();
      OnMayHaveRun("answer_too_large");
      break;
    case ResponseRelay::Accepted::kBuffered:
      break;
  }
}

void Exchange::OnAnswerEnd() {
  const auto self = shared_from_this();
  sender_->OnEnded();
  const bool torn = relay_.IsStream() && relay_.HasPartial();
  if (torn) {
    OnErrorAnswer();
  }
  place_->End();
  if (torn) {
    relay_.DropPartial();
    JudgeBroken(AttemptBroken{"ended_inside_an_event", true, false, true});
    return;
  }
  NoteEnd();
  if (relay_.IsStream()) {
    relay_.EndStream();
    Finish("completed", http_status::kOk, "");
    return;
  }
  const bool completed = relay_.BufferedStatus() < http_status::kBadRequest;
  if (completed) {
    OnFirstEvent();
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
  // One broken answer is not a dead endpoint; the next connection tells.
  OnErrorAnswer();
  place_->End();
  relay_.DropPartial();
  JudgeBroken(std::get<AttemptBroken>(failure));
}

void Exchange::OnNotSent(const AttemptNotSent& failure) {
  place_->End();
  if (is_trial_) {
    services_->crashes->OnTrialNotSent(Fingerprint());
  }
  sender_->OnUnreachable();
  ++connect_failures_;
  if (connect_failures_ < kMostConnectFailures) {
    TryNext();
  } else {
    OnNotRun("not_reached: " + failure.reason);
  }
}

nlohmann::json Exchange::BrokenFields(const AttemptBroken& broken) {
  nlohmann::json fields = log_.Fields();
  fields["fingerprint"] = LogName(Fingerprint());
  fields["endpoint"] = sender_->Endpoint().id.value;
  fields["by_endpoint"] = broken.by_endpoint;
  fields["answer_began"] = broken.answer_began;
  if (const auto since = sender_->SinceFirstEvent()) {
    fields["since_first_event_ms"] = since->count();
  }
  return fields;
}

void Exchange::JudgeBroken(const AttemptBroken& broken) {
  // What is sent on is judged first: it may have ended its third endpoint.
  may_have_run_ = true;
  const bool goes_on = route_->MayRepeat();
  services_->crashes->OnResponseAborted(
      Fingerprint(), sender_->Endpoint(),
      broken.by_endpoint && sender_->IsStarting(),
      [weak = weak_from_this(), services = services_, goes_on,
       reason = broken.reason,
       fields = BrokenFields(broken)](ProbeResult result) {
        nlohmann::json line = fields;
        line["connection"] = Name(result);
        services->log->Write("broken_off", std::move(line),
                             LogRateLimit::kExempt);
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

void Exchange::OnQuarantined() {
  const auto self = shared_from_this();
  // One that an endpoint runs already shows by itself what it does, and one
  // that may run once is not broken off.
  const bool sent = sender_->IsUnderWay() && sender_->WasSent();
  const bool runs = sent && (sender_->HasFirstEvent() || !route_->MayRepeat());
  if (finished_ || runs) {
    return;
  }
  may_have_run_ = may_have_run_ || sent;
  RefuseHeld();
}

void Exchange::RefuseHeld() {
  AbandonAttempt();
  if (relay_.StreamBegun() || may_have_run_) {
    GiveUp(kHeldReason);
    return;
  }
  // Without a time to come back: it will be refused then too. An own 4xx would
  // say more plainly whose fault it is, but platforms bound those.
  Answer(GatewayResponse{http_status::kUnavailable, kHeldReason, std::nullopt,
                         true});
}

void Exchange::NoteEnd() {
  if (has_framed_end_) {
    services_->crashes->OnCompleted(this);
  }
}

void Exchange::OnNotRun(const std::string& reason) {
  if (MaySendAgain()) {
    log_.LogRetry(sender_->Endpoint().id, reason, nlohmann::json::object());
    TryNext();
    return;
  }
  GiveUp(reason);
}

void Exchange::OnMayHaveRun(const std::string& reason) {
  may_have_run_ = true;
  if (services_->crashes->IsQuarantined(this)) {
    RefuseHeld();
    return;
  }
  if (route_->MayRepeat() && MaySendAgain()) {
    log_.LogRetry(sender_->Endpoint().id, reason,
                  {{"resumes_after", relay_.LastEventId()}});
    TryNext();
    return;
  }
  GiveUp(reason);
}

bool Exchange::MaySendAgain() {
  if (sender_->SendCount() >= route_->max_attempts ||
      TimeLeft() < kLeastTimeForAttempt ||
      place_->CannotStartInTime(History())) {
    return false;
  }
  budget_refused_ = !services_->budgets->TryRepeat(service_->name);
  return !budget_refused_;
}

void Exchange::AbandonAttempt() {
  if (place_ == nullptr) {
    return;
  }
  place_->LeaveQueue();
  sender_->Cancel();
  place_->End();
}

}  // namespace harecrank
