#include "harecrank/core/cold_starts.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "harecrank/core/rendezvous.h"

namespace harecrank {
namespace {

// How far a sum of hosts that a hash names may lie above its mean, in standard
// deviations, without passing the bound.
constexpr double kSpread = 5;

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

}  // namespace

ColdEndpoints::ColdEndpoints(MonotonicClock clock) : clock_(std::move(clock)) {}

bool ColdEndpoints::Entry::IsCold(TimePoint now) const {
  return cold_until.has_value() && now < *cold_until;
}

ColdChange ColdEndpoints::OnRecord(const EndpointRecord& record,
                                   Millis after_start) {
  const auto [found, is_first] = entries_.try_emplace(record.id);
  Entry& entry = found->second;
  if (!is_first && !(entry.revision < record.revision)) {
    return ColdChange::kNone;
  }
  const bool is_new_life = is_first || entry.life != record.life;
  entry.revision = record.revision;
  entry.life = record.life;
  entry.gone = false;
  if (!record.cold_for.has_value() && !is_new_life) {
    return ColdChange::kNone;
  }
  const TimePoint now = clock_();
  const Millis cold_for = record.cold_for.value_or(after_start);
  const bool was_cold = entry.IsCold(now);
  if (cold_for > Millis(0)) {
    if (!Factor(record.id).has_value()) {
      entry.bound_since = now;
    }
    entry.cold_until = now + cold_for;
    bounded_.insert(record.id);
    entry.end_told = false;
    return was_cold ? ColdChange::kNone : ColdChange::kTurnedCold;
  }
  if (!was_cold) {
    return ColdChange::kNone;
  }
  entry.cold_until = now;
  entry.end_told = true;
  return ColdChange::kTurnedWarm;
}

void ColdEndpoints::OnGone(const EndpointId& id) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return;
  }
  found->second.gone = true;
  if (bounded_.count(id) == 0) {
    entries_.erase(found);
  }
}

bool ColdEndpoints::IsCold(const EndpointId& id) const {
  const auto found = entries_.find(id);
  return found != entries_.end() && found->second.IsCold(clock_());
}

std::optional<double> ColdEndpoints::Factor(const EndpointId& id) const {
  const auto found = entries_.find(id);
  if (found == entries_.end() || !found->second.cold_until.has_value()) {
    return std::nullopt;
  }
  const auto since_end = clock_() - *found->second.cold_until;
  if (since_end < Millis(0)) {
    return 1;
  }
  const double doublings = FractionalMillis(since_end) / kDoubles;
  if (doublings >= kMostDoublings) {
    return std::nullopt;
  }
  return std::exp2(doublings);
}

TimePoint ColdEndpoints::BoundSince(const EndpointId& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? TimePoint{} : found->second.bound_since;
}

std::vector<EndpointId> ColdEndpoints::TakeWarmed() {
  const TimePoint now = clock_();
  std::vector<EndpointId> warmed;
  for (auto it = bounded_.begin(); it != bounded_.end();) {
    Entry& entry = entries_.at(*it);
    if (!entry.end_told && !entry.IsCold(now)) {
      entry.end_told = true;
      warmed.push_back(*it);
    }
    if (Factor(*it).has_value()) {
      ++it;
      continue;
    }
    if (entry.gone) {
      entries_.erase(*it);
    }
    it = bounded_.erase(it);
  }
  return warmed;
}

std::vector<EndpointId> ColdEndpoints::Bounded() const {
  std::vector<EndpointId> bounded;
  for (const EndpointId& id : bounded_) {
    if (Factor(id).has_value()) {
      bounded.push_back(id);
    }
  }
  return bounded;
}

std::size_t ColdEndpoints::Count() const {
  return static_cast<std::size_t>(
      std::count_if(bounded_.begin(), bounded_.end(),
                    [this](const EndpointId& id) { return IsCold(id); }));
}

