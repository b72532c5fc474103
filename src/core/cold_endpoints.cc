#include "harecrank/core/cold_endpoints.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace harecrank {

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
  const bool is_new_incarnation =
      is_first || entry.incarnation != record.incarnation;
  entry.revision = record.revision;
  entry.incarnation = record.incarnation;
  entry.removed = false;
  if (!record.cold_for.has_value() && !is_new_incarnation) {
    return ColdChange::kNone;
  }
  const TimePoint now = clock_();
  const Millis cold_for = record.cold_for.value_or(after_start);
  const bool was_cold = entry.IsCold(now);
  if (cold_for > Millis(0)) {
    if (!RampUpFactor(record.id).has_value()) {
      entry.limited_since = now;
    }
    entry.cold_until = now + cold_for;
    limited_.insert(record.id);
    entry.warmed_reported = false;
    return was_cold ? ColdChange::kNone : ColdChange::kTurnedCold;
  }
  if (!was_cold) {
    return ColdChange::kNone;
  }
  entry.cold_until = now;
  entry.warmed_reported = true;
  return ColdChange::kTurnedWarm;
}

void ColdEndpoints::OnGone(const EndpointId& id) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return;
  }
  found->second.removed = true;
  if (limited_.count(id) == 0) {
    entries_.erase(found);
  }
}

bool ColdEndpoints::IsCold(const EndpointId& id) const {
  const auto found = entries_.find(id);
  return found != entries_.end() && found->second.IsCold(clock_());
}

std::optional<double> ColdEndpoints::RampUpFactor(const EndpointId& id) const {
  const auto found = entries_.find(id);
  if (found == entries_.end() || !found->second.cold_until.has_value()) {
    return std::nullopt;
  }
  const auto since_end = clock_() - *found->second.cold_until;
  if (since_end < Millis(0)) {
    return 1;
  }
  const double doublings = FractionalMillis(since_end) / kDoublingPeriod;
  if (doublings >= kMaxDoublings) {
    return std::nullopt;
  }
  return std::exp2(doublings);
}

TimePoint ColdEndpoints::LimitedSince(const EndpointId& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? TimePoint{} : found->second.limited_since;
}

std::vector<EndpointId> ColdEndpoints::TakeWarmed() {
  const TimePoint now = clock_();
  std::vector<EndpointId> warmed;
  for (auto it = limited_.begin(); it != limited_.end();) {
    Entry& entry = entries_.at(*it);
    if (!entry.warmed_reported && !entry.IsCold(now)) {
      entry.warmed_reported = true;
      warmed.push_back(*it);
    }
    if (RampUpFactor(*it).has_value()) {
      ++it;
      continue;
    }
    if (entry.removed) {
      entries_.erase(*it);
    }
    it = limited_.erase(it);
  }
  return warmed;
}

std::vector<EndpointId> ColdEndpoints::LimitedEndpoints() const {
  std::vector<EndpointId> limited;
  for (const EndpointId& id : limited_) {
    if (RampUpFactor(id).has_value()) {
      limited.push_back(id);
    }
  }
  return limited;
}

std::size_t ColdEndpoints::Count() const {
  return static_cast<std::size_t>(
      std::count_if(limited_.begin(), limited_.end(),
                    [this](const EndpointId& id) { return IsCold(id); }));
}

}  // namespace harecrank
