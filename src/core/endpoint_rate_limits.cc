#include "harecrank/core/endpoint_rate_limits.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "harecrank/core/decimal_text.h"

namespace harecrank {
namespace {

constexpr double kMillisPerSecond = 1000;

bool IsRate(double number) {
  return std::isfinite(number) && number >= 0 && number <= kMaxRequestRate;
}

}  // namespace

RateLimitHint ParseRateLimit(std::string_view text) {
  const auto rate = ParseDecimal(text);
  if (!rate.has_value()) {
    return UnreadableRateLimit{};
  }
  return RequestRate{std::min(*rate, kMaxRequestRate)};
}

EndpointRateLimits::EndpointRateLimits(MonotonicClock clock)
    : clock_(std::move(clock)) {}

Millis EndpointRateLimits::ValidityOf(RequestRate rate) {
  if (rate.value <= 0) {
    return kMaxValidity;
  }
  const double requests_time =
      kValidityInRequests / rate.value * kMillisPerSecond;
  const auto longest = static_cast<double>(kMaxValidity.count());
  const Millis validity(
      static_cast<std::int64_t>(std::min(requests_time, longest)));
  return std::max(kMinValidity, validity);
}

bool EndpointRateLimits::IsValid(const Entry& entry, TimePoint now) {
  return !entry.ended_at.has_value() &&
         now - entry.advertised_at < ValidityOf(entry.rate);
}

std::optional<double> EndpointRateLimits::Multiplier(const Entry& entry,
                                                     TimePoint now) {
  if (IsValid(entry, now)) {
    return 1;
  }
  const TimePoint expired_at = entry.ended_at.value_or(
      entry.advertised_at + ValidityOf(entry.rate) + kStaleRetention);
  const double doublings =
      std::max(0.0, FractionalMillis(now - expired_at) / kDoublingPeriod);
  if (doublings >= kMaxDoublings) {
    return std::nullopt;
  }
  return std::exp2(doublings);
}

RateLimitChange EndpointRateLimits::Advertise(const EndpointId& id,
                                              RequestRate rate, TimePoint at) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    if (entries_.size() >= kMaxEndpoints) {
      return RateLimitChange::kNone;
    }
    entries_.emplace(id, Entry{rate, clock_(), at, std::nullopt});
    return RateLimitChange::kAdvertised;
  }
  Entry& entry = found->second;
  const bool was_advertised = !entry.ended_at.has_value();
  const bool is_same = entry.rate == rate;
  if (!Multiplier(entry, clock_()).has_value()) {
    entry.limited_since = clock_();
  }
  entry.rate = rate;
  entry.advertised_at = at;
  entry.ended_at.reset();
  if (!was_advertised) {
    return RateLimitChange::kAdvertised;
  }
  return is_same ? RateLimitChange::kNone : RateLimitChange::kChanged;
}

RateLimitChange EndpointRateLimits::OnAnswer(const EndpointId& id,
                                             const RateLimitHint& hint,
                                             TimePoint sent_at) {
  const TimePoint now = clock_();
  if (const auto* rate = std::get_if<RequestRate>(&hint)) {
    return Advertise(id, *rate, now);
  }
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return RateLimitChange::kNone;
  }
  Entry& entry = found->second;
  if (std::holds_alternative<UnreadableRateLimit>(hint)) {
    return Advertise(id, entry.rate, now);
  }
  if (entry.ended_at.has_value() || sent_at <= entry.advertised_at) {
    return RateLimitChange::kNone;
  }
  entry.ended_at = now;
  return RateLimitChange::kEnded;
}

