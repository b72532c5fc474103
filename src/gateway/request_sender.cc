#include "src/gateway/request_sender.h"

#include <utility>

namespace harecrank {
namespace {

// Time-out for opening a connection. Within a region this takes milliseconds.
// If a packet is lost, TCP resends it only after a second, so it is faster to
// try another endpoint.
constexpr Millis kConnectTimeout{250};
// How long after its first event a request still counts as starting, so that a
// crash of the endpoint is attributed to it. Ten times the time that an engine
// usually takes to crash on a request, to cover slow engines.
constexpr Millis kStartPeriod{1000};

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
  part_ = placement.prefill_time;
  was_sent_ = false;
  trouble_recorded_ = false;
  attempt_first_event_at_.reset();
  sent_at_ = services_->clock();
  last_bytes_at_ = sent_at_;
  attempt_ = std::make_shared<Attempt>(services_->io, services_->connections,
                                       services_->names, observer_);
  std::unique_ptr<EndpointConnection> connection = Connection();
  uses_kept_connection_ = connection->reused;
  attempt_->Start(std::move(connection), endpoint_.address, std::move(request),
                  kConnectTimeout);
}

std::unique_ptr<EndpointConnection> RequestSender::Connection() {
  // The endpoint may close an idle connection while a request is being sent on
  // it, and then it is unknown whether the request has run. So a reused
  // connection is only taken for requests that may be repeated.
  if (route_->MayRepeat()) {
    auto idle = services_->connections->TakeIdle(endpoint_.id);
    if (idle != nullptr) {
      return idle;
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

void RequestSender::PauseReading() {
  if (attempt_ != nullptr) {
    attempt_->PauseReading();
  }
}

void RequestSender::ResumeReading() {
  if (!IsPaused()) {
    return;
  }
  last_bytes_at_ = services_->clock();
  // The attempt may end, and with it `attempt_`, while it reads on.
  const std::shared_ptr<Attempt> attempt = attempt_;
  attempt->ResumeReading();
}

void RequestSender::OnSent() {
  was_sent_ = true;
  ++send_count_;
}

void RequestSender::OnAnswer(const EndpointResponse& response) {
  last_bytes_at_ = services_->clock();
  services_->response_handler->OnAnswer(endpoint_, response, sent_at_);
}

void RequestSender::OnBytes() {
  last_bytes_at_ = services_->clock();
  services_->health->OnBytesReceived(endpoint_.id);
}

std::optional<double> RequestSender::OnFirstEvent() {
  if (attempt_first_event_at_.has_value()) {
    return std::nullopt;
  }
  const TimePoint now = services_->clock();
  attempt_first_event_at_ = now;
  first_event_at_ = first_event_at_.value_or(now);
  PrefillObservation observation;
  observation.engines = Engines();
  observation.taken = now - sent_at_;
  observation.part = part_;
  observation.slowdown = SlowdownOf(observation.taken, predicted_);
  services_->health->OnFirstEvent(observation);
  return observation.slowdown;
}

std::vector<EndpointId> RequestSender::Engines() const {
  std::vector<EndpointId> engines = {endpoint_.id};
  engines.insert(engines.end(), helpers_.begin(), helpers_.end());
  return engines;
}

bool RequestSender::AwaitsGroup() const {
  return services_->policy->group_pace && !helpers_.empty() &&
         !attempt_first_event_at_.has_value();
}

std::optional<TimePoint> RequestSender::GroupTroubleAt() const {
  if (!IsUnderWay() || !AwaitsGroup() || trouble_recorded_) {
    return std::nullopt;
  }
  return harecrank::GroupTroubleAt(Progress());
}

bool RequestSender::JudgesOverdue() const {
  return services_->policy->group_pace && helpers_.empty() &&
         part_ > FractionalMillis(0);
}

Millis RequestSender::TimeForRetry() const {
  return AwaitsGroup() ? std::chrono::duration_cast<Millis>(predicted_)
                       : Millis(0);
}

std::optional<double> RequestSender::OnGroupTrouble() {
  if (!AwaitsGroup()) {
    return std::nullopt;
  }
  const FractionalMillis elapsed = services_->clock() - sent_at_;
  const double slowdown = SlowdownOf(elapsed, predicted_);
  if (slowdown < EnginePace::kClearlySlow) {
    // An attempt that breaks this early was not delayed by a helper.
    return std::nullopt;
  }
  trouble_recorded_ = true;
  services_->health->OnGroupTrouble(Engines(), slowdown, elapsed);
  services_->metrics->GetCounter("harecrank_gateway_group_troubles_total")
      ->Add();
  return slowdown;
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

void RequestSender::OnRejection(const EndpointResponse& response,
                                nlohmann::json fields) {
  const std::string& at_fault = response.at_fault;
  if (at_fault.empty()) {
    return;
  }
  fields["endpoint"] = endpoint_.id.value;
  fields["at_fault"] = at_fault;
  services_->log->Write("endpoint_blamed", std::move(fields),
                        LogRateLimit::kExempt);
  for (const EndpointId& helper : helpers_) {
    const EndpointRecord* record = services_->directory->Find(helper);
    const bool is_address = record != nullptr && record->address == at_fault;
    if (helper.value == at_fault || is_address) {
      services_->health->OnReportedAtFault(helper);
      services_->on_endpoint_fault();
    }
  }
}

bool RequestSender::IsStarting() const {
  return !attempt_first_event_at_.has_value() ||
         services_->clock() - *attempt_first_event_at_ < kStartPeriod;
}

AttemptProgress RequestSender::Progress() const {
  AttemptProgress progress;
  progress.sent_at = sent_at_;
  progress.last_bytes_at = last_bytes_at_;
  progress.predicted = predicted_;
  progress.has_helpers = !helpers_.empty();
  progress.first_event_seen = attempt_first_event_at_.has_value();
  progress.endpoint_is_alive =
      services_->health->ReceivedBytesAfter(endpoint_.id, last_bytes_at_);
  progress.judges_groups = services_->policy->group_pace;
  return progress;
}

TimePoint RequestSender::OverdueAt() const {
  return harecrank::OverdueAt(*route_, Progress());
}

Millis RequestSender::SinceSent() const {
  return std::chrono::duration_cast<Millis>(services_->clock() - sent_at_);
}

std::optional<Millis> RequestSender::SinceFirstEvent() const {
  if (!attempt_first_event_at_.has_value()) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Millis>(services_->clock() -
                                            *attempt_first_event_at_);
}

}  // namespace harecrank
