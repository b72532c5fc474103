#include "src/gateway/start_limiter.h"

#include <algorithm>
#include <utility>

namespace harecrank {

StartLimiter::StartLimiter(HostAddress self, ColdLimit cold_limit,
                           std::function<std::optional<int>()> hosts,
                           RoutingTableProvider routing, EventLog* log,
                           Metrics* metrics, MonotonicClock clock)
    : self_(std::move(self)),
      routing_(std::move(routing)),
      log_(log),
      metrics_(metrics),
      clock_(clock),
      cold_endpoints_(clock),
      rate_limits_(clock),
      backoffs_(clock),
      quotas_(cold_limit, &cold_endpoints_, &rate_limits_,
              HostBackoffs{self_, &backoffs_}, std::move(hosts), clock),
      history_(std::move(clock)) {}

void StartLimiter::OnListing(const std::vector<EndpointRecord>& records) {
  for (const EndpointRecord& record : records) {
    if (has_listing_) {
      OnEndpoint(record);
    } else {
      UpdateColdState(record, Millis(0));
    }
  }
  has_listing_ = true;
}

void StartLimiter::OnEndpoint(const EndpointRecord& record) {
  const auto table = routing_();
  const ServiceProfile* service =
      table == nullptr ? nullptr : table->FindService(record.service);
  UpdateColdState(record,
                  service == nullptr ? Millis(0) : service->cold_period);
}

void StartLimiter::UpdateColdState(const EndpointRecord& record,
                                   Millis after_start) {
  const ColdChange change = cold_endpoints_.OnRecord(record, after_start);
  if (change == ColdChange::kTurnedCold) {
    log_->Write("endpoint_cold",
                {{"endpoint", record.id.value},
                 {"cold_ms", record.cold_for.value_or(after_start).count()},
                 {"revision", record.revision.value}});
  } else if (change == ColdChange::kTurnedWarm) {
    log_->Write("endpoint_warm",
                {{"endpoint", record.id.value}, {"by", "entry"}});
  }
}

bool StartLimiter::OnAnswer(const EndpointId& endpoint,
                            const RateLimitHint& hint, TimePoint sent_at) {
  if (std::holds_alternative<UnreadableRateLimit>(hint)) {
    metrics_->GetCounter("harecrank_gateway_limits_unreadable_total")->Add();
    log_->Write("limit_unreadable", {{"endpoint", endpoint.value}});
  }
  const RateLimitChange change = rate_limits_.OnAnswer(endpoint, hint, sent_at);
  LogRateLimitChange(endpoint, change, "answer");
  return change == RateLimitChange::kAdvertised ||
         change == RateLimitChange::kEnded;
}

void StartLimiter::OnBackoffHint(const EndpointRecord& endpoint,
                                 const BackoffHint& hint) {
  const bool is_unreadable = std::holds_alternative<UnreadableBackoff>(hint);
  if (is_unreadable) {
    metrics_->GetCounter("harecrank_gateway_rests_unreadable_total")->Add();
  }
  if (!backoffs_.OnAnswer(endpoint.id, endpoint.incarnation, hint)) {
    return;
  }
  metrics_->GetCounter("harecrank_gateway_rests_asked_total")->Add();
  log_->Write(
      "rest_asked",
      {{"endpoint", endpoint.id.value},
       {"rest_ms",
        backoffs_.RemainingBackoff(endpoint.id).value_or(Millis(0)).count()},
       {"readable", !is_unreadable}});
}

void StartLimiter::MergeFromPeer(const std::vector<RateLimitReport>& reports) {
  for (const RateLimitReport& report : reports) {
    LogRateLimitChange(report.endpoint, rate_limits_.MergeFromPeer(report),
                       "host");
  }
}

void StartLimiter::LogRateLimitChange(const EndpointId& endpoint,
                                      RateLimitChange change,
                                      const char* source) {
  if (change == RateLimitChange::kNone) {
    return;
  }
  nlohmann::json fields = {{"endpoint", endpoint.value}, {"by", source}};
  if (change == RateLimitChange::kEnded) {
    log_->Write("limit_ended", std::move(fields));
    return;
  }
  const auto rate = rate_limits_.AdvertisedRate(endpoint);
  fields["per_second"] = rate.value_or(RequestRate{}).value;
  log_->Write("limit_named", std::move(fields));
}

void StartLimiter::Tick() {
  for (const EndpointId& id : cold_endpoints_.TakeWarmed()) {
    log_->Write("endpoint_warm", {{"endpoint", id.value}, {"by", "time"}});
  }
  for (const EndpointId& id : rate_limits_.TakeExpired()) {
    log_->Write("limit_lifted", {{"endpoint", id.value}});
  }
  for (const EndpointId& id : backoffs_.TakeEnded()) {
    log_->Write("rest_over", {{"endpoint", id.value}});
  }
}

std::set<EndpointId> StartLimiter::Withheld(const ServiceProfile& service) {
  std::set<EndpointId> withheld = quotas_.Withheld(history_, self_, service);
  if (!withheld.empty()) {
    CountWithheld();
  }
  return withheld;
}

bool StartLimiter::MayStart(const Placement& placement,
                            const ServiceProfile& service) {
  const bool may_start = quotas_.MayStart(history_, self_, placement, service);
  if (!may_start) {
    CountWithheld();
  }
  return may_start;
}

void StartLimiter::CountWithheld() {
  metrics_->GetCounter("harecrank_gateway_starts_withheld_total")->Add();
}

void StartLimiter::OnStart(const Placement& placement,
                           const ServiceProfile& service) {
  quotas_.Add(placement, service, self_, &history_);
}

Millis StartLimiter::NextRetryAfter(const ServiceName& service,
                                    const StartAvailability& availability) {
  metrics_->GetCounter("harecrank_gateway_turned_away_by_bounds_total")->Add();
  constexpr double kMillisPerSecond = 1000;
  const TimePoint now = clock_();
  TimePoint& last = retry_times_[service];
  TimePoint next = std::max(availability.next, now);
  if (availability.per_second > 0) {
    const FractionalMillis interval(kMillisPerSecond / availability.per_second);
    next = std::max(
        next, last + std::chrono::duration_cast<TimePoint::duration>(interval));
  }
  last = std::min(next,
                  std::max(now + kMaxRetryAfter, availability.backoff_until));
  return std::chrono::ceil<Millis>(last - now);
}

nlohmann::json StartLimiter::Describe() const {
  nlohmann::json cold = nlohmann::json::array();
  for (const EndpointId& id : cold_endpoints_.LimitedEndpoints()) {
    cold.push_back({{"endpoint", id.value},
                    {"cold", cold_endpoints_.IsCold(id)},
                    {"raise", cold_endpoints_.RampUpFactor(id).value_or(1)}});
  }
  nlohmann::json limited = nlohmann::json::array();
  for (const EndpointId& id : rate_limits_.LimitedEndpoints()) {
    limited.push_back(DescribeRateLimit(id));
  }
  nlohmann::json backing_off = nlohmann::json::array();
  for (const EndpointId& id : backoffs_.LimitedEndpoints()) {
    backing_off.push_back(DescribeBackoff(id));
  }
  return {{"cold", std::move(cold)},
          {"limited", std::move(limited)},
          {"resting", std::move(backing_off)}};
}

nlohmann::json StartLimiter::DescribeBackoff(const EndpointId& id) const {
  const StartLimit limit = backoffs_.StartLimitOf(id).value_or(StartLimit{});
  return {
      {"endpoint", id.value},
      {"rest_ms", backoffs_.RemainingBackoff(id).value_or(Millis(0)).count()},
      {"raise", limit.multiplier}};
}

nlohmann::json StartLimiter::DescribeRateLimit(const EndpointId& id) const {
  // The default service profile sets no limit for cold endpoints. With it, the
  // values below depend only on the advertised rate limit.
  const ServiceProfile service_without_limits;
  const StartLimit limit = rate_limits_.StartLimitOf(id).value_or(StartLimit{});
  const auto advertised = rate_limits_.AdvertisedRate(id);
  const TimePoint next =
      quotas_.NextStart(history_, self_, id, service_without_limits);
  const auto wait = std::chrono::ceil<Millis>(next - clock_());
  return {{"endpoint", id.value},
          {"named_per_second", advertised.has_value()
                                   ? nlohmann::json(advertised->value)
                                   : nlohmann::json()},
          {"per_second", limit.per_second.value_or(0) * limit.multiplier},
          {"raise", limit.multiplier},
          {"own_share",
           quotas_.QuotaOf(self_, id, service_without_limits).value_or(0)},
          {"window_ms", limit.window.count()},
          {"begun", history_.CountWithin(self_, id, limit.window)},
          {"next_start_ms", std::max(Millis(0), wait).count()}};
}

}  // namespace harecrank
