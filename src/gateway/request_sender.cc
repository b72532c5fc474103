#include "src/gateway/request_sender.h"

#include <utility>

#include "harecrank/core/attempt_timeout.h"

namespace harecrank {
namespace {

// A connection inside a region comes up within milliseconds. One packet lost
// on the way costs a second; another endpoint is sooner.
constexpr Millis kConnectTimeout{250};
// For how long after its first event an endpoint counts as beginning a request:
// ten times what an engine takes to end by a request, for engines that are
// slow.
constexpr Millis kBeginning{1000};

}  // namespace

RequestSender::RequestSender(const GatewayServices* services,
                             const RouteRule* route, AttemptObserver* observer)
    : services_(services), route_(route), observer_(observer) {}

void RequestSender::Send(const Placement& placement, OutgoingRequest request) {
  endpoint_ = placement.endpoint;
  helpers_.clear();
  for (const PrefillHelper& helper : placement.helpers) {
    helpers_.push_back(helper.record.id);
  }
  predicted_ = placement.first_event;
  was_sent_ = false;
  began_at_.reset();
  sent_at_ = services_->clock();
  last_bytes_at_ = sent_at_;
  attempt_ = std::make_shared<Attempt>(services_->io, services_->connections,
                                       services_->names, observer_);
  attempt_->Start(Connection(), endpoint_.address, std::move(request),
                  kConnectTimeout);
}

std::unique_ptr<EndpointConnection> RequestSender::Connection() {
  // On a kept connection a request can cross the endpoint's close, and nobody
  // could tell whether it ran.
  if (route_->MayRepeat()) {
    auto kept = services_->connections->TakeIdle(endpoint_.id);
    if (kept != nullptr) {
      return kept;
    }
  }
  services_->metrics->GetCounter("harecrank_gateway_connections_total")->Add();
  return services_->connections->MakeNew(endpoint_.id);
}

void RequestSender::Cancel() {
  if (attempt_ != nullptr) {
    attempt_->Cancel();
    attempt_.reset();
  }
}

void RequestSender::OnSent() {
  was_sent_ = true;
  ++sendings_;
}

void RequestSender::OnAnswer(const EndpointResponse& answer) {
  last_bytes_at_ = services_->clock();
  services_->response_handler->OnAnswer(endpoint_, answer, sent_at_);
}

void RequestSender::OnBytes() {
  last_bytes_at_ = services_->clock();
  services_->health->OnBytesReceived(endpoint_.id);
}

std::optional<double> RequestSender::OnFirstEvent() {
  if (began_at_.has_value()) {
    return std::nullopt;
  }
  const TimePoint now = services_->clock();
  began_at_ = now;
  first_event_at_ = first_event_at_.value_or(now);
  const FractionalMillis taken = now - sent_at_;
  // A single slow answer says little of short waits; what counts is how the
  // longer ones compare.
  constexpr FractionalMillis kNegligible{200};
  const double pace = (taken + kNegligible) / (predicted_ + kNegligible);
  services_->health->OnSuccess(endpoint_.id, pace);
  return pace;
}

void RequestSender::OnErrorAnswer() {
  services_->health->OnErrorAnswer(endpoint_.id);
}

void RequestSender::OnUnreachable() {
  services_->health->OnUnreachable(endpoint_.id);
  services_->on_endpoint_fault();
}

void RequestSender::OnOverdue() {
  services_->health->OnOverdue(endpoint_.id, last_bytes_at_);
  services_->on_endpoint_fault();
}

void RequestSender::OnRefusal(const EndpointResponse& answer,
                              nlohmann::json fields) {
  const std::string& named = answer.at_fault;
  if (named.empty()) {
    return;
  }
  fields["endpoint"] = endpoint_.id.value;
  fields["at_fault"] = named;
  services_->log->Write("endpoint_blamed", std::move(fields),
                        LogRateLimit::kExempt);
  for (const EndpointId& helper : helpers_) {
    const EndpointRecord* record = services_->directory->Find(helper);
    const bool is_address = record != nullptr && record->address == named;
    if (helper.value == named || is_address) {
      services_->health->OnReportedAtFault(helper);
      services_->on_endpoint_fault();
    }
  }
}

bool RequestSender::IsStarting() const {
  return !began_at_.has_value() || services_->clock() - *began_at_ < kBeginning;
}

TimePoint RequestSender::OverdueAt() const {
  AttemptProgress progress;
  progress.sent_at = sent_at_;
  progress.last_bytes_at = last_bytes_at_;
  progress.predicted = predicted_;
  progress.has_helpers = !helpers_.empty();
  progress.first_event_seen = began_at_.has_value();
  progress.endpoint_is_alive =
      services_->health->ReceivedBytesAfter(endpoint_.id, last_bytes_at_);
  return harecrank::OverdueAt(*route_, progress);
}

std::optional<Millis> RequestSender::SinceFirstEvent() const {
  if (!began_at_.has_value()) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Millis>(services_->clock() - *began_at_);
}

}  // namespace harecrank