StartCounts::StartCounts(MonotonicClock clock)
    : clock_(std::move(clock)), swept_(clock_()) {}

void StartCounts::Add(const HostAddress& host, const EndpointId& endpoint) {
  if (clock_() - swept_ > kWindow) {
    Sweep();
  }
  starts_[Key(host, endpoint)].push_back(clock_());
}

std::size_t StartCounts::Of(const HostAddress& host,
                            const EndpointId& endpoint) const {
  const auto found = starts_.find(Key(host, endpoint));
  if (found == starts_.end()) {
    return 0;
  }
  const TimePoint from = clock_() - kWindow;
  std::size_t count = 0;
  for (const TimePoint at : found->second) {
    count += at > from ? 1 : 0;
  }
  return count;
}

FractionalMillis StartCounts::SinceLast(const HostAddress& host,
                                        const EndpointId& endpoint) const {
  const auto found = starts_.find(Key(host, endpoint));
  if (found == starts_.end() || found->second.empty()) {
    return FractionalMillis::max();
  }
  return clock_() - found->second.back();
}

void StartCounts::Sweep() {
  swept_ = clock_();
  const TimePoint from = swept_ - kWindow;
  for (auto it = starts_.begin(); it != starts_.end();) {
    std::deque<TimePoint>& times = it->second;
    while (!times.empty() && times.front() <= from) {
      times.pop_front();
    }
    it = times.empty() ? starts_.erase(it) : std::next(it);
  }
}

ColdShares::ColdShares(ColdBound bound, const ColdEndpoints* endpoints,
                       std::function<std::optional<int>()> hosts,
                       MonotonicClock clock)
    : bound_(bound),
      endpoints_(endpoints),
      hosts_(std::move(hosts)),
      clock_(std::move(clock)) {}

bool ColdShares::IsBounded(const ServiceProfile& service) const {
  return bound_.overage > 0 && service.cold_starts_per_s > 0;
}

std::optional<double> ColdShares::ShareOf(const HostAddress& host,
                                          const EndpointId& endpoint,
                                          const ServiceProfile& service) const {
  const auto factor = endpoints_->Factor(endpoint);
  if (!factor.has_value() || !IsBounded(service)) {
    return std::nullopt;
  }
  const auto hosts = hosts_();
  if (!hosts.has_value()) {
    return 0;
  }
  const double bound =
      service.cold_starts_per_s * bound_.overage + bound_.slack;
  const double even = bound / *hosts;
  if (even >= 1) {
    return *factor * std::floor(even);
  }
  const double named = *factor * NamedOnAverage(bound);
  const bool is_named = Lot(host, endpoint) * *hosts < named;
  return is_named ? std::max(1.0, named / *hosts) : 0;
}

bool ColdShares::MayStart(const StartCounts& starts, const HostAddress& host,
                          const EndpointId& endpoint,
                          const ServiceProfile& service) const {
  const auto share = ShareOf(host, endpoint, service);
  if (!share.has_value()) {
    return true;
  }
  if (*share < 1) {
    return false;
  }
  const auto pause = FractionalMillis(StartCounts::kWindow) / *share;
  const TimePoint first = endpoints_->BoundSince(endpoint) +
                          std::chrono::duration_cast<TimePoint::duration>(
                              Phase(host, endpoint) * pause);
  const auto begun = static_cast<double>(starts.Of(host, endpoint));
  return clock_() >= first && begun < *share &&
         starts.SinceLast(host, endpoint) >= pause;
}

std::set<EndpointId> ColdShares::Withheld(const StartCounts& starts,
                                          const HostAddress& host,
                                          const ServiceProfile& service) const {
  std::set<EndpointId> withheld;
  if (!IsBounded(service)) {
    return withheld;
  }
  for (const EndpointId& endpoint : endpoints_->Bounded()) {
    if (!MayStart(starts, host, endpoint, service)) {
      withheld.insert(endpoint);
    }
  }
  return withheld;
}

}  // namespace harecrank
