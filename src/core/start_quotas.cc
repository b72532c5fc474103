#include "harecrank/core/start_quotas.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "harecrank/core/rendezvous.h"

namespace harecrank {
namespace {

// How far a sum of hosts that a hash names may lie above its mean, in standard
// deviations, without passing the bound.
constexpr double kSpread = 5;
// Where starts follow each other faster than this, a few may come together:
// requests do not arrive evenly, and each that is held back waits or goes
// elsewhere.
constexpr FractionalMillis kLump{100};
// No pause is longer: the last start must still be remembered.
constexpr FractionalMillis kLongestPause{StartHistory::kLastRemembered};
constexpr double kMillisPerSecond = 1000;

// Returns how many hosts may be named on average, so that `bound` holds for the
// sum: the mean m of a Poisson distribution with m + kSpread * sqrt(m) = bound.
double NamedOnAverage(double bound) {
  const double root = (std::sqrt(kSpread * kSpread + 4 * bound) - kSpread) / 2;
  return root * root;
}

double ToUnit(std::uint64_t hash) {
  constexpr double kRange = 18446744073709551616.0;
  return static_cast<double>(hash) / kRange;
}

// Return numbers from 0 to 1 that all hosts derive alike: by which hosts are
// named, and when each of them begins.
double Lot(const HostAddress& host, const EndpointId& endpoint) {
  return ToUnit(RendezvousWeight(endpoint.value, host.value));
}
double Phase(const HostAddress& host, const EndpointId& endpoint) {
  return ToUnit(RendezvousWeight(host.value, endpoint.value));
}

TimePoint After(TimePoint time, FractionalMillis pause) {
  return time + std::chrono::duration_cast<TimePoint::duration>(pause);
}

}  // namespace

StartHistory::StartHistory(MonotonicClock clock)
    : clock_(std::move(clock)), swept_(clock_()) {}

void StartHistory::Add(const HostAddress& host, const EndpointId& endpoint) {
  if (clock_() - swept_ > kWindow) {
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
                                                 std::size_t others) const {
  const auto found = starts_.find(Key(host, endpoint));
  if (found == starts_.end() || found->second.size() <= others) {
    return std::nullopt;
  }
  return found->second[found->second.size() - 1 - others];
}

void StartHistory::Sweep() {
  swept_ = clock_();
  for (auto it = starts_.begin(); it != starts_.end();) {
    std::deque<TimePoint>& times = it->second;
    while (times.size() > 1 && times.front() <= swept_ - kWindow) {
      times.pop_front();
    }
    const bool is_forgotten = times.back() <= swept_ - kLastRemembered;
    it = is_forgotten ? starts_.erase(it) : std::next(it);
  }
}

StartQuotas::StartQuotas(ColdLimit cold_limit,
                         const ColdEndpoints* cold_endpoints,
                         const EndpointRateLimits* limits,
                         HostBackoffs own_rests,
                         std::function<std::optional<int>()> hosts,
                         MonotonicClock clock)
    : cold_bound_(cold_limit),
      cold_endpoints_(cold_endpoints),
      limits_(limits),
      own_rests_(std::move(own_rests)),
      hosts_(std::move(hosts)),
      clock_(std::move(clock)) {}

bool StartQuotas::LimitsColdStarts(const ServiceProfile& service) const {
  return cold_bound_.overage > 0 && service.cold_requests_per_s > 0;
}

std::optional<StartLimit> StartQuotas::ColdLimitOf(
    const EndpointId& endpoint, const ServiceProfile& service) const {
  const auto multiplier = cold_endpoints_->RampUpFactor(endpoint);
  if (!multiplier.has_value() || !LimitsColdStarts(service)) {
    return std::nullopt;
  }
  StartLimit bound;
  bound.max_starts =
      service.cold_requests_per_s * cold_bound_.overage + cold_bound_.slack;
  bound.window = ColdEndpoints::kWindow;
  bound.multiplier = *multiplier;
  bound.since = cold_endpoints_->LimitedSince(endpoint);
  return bound;
}

std::optional<StartLimit> StartQuotas::BackoffLimitOf(
    const HostAddress& host, const EndpointId& endpoint) const {
  const bool is_own = own_rests_.rests != nullptr && own_rests_.host == host;
  return is_own ? own_rests_.rests->StartLimitOf(endpoint) : std::nullopt;
}

std::vector<StartLimit> StartQuotas::LimitsOf(const HostAddress& host,
                                              const EndpointId& endpoint,
                                              const ServiceProfile& service,
                                              StartKind kind) const {
  std::vector<StartLimit> bounds;
  // A cold endpoint's bound does not count the parts that it reads.
  if (kind == StartKind::kRequest) {
    if (const auto cold = ColdLimitOf(endpoint, service)) {
      bounds.push_back(*cold);
    }
  }
  if (const auto limit = limits_->StartLimitOf(endpoint)) {
    bounds.push_back(*limit);
  }
  if (const auto rest = BackoffLimitOf(host, endpoint)) {
    bounds.push_back(*rest);
  }
  return bounds;
}

StartQuotas::Part StartQuotas::PartOf(const StartLimit& bound,
                                      const HostAddress& host,
                                      const EndpointId& endpoint) const {
  const auto hosts = hosts_();
  Part part;
  if (!hosts.has_value()) {
    return part;
  }
  // How many hosts share the bound.
  double sharers = *hosts;
  const double even = bound.max_starts / *hosts;
  if (even >= 1) {
    part.max_starts = bound.multiplier * std::floor(even);
  } else {
    const double named = bound.multiplier * NamedOnAverage(bound.max_starts);
    const bool is_named = Lot(host, endpoint) * *hosts < named;
    part.max_starts = is_named ? std::max(1.0, named / *hosts) : 0;
    sharers = std::min(sharers, named);
  }
  if (part.max_starts < 1 || bound.per_second == 0.0) {
    part.max_starts = 0;
    return part;
  }
  part.pause = FractionalMillis(bound.window) / part.max_starts;
  if (bound.per_second.has_value()) {
    const double own = bound.multiplier * *bound.per_second / sharers;
    part.pause = std::max(part.pause, FractionalMillis(kMillisPerSecond / own));
  }
  part.pause = std::min(part.pause, kLongestPause);
  part.first = After(bound.since, Phase(host, endpoint) * part.pause);
  return part;
}

std::optional<double> StartQuotas::QuotaOf(
    const HostAddress& host, const EndpointId& endpoint,
    const ServiceProfile& service) const {
  std::optional<double> least;
  for (const StartLimit& bound :
       LimitsOf(host, endpoint, service, StartKind::kRequest)) {
    const double max_starts = PartOf(bound, host, endpoint).max_starts;
    least = std::min(least.value_or(max_starts), max_starts);
  }
  return least;
}

TimePoint StartQuotas::NextStartUnder(const StartLimit& bound,
                                      const StartHistory& starts,
                                      const HostAddress& host,
                                      const EndpointId& endpoint) const {
  const Part part = PartOf(bound, host, endpoint);
  if (part.max_starts < 1) {
    return std::max(bound.not_before, clock_() + bound.window);
  }
  TimePoint next = part.first;
  const auto max_starts = static_cast<std::size_t>(std::ceil(part.max_starts));
  if (const auto full = starts.NthLatest(host, endpoint, max_starts - 1)) {
    next = std::max(next, *full + bound.window);
  }
  const auto together =
      std::max(std::size_t{1}, static_cast<std::size_t>(kLump / part.pause));
  if (const auto last = starts.NthLatest(host, endpoint, together - 1)) {
    next = std::max(next,
                    After(*last, static_cast<double>(together) * part.pause));
  }
  return next;
}

TimePoint StartQuotas::NextStart(const StartHistory& starts,
                                 const HostAddress& host,
                                 const EndpointId& endpoint,
                                 const ServiceProfile& service,
                                 StartKind kind) const {
  TimePoint next{};
  for (const StartLimit& bound : LimitsOf(host, endpoint, service, kind)) {
    next = std::max(next, NextStartUnder(bound, starts, host, endpoint));
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

bool StartQuotas::Counts(const HostAddress& host, const EndpointId& endpoint,
                         const ServiceProfile& service, StartKind kind) const {
  // Endpoints turn cold unheard: what has begun there by then counts, too.
  const bool may_turn_cold =
      kind == StartKind::kRequest && LimitsColdStarts(service);
  return may_turn_cold || limits_->StartLimitOf(endpoint).has_value() ||
         BackoffLimitOf(host, endpoint).has_value();
}

void StartQuotas::Add(const Placement& placement, const ServiceProfile& service,
                      const HostAddress& host, StartHistory* starts) const {
  if (Counts(host, placement.endpoint.id, service, StartKind::kRequest)) {
    starts->Add(host, placement.endpoint.id);
  }
  for (const PrefillHelper& helper : placement.helpers) {
    if (Counts(host, helper.record.id, service, StartKind::kPrefillPart)) {
      starts->Add(host, helper.record.id);
    }
  }
}

std::set<EndpointId> StartQuotas::Withheld(
    const StartHistory& starts, const HostAddress& host,
    const ServiceProfile& service) const {
  std::set<EndpointId> withheld;
  const auto withhold = [&](const std::vector<EndpointId>& bounded) {
    for (const EndpointId& endpoint : bounded) {
      if (!MayStart(starts, host, endpoint, service)) {
        withheld.insert(endpoint);
      }
    }
  };
  if (LimitsColdStarts(service)) {
    withhold(cold_endpoints_->LimitedEndpoints());
  }
  withhold(limits_->LimitedEndpoints());
  if (own_rests_.rests != nullptr && own_rests_.host == host) {
    withhold(own_rests_.rests->LimitedEndpoints());
  }
  return withheld;
}

double StartQuotas::PerSecond(const std::vector<StartLimit>& bounds,
                              const HostAddress& host,
                              const EndpointId& endpoint) const {
  FractionalMillis longest{0};
  for (const StartLimit& bound : bounds) {
    const Part part = PartOf(bound, host, endpoint);
    if (part.max_starts < 1) {
      return 0;
    }
    longest = std::max(longest, part.pause);
  }
  return kMillisPerSecond / longest.count();
}

std::optional<StartAvailability> StartQuotas::StartAvailabilityOf(
    const StartHistory& starts, const HostAddress& host,
    const std::vector<const EndpointRecord*>& endpoints,
    const std::set<EndpointId>& tried, const ServiceProfile& service) const {
  std::optional<StartAvailability> outlook;
  for (const EndpointRecord* record : endpoints) {
    if (tried.count(record->id) != 0) {
      continue;
    }
    const std::vector<StartLimit> bounds =
        LimitsOf(host, record->id, service, StartKind::kRequest);
    if (bounds.empty()) {
      return std::nullopt;
    }
    const TimePoint next = NextStart(starts, host, record->id, service);
    TimePoint backoff_until{};
    for (const StartLimit& bound : bounds) {
      backoff_until = std::max(backoff_until, bound.not_before);
    }
    if (!outlook.has_value()) {
      outlook = StartAvailability{next, 0, backoff_until};
    }
    outlook->next = std::min(outlook->next, next);
    outlook->backoff_until = std::min(outlook->backoff_until, backoff_until);
    outlook->per_second += PerSecond(bounds, host, record->id);
  }
  return outlook;
}

}  // namespace harecrank
