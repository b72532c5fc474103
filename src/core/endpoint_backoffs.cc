#include "harecrank/core/endpoint_backoffs.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace harecrank {
namespace {

// Returns for how long `word` asks for rest.
struct AskedRest {
  Millis operator()(NoBackoff /*word*/) const { return Millis(0); }
  Millis operator()(Millis rest) const { return rest; }
  Millis operator()(UnreadableBackoff /*word*/) const {
    return EndpointBackoffs::kUnreadableBackoff;
  }
};

}  // namespace

EndpointBackoffs::EndpointBackoffs(MonotonicClock clock)
    : clock_(std::move(clock)) {}

bool EndpointBackoffs::HasReturned(const Entry& entry, TimePoint now) {
  return now >= entry.until + kMaxDoublings * kDoublingPeriod;
}

bool EndpointBackoffs::OnAnswer(
    const EndpointId& id, const std::optional<EndpointIncarnation>& incarnation,
    const BackoffHint& word) {
  const Millis rest = std::visit(AskedRest{}, word);
  if (rest <= Millis(0)) {
    return false;
  }
  const TimePoint until = clock_() + rest;
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
  if (found == entries_.end() || HasReturned(found->second, now)) {
    return std::nullopt;
  }
  const TimePoint until = found->second.until;
  StartLimit bound;
  bound.max_starts = kMaxStartsAfterBackoff;
  bound.window = kRampUpWindow;
  bound.multiplier =
      std::exp2(std::max(0.0, FractionalMillis(now - until) / kDoublingPeriod));
  bound.since = until;
  bound.not_before = until;
  return bound;
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
  std::vector<EndpointId> bounded;
  for (const auto& [id, entry] : entries_) {
    if (!HasReturned(entry, now)) {
      bounded.push_back(id);
    }
  }
  return bounded;
}

std::vector<EndpointId> EndpointBackoffs::TakeEnded() {
  const TimePoint now = clock_();
  std::vector<EndpointId> returned;
  for (auto it = entries_.begin(); it != entries_.end();) {
    if (!HasReturned(it->second, now)) {
      ++it;
      continue;
    }
    returned.push_back(it->first);
    it = entries_.erase(it);
  }
  return returned;
}

std::size_t EndpointBackoffs::Count() const {
  const TimePoint now = clock_();
  return static_cast<std::size_t>(std::count_if(
      entries_.begin(), entries_.end(),
      [now](const auto& entry) { return now < entry.second.until; }));
}

}  // namespace harecrank
