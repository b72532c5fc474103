#include "harecrank/core/start_quotas.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "harecrank/core/rendezvous.h"

namespace harecrank {
namespace {

// If a limit is too small for all hosts, a hash chooses the hosts that may
// start requests. The number of chosen hosts varies; it may exceed its mean by
// this many standard deviations before the limit is exceeded.
constexpr double kDeviations = 5;
// A host may use all starts of this period in one burst if its interval between
// starts is shorter. Requests do not arrive evenly, and a delayed request has
// to wait or go to another endpoint.
constexpr FractionalMillis kBurstTime{100};
// Longest interval between two starts of a host. The previous start must still
// be remembered when the next one is due.
constexpr FractionalMillis kMaxInterval{StartHistory::kLastRemembered};
constexpr double kMillisPerSecond = 1000;

// Returns the mean number of hosts to choose so that the actual number stays
// within `limit`: the mean m of a Poisson distribution with m + kDeviations *
// sqrt(m) = limit.
double MeanChosenHosts(double limit) {
  const double root =
      (std::sqrt(kDeviations * kDeviations + 4 * limit) - kDeviations) / 2;
  return root * root;
}

double ToUnit(std::uint64_t hash) {
  constexpr double kRange = 18446744073709551616.0;
  return static_cast<double>(hash) / kRange;
}

// Return numbers from 0 to 1 that are the same on all hosts. SelectionHash
// decides which hosts are chosen, and PhaseHash when each of them starts.
double SelectionHash(const HostAddress& host, const EndpointId& endpoint) {
  return ToUnit(RendezvousWeight(endpoint.value, host.value));
}
double PhaseHash(const HostAddress& host, const EndpointId& endpoint) {
  return ToUnit(RendezvousWeight(host.value, endpoint.value));
}

TimePoint After(TimePoint time, FractionalMillis interval) {
  return time + std::chrono::duration_cast<TimePoint::duration>(interval);
}

}  // namespace

StartHistory::StartHistory(MonotonicClock clock)
    : clock_(std::move(clock)), last_sweep_(clock_()) {}

void StartHistory::Add(const HostAddress& host, const EndpointId& endpoint) {
  if (clock_() - last_sweep_ > kWindow) {
    Sweep();
  }
  starts_[Key(host, endpoint)].push_back(clock_());
}

std::size_t StartHistory::CountWithin(const HostAddress& host,
                                      const EndpointId& endpoint,
                                      Millis window) const {
  const auto found = starts_.find(Key(host, endpoint));
  if (found == starts_.end()) {
    return 0;
  }
  const TimePoint from = clock_() - window;
  return static_cast<std::size_t>(
      std::count_if(found->second.begin(), found->second.end(),
                    [from](TimePoint at) { return at > from; }));
}

std::optional<TimePoint> StartHistory::NthLatest(const HostAddress& host,
                                                 const EndpointId& endpoint,
                                                 std::size_t n) const {
  const auto found = starts_.find(Key(host, endpoint));
  if (found == starts_.end() || found->second.size() <= n) {
    return std::nullopt;
  }
  return found->second[found->second.size() - 1 - n];
}

void StartHistory::Sweep() {
  last_sweep_ = clock_();
  for (auto it = starts_.begin(); it != starts_.end();) {
    std::deque<TimePoint>& history = it->second;
    while (history.size() > 1 && history.front() <= last_sweep_ - kWindow) {
      history.pop_front();
    }
    const bool is_expired = history.back() <= last_sweep_ - kLastRemembered;
    it = is_expired ? starts_.erase(it) : std::next(it);
  }
}

StartQuotas::StartQuotas(ColdLimit cold_limit,
                         const ColdEndpoints* cold_endpoints,
                         const EndpointRateLimits* rate_limits,
                         HostBackoffs own_backoffs,
                         std::function<std::optional<int>()> hosts,
                         MonotonicClock clock)
    : cold_limit_(cold_limit),
      cold_endpoints_(cold_endpoints),
      rate_limits_(rate_limits),
      own_backoffs_(std::move(own_backoffs)),
      hosts_(std::move(hosts)),
      clock_(std::move(clock)) {}

bool StartQuotas::LimitsColdStarts(const ServiceProfile& service) const {
  return cold_limit_.overage > 0 && service.cold_requests_per_s > 0;
}

std::optional<StartLimit> StartQuotas::ColdLimitOf(
    const EndpointId& endpoint, const ServiceProfile& service) const {
  const auto multiplier = cold_endpoints_->RampUpFactor(endpoint);
  if (!multiplier.has_value() || !LimitsColdStarts(service)) {
    return std::nullopt;
  }
  StartLimit limit;
  limit.max_starts =
      service.cold_requests_per_s * cold_limit_.overage + cold_limit_.slack;
  limit.window = ColdEndpoints::kWindow;
  limit.multiplier = *multiplier;
  limit.since = cold_endpoints_->LimitedSince(endpoint);
  return limit;
}

std::optional<StartLimit> StartQuotas::BackoffLimitOf(
    const HostAddress& host, const EndpointId& endpoint) const {
  const bool is_own =
      own_backoffs_.backoffs != nullptr && own_backoffs_.host == host;
  return is_own ? own_backoffs_.backoffs->StartLimitOf(endpoint) : std::nullopt;
}

std::vector<StartLimit> StartQuotas::LimitsOf(const HostAddress& host,
                                              const EndpointId& endpoint,
                                              const ServiceProfile& service,
                                              StartKind kind) const {
  std::vector<StartLimit> limits;
  // The start limit of a cold endpoint does not apply to prompt parts that it
  // prefills for other endpoints.
  if (kind == StartKind::kRequest) {
    if (const auto cold = ColdLimitOf(endpoint, service)) {
      limits.push_back(*cold);
    }
  }
  if (const auto rate_limit = rate_limits_->StartLimitOf(endpoint)) {
    limits.push_back(*rate_limit);
  }
  if (const auto backoff = BackoffLimitOf(host, endpoint)) {
    limits.push_back(*backoff);
  }
  return limits;
}

StartQuotas::HostQuota StartQuotas::HostQuotaOf(
    const StartLimit& limit, const HostAddress& host,
    const EndpointId& endpoint) const {
  const auto hosts = hosts_();
  HostQuota quota;
  if (!hosts.has_value()) {
    return quota;
  }
  // Number of hosts that share the limit.
  double sharers = *hosts;
  const double equal_part = limit.max_starts / *hosts;
  if (equal_part >= 1) {
    quota.max_starts = limit.multiplier * std::floor(equal_part);
  } else {
    const double chosen = limit.multiplier * MeanChosenHosts(limit.max_starts);
    const bool is_chosen = SelectionHash(host, endpoint) * *hosts < chosen;
    quota.max_starts = is_chosen ? std::max(1.0, chosen / *hosts) : 0;
    sharers = std::min(sharers, chosen);
  }
  if (quota.max_starts < 1 || limit.per_second == 0.0) {
    quota.max_starts = 0;
    return quota;
  }
  quota.interval = FractionalMillis(limit.window) / quota.max_starts;
  if (limit.per_second.has_value()) {
    const double own_rate = limit.multiplier * *limit.per_second / sharers;
    quota.interval =
        std::max(quota.interval, FractionalMillis(kMillisPerSecond / own_rate));
  }
  quota.interval = std::min(quota.interval, kMaxInterval);
  quota.first = After(limit.since, PhaseHash(host, endpoint) * quota.interval);
  return quota;
}

std::optional<double> StartQuotas::QuotaOf(
    const HostAddress& host, const EndpointId& endpoint,
    const ServiceProfile& service) const {
  std::optional<double> least;
  for (const StartLimit& limit :
       LimitsOf(host, endpoint, service, StartKind::kRequest)) {
    const double max_starts = HostQuotaOf(limit, host, endpoint).max_starts;
    least = std::min(least.value_or(max_starts), max_starts);
  }
  return least;
}

TimePoint StartQuotas::NextStartUnder(const StartLimit& limit,
                                      const StartHistory& starts,
                                      const HostAddress& host,
                                      const EndpointId& endpoint) const {
  const HostQuota quota = HostQuotaOf(limit, host, endpoint);
  if (quota.max_starts < 1) {
    return std::max(limit.not_before, clock_() + limit.window);
  }
  TimePoint next = quota.first;
  const auto max_starts = static_cast<std::size_t>(std::ceil(quota.max_starts));
  if (const auto oldest = starts.NthLatest(host, endpoint, max_starts - 1)) {
    next = std::max(next, *oldest + limit.window);
  }
  const auto burst = std::max(
      std::size_t{1}, static_cast<std::size_t>(kBurstTime / quota.interval));
  if (const auto burst_start = starts.NthLatest(host, endpoint, burst - 1)) {
    next = std::max(
        next, After(*burst_start, static_cast<double>(burst) * quota.interval));
  }
  return next;
}

TimePoint StartQuotas::NextStart(const StartHistory& starts,
                                 const HostAddress& host,
                                 const EndpointId& endpoint,
                                 const ServiceProfile& service,
                                 StartKind kind) const {
  TimePoint next{};
  for (const StartLimit& limit : LimitsOf(host, endpoint, service, kind)) {
    next = std::max(next, NextStartUnder(limit, starts, host, endpoint));
  }
  return next;
}

bool StartQuotas::MayStart(const StartHistory& starts, const HostAddress& host,
                           const EndpointId& endpoint,
                           const ServiceProfile& service,
                           StartKind kind) const {
  return NextStart(starts, host, endpoint, service, kind) <= clock_();
}

bool StartQuotas::MayStart(const StartHistory& starts, const HostAddress& host,
                           const Placement& placement,
                           const ServiceProfile& service) const {
  return MayStart(starts, host, placement.endpoint.id, service) &&
         std::all_of(placement.helpers.begin(), placement.helpers.end(),
                     [&](const PrefillHelper& helper) {
                       return MayStart(starts, host, helper.record.id, service,
                                       StartKind::kPrefillPart);
                     });
}

bool StartQuotas::CountsTowardLimit(const HostAddress& host,
                                    const EndpointId& endpoint,
                                    const ServiceProfile& service,
                                    StartKind kind) const {
  // An endpoint may turn cold before this host learns of it, so starts at
  // endpoints that are not known to be cold count too.
  const bool may_turn_cold =
      kind == StartKind::kRequest && LimitsColdStarts(service);
  return may_turn_cold || rate_limits_->StartLimitOf(endpoint).has_value() ||
         BackoffLimitOf(host, endpoint).has_value();
}

void StartQuotas::Add(const Placement& placement, const ServiceProfile& service,
                      const HostAddress& host, StartHistory* starts) const {
  if (CountsTowardLimit(host, placement.endpoint.id, service,
                        StartKind::kRequest)) {
    starts->Add(host, placement.endpoint.id);
  }
  for (const PrefillHelper& helper : placement.helpers) {
    if (CountsTowardLimit(host, helper.record.id, service,
                          StartKind::kPrefillPart)) {
      starts->Add(host, helper.record.id);
    }
  }
}

std::set<EndpointId> StartQuotas::Withheld(
    const StartHistory& starts, const HostAddress& host,
    const ServiceProfile& service) const {
  std::set<EndpointId> withheld;
  const auto withhold = [&](const std::vector<EndpointId>& limited) {
    for (const EndpointId& endpoint : limited) {
      if (!MayStart(starts, host, endpoint, service)) {
        withheld.insert(endpoint);
      }
    }
  };
  if (LimitsColdStarts(service)) {
    withhold(cold_endpoints_->LimitedEndpoints());
  }
  withhold(rate_limits_->LimitedEndpoints());
  if (own_backoffs_.backoffs != nullptr && own_backoffs_.host == host) {
    withhold(own_backoffs_.backoffs->LimitedEndpoints());
  }
  return withheld;
}

double StartQuotas::RatePerSecond(const std::vector<StartLimit>& limits,
                                  const HostAddress& host,
                                  const EndpointId& endpoint) const {
  FractionalMillis longest{0};
  for (const StartLimit& limit : limits) {
    const HostQuota quota = HostQuotaOf(limit, host, endpoint);
    if (quota.max_starts < 1) {
      return 0;
    }
    longest = std::max(longest, quota.interval);
  }
  return kMillisPerSecond / longest.count();
}

std::optional<StartAvailability> StartQuotas::StartAvailabilityOf(
    const StartHistory& starts, const HostAddress& host,
    const std::vector<const EndpointRecord*>& endpoints,
    const std::set<EndpointId>& tried, const ServiceProfile& service) const {
  std::optional<StartAvailability> availability;
  for (const EndpointRecord* record : endpoints) {
    if (tried.count(record->id) != 0) {
      continue;
    }
    const std::vector<StartLimit> limits =
        LimitsOf(host, record->id, service, StartKind::kRequest);
    if (limits.empty()) {
      return std::nullopt;
    }
    const TimePoint next = NextStart(starts, host, record->id, service);
    TimePoint backoff_until{};
    for (const StartLimit& limit : limits) {
      backoff_until = std::max(backoff_until, limit.not_before);
    }
    if (!availability.has_value()) {
      availability = StartAvailability{next, 0, backoff_until};
    }
    availability->next = std::min(availability->next, next);
    availability->backoff_until =
        std::min(availability->backoff_until, backoff_until);
    availability->per_second += RatePerSecond(limits, host, record->id);
  }
  return availability;
}

}  // namespace harecrank
