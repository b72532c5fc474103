#include "harecrank/core/endpoint_backoffs.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace harecrank {
namespace {

// Visitor that returns the back-off duration of a hint.
struct BackoffDuration {
  Millis operator()(NoBackoff /*hint*/) const { return Millis(0); }
  Millis operator()(Millis backoff) const { return backoff; }
  Millis operator()(UnreadableBackoff /*hint*/) const {
    return EndpointBackoffs::kUnreadableBackoff;
  }
};

}  // namespace

EndpointBackoffs::EndpointBackoffs(MonotonicClock clock)
    : clock_(std::move(clock)) {}

bool EndpointBackoffs::HasEnded(const Entry& entry, TimePoint now) {
  return now >= entry.until + kMaxDoublings * kDoublingPeriod;
}

bool EndpointBackoffs::OnAnswer(
    const EndpointId& id, const std::optional<EndpointIncarnation>& incarnation,
    const BackoffHint& hint) {
  const Millis backoff = std::visit(BackoffDuration{}, hint);
  if (backoff <= Millis(0)) {
    return false;
  }
  const TimePoint until = clock_() + backoff;
  const auto [found, is_new] =
      entries_.try_emplace(id, Entry{incarnation, until});
  if (is_new) {
    return true;
  }
  Entry& entry = found->second;
  const bool is_longer =
      entry.incarnation != incarnation || entry.until < until;
  if (is_longer) {
    entry = Entry{incarnation, until};
  }
  return is_longer;
}

void EndpointBackoffs::OnIncarnation(
    const EndpointId& id,
    const std::optional<EndpointIncarnation>& incarnation) {
  const auto found = entries_.find(id);
  if (found != entries_.end() && found->second.incarnation != incarnation) {
    entries_.erase(found);
  }
}

std::optional<StartLimit> EndpointBackoffs::StartLimitOf(
    const EndpointId& id) const {
  const auto found = entries_.find(id);
  const TimePoint now = clock_();
  if (found == entries_.end() || HasEnded(found->second, now)) {
    return std::nullopt;
  }
  const TimePoint until = found->second.until;
  StartLimit limit;
  limit.max_starts = kMaxStartsAfterBackoff;
  limit.window = kRampUpWindow;
  limit.multiplier =
      std::exp2(std::max(0.0, FractionalMillis(now - until) / kDoublingPeriod));
  limit.since = until;
  limit.not_before = until;
  return limit;
}

std::optional<Millis> EndpointBackoffs::RemainingBackoff(
    const EndpointId& id) const {
  const auto found = entries_.find(id);
  const TimePoint now = clock_();
  if (found == entries_.end() || found->second.until <= now) {
    return std::nullopt;
  }
  return std::chrono::ceil<Millis>(found->second.until - now);
}

std::vector<EndpointId> EndpointBackoffs::LimitedEndpoints() const {
  const TimePoint now = clock_();
  std::vector<EndpointId> limited;
  for (const auto& [id, entry] : entries_) {
    if (!HasEnded(entry, now)) {
      limited.push_back(id);
    }
  }
  return limited;
}

std::vector<EndpointId> EndpointBackoffs::TakeEnded() {
  const TimePoint now = clock_();
  std::vector<EndpointId> ended;
  for (auto it = entries_.begin(); it != entries_.end();) {
    if (!HasEnded(it->second, now)) {
      ++it;
      continue;
    }
    ended.push_back(it->first);
    it = entries_.erase(it);
  }
  return ended;
}

std::size_t EndpointBackoffs::Count() const {
  const TimePoint now = clock_();
  return static_cast<std::size_t>(std::count_if(
      entries_.begin(), entries_.end(),
      [now](const auto& entry) { return now < entry.second.until; }));
}

}  // namespace harecrank
