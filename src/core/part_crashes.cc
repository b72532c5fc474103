#include "harecrank/core/part_crashes.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace harecrank {

PartCrashes::PartCrashes(PartPredicate explains, MonotonicClock clock)
    : explains_(std::move(explains)), clock_(std::move(clock)) {}

std::vector<PromptPartId> PartCrashes::Record(
    const EndpointCrash& crash, TimePoint at,
    const std::vector<PromptPartId>& parts) {
  if (parts.empty()) {
    return {};
  }
  if (records_.count(crash) == 0 && records_.size() >= kMaxRecords) {
    MakeRoom();
  }
  PartCrash& record =
      records_.try_emplace(crash, PartCrash{at, {}}).first->second;
  record.at = std::min(record.at, at);
  std::vector<PromptPartId> added;
  std::copy_if(parts.begin(), parts.end(), std::back_inserter(added),
               [&record](PromptPartId part) {
                 return record.parts.insert(part).second;
               });
  LimitParts(&record.parts);
  return added;
}

void PartCrashes::MakeRoom() {
  const auto usefulness = [this](const Records::value_type& entry) {
    return std::pair(IsUnexplained(entry.second), entry.second.at);
  };
  records_.erase(std::min_element(records_.begin(), records_.end(),
                                  [&](const auto& a, const auto& b) {
                                    return usefulness(a) < usefulness(b);
                                  }));
}

void PartCrashes::LimitParts(std::set<PromptPartId>* parts) const {
  if (parts->size() <= kMaxParts) {
    return;
  }
  // A flood of names must not displace the one that crashes have in common.
  using Rank = std::pair<std::size_t, bool>;
  std::vector<std::pair<Rank, PromptPartId>> ranked;
  ranked.reserve(parts->size());
  for (const PromptPartId part : *parts) {
    const Rank rank(CountAgainst(part), !LastSound(part).has_value());
    ranked.emplace_back(rank, part);
  }
  std::stable_sort(
      ranked.begin(), ranked.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  for (std::size_t i = kMaxParts; i < ranked.size(); ++i) {
    parts->erase(ranked[i].second);
  }
}

bool PartCrashes::IsCleared(PromptPartId part, TimePoint crashed_at) const {
  const auto sound_at = LastSound(part);
  return sound_at.has_value() && crashed_at <= *sound_at + kTimeTolerance;
}

bool PartCrashes::CountsAgainst(PromptPartId part,
                                const PartCrash& crash) const {
  return clock_() - crash.at <= kRetention && !IsCleared(part, crash.at);
}

std::size_t PartCrashes::CountAgainst(PromptPartId part) const {
  return static_cast<std::size_t>(std::count_if(
      records_.begin(), records_.end(), [&](const Records::value_type& entry) {
        const PartCrash& crash = entry.second;
        return crash.parts.count(part) != 0 && CountsAgainst(part, crash);
      }));
}

bool PartCrashes::HasExplanation(const PartCrash& crash) const {
  return std::any_of(crash.parts.begin(), crash.parts.end(), explains_);
}

bool PartCrashes::IsUnexplained(const PartCrash& crash) const {
  return !HasExplanation(crash) &&
         std::any_of(
             crash.parts.begin(), crash.parts.end(),
             [&](PromptPartId part) { return CountsAgainst(part, crash); });
}

PartCrashes::Suspects PartCrashes::FindSuspects() const {
  return Collect(false);
}

PartCrashes::Suspects PartCrashes::FindUnexplainedSuspects() const {
  return Collect(true);
}

PartCrashes::Suspects PartCrashes::Collect(bool only_unexplained) const {
  Suspects suspects;
  for (const auto& [id, crash] : records_) {
    if (only_unexplained && HasExplanation(crash)) {
      continue;
    }
    for (const PromptPartId part : crash.parts) {
      if (CountsAgainst(part, crash)) {
        suspects[part].push_back(crash.at);
      }
    }
  }
  for (auto& [part, times] : suspects) {
    std::sort(times.begin(), times.end());
  }
  return suspects;
}

const PartCrash* PartCrashes::Find(const EndpointCrash& crash) const {
  const auto found = records_.find(crash);
  return found == records_.end() ? nullptr : &found->second;
}

void PartCrashes::Sweep() {
  const TimePoint now = clock_();
  for (auto it = records_.begin(); it != records_.end();) {
    it = now - it->second.at > kRetention ? records_.erase(it) : std::next(it);
  }
}

}  // namespace harecrank
