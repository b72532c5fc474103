// How an exchange handles broken answers, and what crashes endpoints. The rest
// of the class is in exchange.cc and exchange_attempts.cc.

#include <algorithm>
#include <utility>

#include "harecrank/core/http_status.h"
#include "src/gateway/endpoint_request.h"
#include "src/gateway/exchange.h"

namespace harecrank {
namespace {

// Error code of the final response to a request that crashes endpoints.
constexpr char kQuarantinedReason[] = "ends_endpoints";
// How long to wait until an endpoint tells whether it runs on, if the request
// can be repeated instead.
constexpr Millis kMaxPatienceBeforeRepeat{1000};

// Logs that an answer was broken off. `result` is that of the probe.
void LogBroken(const GatewayServices& services, nlohmann::json fields,
               ProbeResult result) {
  fields["connection"] = Name(result);
  services.log->Write("broken_off", std::move(fields), LogRateLimit::kExempt);
}

}  // namespace

void Exchange::ConfirmEnd() {
  const AttemptBroken ended{"ended_with_its_connection", true, false, true};
  may_have_run_ = true;
  is_confirming_ = true;
  const Millis patience = route_->MayRepeat()
                              ? std::min(TimeLeft(), kMaxPatienceBeforeRepeat)
                              : TimeLeft();
  services_->crashes->ConfirmEnd(
      {Fingerprint(), parts_}, sender_->Endpoint(), sender_->IsStarting(),
      {service_->health_path, patience},
      [weak = weak_from_this(), reason = ended.reason,
       fields = BrokenFields(ended)](ProbeResult result) {
        const auto self = weak.lock();
        if (self == nullptr || self->finished_) {
          return;
        }
        self->is_confirming_ = false;
        if (result == ProbeResult::kSame) {
          self->OnEndConfirmed();
          return;
        }
        LogBroken(*self->services_, fields, result);
        self->OnErrorAnswer();
        self->OnMayHaveRun(reason);
      });
}

void Exchange::OnEndConfirmed() {
  ReportCompletion();
  Complete();
}

void Exchange::OnGarbled(PieceFault fault) {
  LogGarbled(NameOf(fault));
  if (fault == PieceFault::kNotResumed) {
    // Not the endpoint's fault if the caller named an event that the stream
    // never had. Other endpoints could do no better.
    may_have_run_ = true;
    AbandonAttempt();
    GiveUp(NameOf(fault));
    return;
  }
  OnErrorAnswer();
  OnGroupTrouble("broken");
  AbandonAttempt();
  relay_.DropPartial();
  HandleBroken(AttemptBroken{NameOf(fault), true, false, false});
}

void Exchange::LogGarbled(const char* fault) {
  services_->metrics
      ->GetCounter("harecrank_gateway_garbled_answers_total",
                   std::string("fault=\"") + fault + "\"")
      ->Add();
  nlohmann::json fields = log_.Fields();
  fields["endpoint"] = sender_->Endpoint().id.value;
  fields["fault"] = fault;
  fields["last_id"] = relay_.LastEventId();
  fields["events"] = relay_.EventCount();
  fields["framed"] = has_framed_end_;
  fields["kept_connection"] = sender_->UsesKeptConnection();
  fields["sent_as"] = AttemptKind();
  fields["sendings"] = sender_->SendCount();
  fields["since_first_event_ms"] =
      sender_->SinceFirstEvent().value_or(Millis(0)).count();
  services_->log->Write("garbled", std::move(fields));
}

nlohmann::json Exchange::BrokenFields(const AttemptBroken& broken) {
  nlohmann::json fields = log_.Fields();
  fields["fingerprint"] = LogName(Fingerprint());
  fields["endpoint"] = sender_->Endpoint().id.value;
  fields["reason"] = broken.reason;
  fields["by_endpoint"] = broken.closed_by_endpoint;
  fields["answer_began"] = broken.response_began;
  fields["sent_as"] = AttemptKind();
  fields["sent_ms"] = sender_->SinceSent().count();
  fields["parts"] =
      services_->crashes->DescribeParts(*this, services_->clock());
  if (const auto since = sender_->SinceFirstEvent()) {
    fields["since_first_event_ms"] = since->count();
  }
  return fields;
}

const char* Exchange::AttemptKind() const {
  if (trial_.IsAny()) {
    return "trial";
  }
  return sender_->SendCount() > 1 ? "repeat" : "first";
}

void Exchange::HandleBroken(const AttemptBroken& broken) {
  // The crash guard probes the endpoint before the request is retried, since
  // the request may just have crashed its third endpoint and must then be
  // quarantined.
  may_have_run_ = true;
  const bool may_continue = route_->MayRepeat();
  services_->crashes->OnResponseAborted(
      {Fingerprint(), parts_}, sender_->Endpoint(),
      broken.closed_by_endpoint && sender_->IsStarting(),
      [weak = weak_from_this(), services = services_, may_continue,
       reason = broken.reason,
       fields = BrokenFields(broken)](ProbeResult result) {
        LogBroken(*services, fields, result);
        const auto self = weak.lock();
        if (may_continue && self != nullptr && !self->finished_) {
          self->OnMayHaveRun(reason);
        }
      });
  if (!may_continue) {
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
  // A request whose first event has arrived is not interrupted, since its
  // outcome shows whether it causes a crash. A sent request that may run only
  // once is not interrupted either, nor one whose response has ended.
  const bool sent = sender_->IsUnderWay() && sender_->WasSent();
  const bool runs = sent && (sender_->HasFirstEvent() || !route_->MayRepeat());
  if (finished_ || runs || is_confirming_) {
    return;
  }
  may_have_run_ = may_have_run_ || sent;
  RejectQuarantined();
}

void Exchange::RejectQuarantined() { RejectForGood(kQuarantinedReason); }

void Exchange::ReportCompletion() {
  services_->crashes->OnCompleted(this);
  if (relay_.IsStream() && sender_->HasFirstEvent()) {
    ReportSound();
  }
}

void Exchange::ReportSound() {
  if (!sound_reported_) {
    sound_reported_ = true;
    services_->crashes->OnSound(*this, *sender_->AttemptFirstEventAt());
  }
}

}  // namespace harecrank
