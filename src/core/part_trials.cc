#include "harecrank/core/part_trials.h"

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>

#include "harecrank/core/rendezvous.h"

namespace harecrank {

PartTrials ChooseTrials(PromptPartId part,
                        const std::vector<HostAddress>& hosts) {
  std::vector<std::string> candidates;
  candidates.reserve(hosts.size());
  for (const HostAddress& host : hosts) {
    candidates.push_back(host.value);
  }
  PartTrials trials;
  for (std::string& owner :
       RendezvousTop(LogName(part), std::move(candidates), kPartTrials)) {
    trials.owners.push_back(HostAddress{std::move(owner)});
  }
  return trials;
}

PartTrials MergeTrials(const PartTrials& a, const PartTrials& b) {
  PartTrials merged;
  merged.owners = std::max(a.owners, b.owners);
  std::transform(a.run.begin(), a.run.end(), b.run.begin(), merged.run.begin(),
                 [](bool run_a, bool run_b) { return run_a || run_b; });
  return merged;
}

std::uint64_t DigestOf(const PartTrials& trials) {
  std::string text;
  for (const HostAddress& owner : trials.owners) {
    text += owner.value + ",";
  }
  for (const bool run : trials.run) {
    text += run ? '1' : '0';
  }
  return XXH3_64bits(text.data(), text.size());
}

PartTrialSchedule::PartTrialSchedule(PartTrials trials, TimePoint held_at)
    : trials_(std::move(trials)), held_at_(held_at) {}

bool PartTrialSchedule::Merge(const PartTrials& trials, TimePoint held_at) {
  held_at_ = std::min(held_at_, held_at);
  const PartTrials before =
      std::exchange(trials_, MergeTrials(trials_, trials));
  return !(trials_ == before);
}

std::optional<std::size_t> PartTrialSchedule::DueTrial(const HostAddress& self,
                                                       TimePoint now) const {
  const bool is_early = last_reserved_at_.has_value() &&
                        now - *last_reserved_at_ < kDelays.front();
  if (trials_.owners.empty() || reserved_.has_value() || is_early) {
    return std::nullopt;
  }
  for (std::size_t trial = 0; trial < kPartTrials; ++trial) {
    const HostAddress& owner = trials_.owners.at(trial % trials_.owners.size());
    if (owner == self && !trials_.run.at(trial) &&
        now - held_at_ >= kDelays.at(trial)) {
      return trial;
    }
  }
  return std::nullopt;
}

bool PartTrialSchedule::Reserve(const HostAddress& self, TimePoint now) {
  reserved_ = DueTrial(self, now);
  if (!reserved_.has_value()) {
    return false;
  }
  trials_.run.at(*reserved_) = true;
  last_reserved_at_ = now;
  return true;
}

void PartTrialSchedule::Cancel() {
  if (reserved_.has_value()) {
    trials_.run.at(*reserved_) = false;
    reserved_.reset();
    last_reserved_at_.reset();
  }
}

}  // namespace harecrank
