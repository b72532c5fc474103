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
      limits_(clock),
      rests_(clock),
      shares_(cold_limit, &cold_endpoints_, &limits_,
              HostBackoffs{self_, &rests_}, std::move(hosts), clock),
      starts_(std::move(clock)) {}

void StartLimiter::OnListing(const std::vector<EndpointRecord>& records) {
  for (const EndpointRecord& record : records) {
    if (has_listing_) {
      OnEndpoint(record);
    } else {
      TakeCold(record, Millis(0));
    }
  }
  has_listing_ = true;
}

void StartLimiter::OnEndpoint(const EndpointRecord& record) {
  const auto table = routing_();
  const ServiceProfile* service =
      table == nullptr ? nullptr : table->FindService(record.service);
  TakeCold(record, service == nullptr ? Millis(0) : service->cold_period);
}

void StartLimiter::TakeCold(const EndpointRecord& record, Millis after_start) {
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
                            const RateLimitHint& word, TimePoint sent_at) {
  if (std::holds_alternative<UnreadableRateLimit>(word)) {
    metrics_->GetCounter("harecrank_gateway_limits_unreadable_total")->Add();
    log_->Write("limit_unreadable", {{"endpoint", endpoint.value}});
  }
  const RateLimitChange change = limits_.OnAnswer(endpoint, word, sent_at);
  NoteLimit(endpoint, change, "answer");
  return change == RateLimitChange::kAdvertised ||
         change == RateLimitChange::kEnded;
}

void StartLimiter::OnBackoffHint(const EndpointRecord& endpoint,
                                 const BackoffHint& word) {
  const bool is_unreadable = std::holds_alternative<UnreadableBackoff>(word);
  if (is_unreadable) {
    metrics_->GetCounter("harecrank_gateway_rests_unreadable_total")->Add();
  }
  if (!rests_.OnAnswer(endpoint.id, endpoint.incarnation, word)) {
    return;
  }
  metrics_->GetCounter("harecrank_gateway_rests_asked_total")->Add();
  log_->Write(
      "rest_asked",
      {{"endpoint", endpoint.id.value},
       {"rest_ms",
        rests_.RemainingBackoff(endpoint.id).value_or(Millis(0)).count()},
       {"readable", !is_unreadable}});
}

void StartLimiter::MergeFromPeer(const std::vector<RateLimitReport>& reports) {
  for (const RateLimitReport& report : reports) {
    NoteLimit(report.endpoint, limits_.MergeFromPeer(report), "host");
  }
}

void StartLimiter::NoteLimit(const EndpointId& endpoint, RateLimitChange change,
                             const char* told_by) {
  if (change == RateLimitChange::kNone) {
    return;
  }
  nlohmann::json fields = {{"endpoint", endpoint.value}, {"by", told_by}};
  if (change == RateLimitChange::kEnded) {
    log_->Write("limit_ended", std::move(fields));
    return;
  }
  const auto rate = limits_.AdvertisedRate(endpoint);
  fields["per_second"] = rate.value_or(RequestRate{}).value;
  log_->Write("limit_named", std::move(fields));
}

void StartLimiter::Tick() {
  for (const EndpointId& id : cold_endpoints_.TakeWarmed()) {
    log_->Write("endpoint_warm", {{"endpoint", id.value}, {"by", "time"}});
  }
  for (const EndpointId& id : limits_.TakeExpired()) {
    log_->Write("limit_lifted", {{"endpoint", id.value}});
  }
  for (const EndpointId& id : rests_.TakeEnded()) {
    log_->Write("rest_over", {{"endpoint", id.value}});
  }
}

std::set<EndpointId> StartLimiter::Withheld(const ServiceProfile& service) {
  std::set<EndpointId> withheld = shares_.Withheld(starts_, self_, service);
  if (!withheld.empty()) {
    CountWithheld();
  }
  return withheld;
}

bool StartLimiter::MayStart(const Placement& placement,
                            const ServiceProfile& service) {
  const bool may = shares_.MayStart(starts_, self_, placement, service);
  if (!may) {
    CountWithheld();
  }
  return may;
}

void StartLimiter::CountWithheld() {
  metrics_->GetCounter("harecrank_gateway_starts_withheld_total")->Add();
}

void StartLimiter::OnStart(const Placement& placement,
                           const ServiceProfile& service) {
  shares_.Add(placement, service, self_, &starts_);
}

Millis StartLimiter::NextRetryAfter(const ServiceName& service,
                                    const StartAvailability& outlook) {
  metrics_->GetCounter("harecrank_gateway_turned_away_by_bounds_total")->Add();
  constexpr double kMillisPerSecond = 1000;
  const TimePoint now = clock_();
  TimePoint& last = returns_[service];
  TimePoint next = std::max(outlook.next, now);
  if (outlook.per_second > 0) {
    const FractionalMillis pause(kMillisPerSecond / outlook.per_second);
    next = std::max(
        next, last + std::chrono::duration_cast<TimePoint::duration>(pause));
  }
  last = std::min(next, std::max(now + kMaxRetryAfter, outlook.backoff_until));
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
  for (const EndpointId& id : limits_.LimitedEndpoints()) {
    limited.push_back(DescribeLimit(id));
  }
  nlohmann::json resting = nlohmann::json::array();
  for (const EndpointId& id : rests_.LimitedEndpoints()) {
    resting.push_back(DescribeRest(id));
  }
  return {{"cold", std::move(cold)},
          {"limited", std::move(limited)},
          {"resting", std::move(resting)}};
}

nlohmann::json StartLimiter::DescribeRest(const EndpointId& id) const {
  const StartLimit bound = rests_.StartLimitOf(id).value_or(StartLimit{});
  return {{"endpoint", id.value},
          {"rest_ms", rests_.RemainingBackoff(id).value_or(Millis(0)).count()},
          {"raise", bound.multiplier}};
}

nlohmann::json StartLimiter::DescribeLimit(const EndpointId& id) const {
  // A service that bounds nothing by itself: what is left is the limit.
  const ServiceProfile unbounded;
  const StartLimit bound = limits_.StartLimitOf(id).value_or(StartLimit{});
  const auto named = limits_.AdvertisedRate(id);
  const TimePoint next = shares_.NextStart(starts_, self_, id, unbounded);
  const auto wait = std::chrono::ceil<Millis>(next - clock_());
  return {{"endpoint", id.value},
          {"named_per_second",
           named.has_value() ? nlohmann::json(named->value) : nlohmann::json()},
          {"per_second", bound.per_second.value_or(0) * bound.multiplier},
          {"raise", bound.multiplier},
          {"own_share", shares_.QuotaOf(self_, id, unbounded).value_or(0)},
          {"window_ms", bound.window.count()},
          {"begun", starts_.CountWithin(self_, id, bound.window)},
          {"next_start_ms", std::max(Millis(0), wait).count()}};
}

}  // namespace harecrank