RateLimitChange EndpointRateLimits::MergeFromPeer(
    const RateLimitReport& report) {
  if (report.rate.has_value() && !IsRate(report.rate->value)) {
    return RateLimitChange::kNone;
  }
  const TimePoint now = clock_();
  const TimePoint at = now - std::max(Millis(0), report.age) - kMaxMessageDelay;
  const Millis validity =
      report.rate.has_value() ? ValidityOf(*report.rate) : kMinValidity;
  if (now - at >= validity) {
    return RateLimitChange::kNone;
  }
  const auto found = entries_.find(report.endpoint);
  if (found == entries_.end()) {
    return report.rate.has_value()
               ? Advertise(report.endpoint, *report.rate, at)
               : RateLimitChange::kNone;
  }
  Entry& entry = found->second;
  const TimePoint last_known_at = entry.ended_at.value_or(entry.advertised_at);
  if (at <= last_known_at) {
    return RateLimitChange::kNone;
  }
  if (report.rate.has_value()) {
    return Advertise(report.endpoint, *report.rate, at);
  }
  if (entry.ended_at.has_value()) {
    return RateLimitChange::kNone;
  }
  entry.ended_at = at;
  return RateLimitChange::kEnded;
}

std::optional<StartLimit> EndpointRateLimits::StartLimitOf(
    const EndpointId& id) const {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return std::nullopt;
  }
  const Entry& entry = found->second;
  const TimePoint now = clock_();
  const auto multiplier = Multiplier(entry, now);
  if (!multiplier.has_value()) {
    return std::nullopt;
  }
  const double span = std::chrono::duration<double>(kLimitPeriod).count();
  StartLimit limit;
  limit.max_starts = kBurstFactor * entry.rate.value * span + kBurstAllowance;
  limit.window = kWindow;
  limit.per_second = IsValid(entry, now)
                         ? entry.rate.value
                         : std::max(entry.rate.value, kProbesPerSecond);
  limit.multiplier = *multiplier;
  limit.since = entry.limited_since;
  return limit;
}

std::optional<RequestRate> EndpointRateLimits::AdvertisedRate(
    const EndpointId& id) const {
  const auto found = entries_.find(id);
  if (found == entries_.end() || !IsValid(found->second, clock_())) {
    return std::nullopt;
  }
  return found->second.rate;
}

std::vector<EndpointId> EndpointRateLimits::LimitedEndpoints() const {
  const TimePoint now = clock_();
  std::vector<EndpointId> limited;
  for (const auto& [id, entry] : entries_) {
    if (Multiplier(entry, now).has_value()) {
      limited.push_back(id);
    }
  }
  return limited;
}

std::vector<EndpointId> EndpointRateLimits::TakeExpired() {
  const TimePoint now = clock_();
  std::vector<EndpointId> expired;
  for (auto it = entries_.begin(); it != entries_.end();) {
    if (Multiplier(it->second, now).has_value()) {
      ++it;
      continue;
    }
    expired.push_back(it->first);
    it = entries_.erase(it);
  }
  return expired;
}

std::vector<RateLimitReport> EndpointRateLimits::Reports() const {
  const TimePoint now = clock_();
  std::vector<RateLimitReport> reports;
  for (const auto& [id, entry] : entries_) {
    const bool is_valid = IsValid(entry, now);
    const auto age = now - entry.ended_at.value_or(entry.advertised_at);
    if (!is_valid && !(entry.ended_at.has_value() && age < kMinValidity)) {
      continue;
    }
    RateLimitReport report;
    report.endpoint = id;
    report.age = std::chrono::ceil<Millis>(age);
    if (is_valid) {
      report.rate = entry.rate;
    }
    reports.push_back(std::move(report));
  }
  const std::size_t num_reports = std::min(kMaxReports, reports.size());
  std::partial_sort(reports.begin(),
                    reports.begin() + static_cast<std::ptrdiff_t>(num_reports),
                    reports.end(),
                    [](const RateLimitReport& a, const RateLimitReport& b) {
                      return a.age < b.age;
                    });
  reports.resize(num_reports);
  return reports;
}

std::size_t EndpointRateLimits::Count() const {
  const TimePoint now = clock_();
  return static_cast<std::size_t>(std::count_if(
      entries_.begin(), entries_.end(),
      [now](const auto& entry) { return IsValid(entry.second, now); }));
}

}  // namespace harecrank
