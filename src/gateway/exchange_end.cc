// How an exchange ends. The rest of the class is in exchange.cc,
// exchange_attempts.cc and exchange_crashes.cc.

#include <algorithm>
#include <utility>

#include "harecrank/core/http_status.h"
#include "src/gateway/admission.h"
#include "src/gateway/exchange.h"

namespace harecrank {
namespace {

// Error code of the final response to a request whose memory others need.
constexpr char kMemoryNeededCode[] = "memory_needed";

}  // namespace

void Exchange::GiveUp(const std::string& reason) {
  if (relay_.StreamBegun()) {
    relay_.AbortStream();
    Finish("broken_off", http_status::kOk, reason);
    return;
  }
  if (!may_have_run_) {
    RejectNotRun(reason);
    return;
  }
  Reject(TimeLeft() == Millis(0) ? http_status::kGatewayTimeout
                                 : http_status::kBadGateway,
         reason, std::nullopt);
}

void Exchange::RejectNotRun(const std::string& reason) {
  rejection_code_ = reason;
  AbandonAttempt();
  timer_.cancel();
  const bool asks = search_ != nullptr && TimeLeft() >= kMinTimeForAttempt &&
                    search_->AskReturnTime();
  if (!asks) {
    OnReturnTime(std::nullopt);
  }
}

void Exchange::OnReturnTime(std::optional<Millis> return_after) {
  const auto self = shared_from_this();
  const auto after_backoffs =
      search_ == nullptr ? std::nullopt : search_->RetryAfterBackoffs();
  Reject(http_status::kUnavailable, *rejection_code_,
         std::max(return_after.value_or(kRetryAfterRejection),
                  after_backoffs.value_or(Millis(0))));
}

void Exchange::Reject(unsigned status, const std::string& code,
                      std::optional<Millis> retry_after) {
  // A Retry-After time is only passed for requests that have not run, so its
  // presence sets `not_run`.
  Respond(GatewayResponse{status, code, retry_after, retry_after.has_value()});
}

bool Exchange::MayHaveRun() const {
  const bool is_sent =
      sender_.has_value() && sender_->IsUnderWay() && sender_->WasSent();
  return may_have_run_ || is_sent;
}

void Exchange::Respond(const GatewayResponse& response) {
  if (response.not_run && MayHaveRun()) {
    Respond(GatewayResponse{http_status::kBadGateway, response.code,
                            std::nullopt, false});
    return;
  }
  sink_->SendWhole(HeadOf(response, *services_->names, id_), BodyOf(response));
  Finish(response.not_run ? "refused" : "failed", response.status,
         response.code);
}

void Exchange::OnCallerDisconnected() {
  const auto self = shared_from_this();
  if (!finished_) {
    Finish("caller_left", 0, "");
  }
}

void Exchange::OnCallerReadOn() {
  const auto self = shared_from_this();
  if (!finished_ && sender_.has_value() && sender_->IsPaused()) {
    sender_->ResumeReading();
    if (!finished_) {
      ArmTimer();
    }
  }
}

void Exchange::OnMemoryNeeded() {
  const auto self = shared_from_this();
  if (finished_) {
    return;
  }
  may_have_run_ = MayHaveRun();
  services_->metrics->GetCounter("harecrank_gateway_memory_needed_total")
      ->Add();
  if (relay_.AwaitsEndless()) {
    OnErrorAnswer();
  }
  AbandonAttempt();
  if (may_have_run_) {
    GiveUp(kMemoryNeededCode);
  } else {
    Reject(http_status::kUnavailable, kMemoryNeededCode, kRetryAfterRejection);
  }
}

void Exchange::Finish(const char* outcome, unsigned status,
                      const std::string& reason) {
  if (finished_) {
    return;
  }
  finished_ = true;
  timer_.cancel();
  if (backoff_watch_.has_value()) {
    services_->backoff_notifier->Remove(*backoff_watch_);
  }
  AbandonAttempt();
  WithdrawRepeat();
  ExchangeResult end{outcome, status, reason, 0, prompt_, {}, {}};
  if (search_ != nullptr) {
    search_->Close();
    end.send_count = sender_->SendCount();
    end.endpoint = sender_->Endpoint().id;
    end.first_event = sender_->FirstEventAt();
  }
  log_.LogEnd(end, relay_);
}

}  // namespace harecrank
