#include "src/gateway/exchange_log.h"

#include <string_view>
#include <utility>

#include "harecrank/core/http_status.h"

namespace harecrank {
namespace {

// Longer ids are cut in the log, so that a few lines do not fill its buffer.
constexpr std::size_t kMaxLoggedIdBytes = 128;

std::int64_t WholeMillis(TimePoint::duration time) {
  return std::chrono::duration_cast<Millis>(time).count();
}

std::string JoinIds(const std::vector<PrefillHelper>& helpers) {
  std::string ids;
  for (const PrefillHelper& helper : helpers) {
    ids += (ids.empty() ? "" : " ") + helper.record.id.value;
  }
  return ids;
}

}  // namespace

ExchangeLog::ExchangeLog(const GatewayServices* services,
                         const std::string& request_id, TimePoint arrived)
    : services_(services),
      request_id_(request_id.substr(0, kMaxLoggedIdBytes)),
      arrived_(arrived) {}

void ExchangeLog::SetRoute(std::string route, RoutingVersion configuration) {
  route_ = std::move(route);
  configuration_ = configuration;
}

nlohmann::json ExchangeLog::Fields() const {
  nlohmann::json fields;
  fields["request"] = request_id_;
  fields["route"] = route_;
  fields["configuration"] = configuration_.value;
  fields["age_ms"] = WholeMillis(services_->clock() - arrived_);
  return fields;
}

void ExchangeLog::LogPlaced(const Placement& placement, Tokens prompt,
                            std::optional<Millis> waited,
                            std::optional<TimePoint> repeat_decided_at) const {
  nlohmann::json fields = Fields();
  const EndpointId& endpoint = placement.endpoint.id;
  fields["endpoint"] = endpoint.value;
  fields["entry_revision"] = placement.endpoint.revision.value;
  if (const auto missing = services_->directory->MissingFor(endpoint)) {
    fields["entry_missing_ms"] = missing->count();
  }
  fields["candidates"] = placement.candidates;
  fields["helpers"] = placement.helpers.size();
  if (!placement.helpers.empty()) {
    fields["helper_ids"] = JoinIds(placement.helpers);
  }
  fields["predicted_ms"] = placement.first_event.count();
  fields["read_ms"] = placement.prefill_time.count();
  fields["prompt"] = prompt.value;
  if (waited.has_value()) {
    fields["waited_ms"] = waited->count();
  }
  if (repeat_decided_at.has_value()) {
    fields["since_decision_ms"] =
        WholeMillis(services_->clock() - *repeat_decided_at);
  }
  services_->log->Write("placed", std::move(fields));
}

void ExchangeLog::LogNotSent(const EndpointId& endpoint,
                             const std::string& reason) const {
  nlohmann::json fields = Fields();
  fields["endpoint"] = endpoint.value;
  fields["reason"] = reason;
  services_->metrics->GetCounter("harecrank_gateway_not_sent_total")->Add();
  services_->log->Write("not_sent", std::move(fields));
}

void ExchangeLog::LogRepeatDecision(const ServiceName& service,
                                    RepeatCause cause,
                                    const RepeatDecision& decision) const {
  const std::string labels =
      "service=\"" + service.value + "\",cause=\"" + NameOf(cause) + "\"";
  services_->metrics
      ->GetCounter(decision.permit.has_value()
                       ? "harecrank_gateway_repeats_total"
                       : "harecrank_gateway_repeats_denied_total",
                   labels)
      ->Add();
  nlohmann::json fields = Fields();
  fields["service"] = service.value;
  fields["cause"] = NameOf(cause);
  fields["first_attempts"] = decision.use.first_attempts;
  fields["repeats"] = decision.use.repeats;
  fields["unsent"] = decision.use.unsent;
  fields["credit"] = decision.use.credit;
  fields["allowance"] = decision.use.allowance;
  fields["allowance_used"] = decision.use.allowance_used;
  fields["hosts"] = decision.use.hosts;
  services_->log->Write(
      decision.permit.has_value() ? "repeat_permitted" : "repeat_denied",
      std::move(fields));
}

void ExchangeLog::LogRetry(const EndpointId& endpoint,
                           const std::string& reason,
                           const nlohmann::json& extra) const {
  nlohmann::json fields = Fields();
  fields["endpoint"] = endpoint.value;
  fields["reason"] = reason;
  fields.update(extra);
  services_->metrics->GetCounter("harecrank_gateway_sent_again_total")->Add();
  services_->log->Write("sent_again", std::move(fields), LogRateLimit::kExempt);
}

void ExchangeLog::LogEnd(const ExchangeResult& end,
                         const ResponseRelay& relay) const {
  Metrics& metrics = *services_->metrics;
  const std::string label = std::string("outcome=\"") + end.outcome + "\"";
  metrics.GetCounter("harecrank_gateway_requests_total", label)->Add();
  metrics.GetHistogram("harecrank_gateway_request_seconds", label)
      ->Record(services_->clock() - arrived_);
  nlohmann::json fields = Fields();
  if (end.first_event.has_value()) {
    const auto taken = *end.first_event - arrived_;
    metrics.GetHistogram("harecrank_gateway_first_event_seconds")
        ->Record(taken);
    fields["first_event_ms"] = WholeMillis(taken);
  }
  if (relay.LongestGap().count() > 0) {
    fields["longest_pause_ms"] = WholeMillis(relay.LongestGap());
  }
  fields["outcome"] = end.outcome;
  fields["status"] = end.status;
  fields["reason"] = end.reason;
  fields["events"] = relay.EventCount();
  fields["sendings"] = end.send_count;
  fields["prompt"] = end.prompt.value;
  fields["endpoint"] = end.endpoint.value;
  const bool completed = std::string_view(end.outcome) == "completed";
  // Callers may send any number of requests that are refused at once.
  const bool is_callers_fault = end.send_count == 0 &&
                                end.status >= http_status::kBadRequest &&
                                end.status < http_status::kInternalError;
  services_->log->Write("ended", std::move(fields),
                        completed || is_callers_fault ? LogRateLimit::kLimited
                                                      : LogRateLimit::kExempt);
}

}  // namespace harecrank
