#include "harecrank/core/part_quarantine.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace harecrank {
namespace {

// Number of crashes that count against a part from which on other hosts are
// told that it is sound. One crash alone condemns no part.
constexpr std::size_t kMinToldCrashes = 2;

bool Contains(const std::vector<PromptPartId>& parts, PromptPartId part) {
  return std::find(parts.begin(), parts.end(), part) != parts.end();
}

// Returns how many of `times`, which are in order, are not simultaneous with
// an earlier one.
std::size_t CountDistinct(const std::vector<TimePoint>& times) {
  std::size_t count = 0;
  TimePoint first{};
  for (const TimePoint time : times) {
    if (count == 0 || time - first >= PartQuarantine::kSimultaneous) {
      first = time;
      ++count;
    }
  }
  return count;
}

TimePoint::duration SpanOf(const std::vector<TimePoint>& times) {
  return times.back() - times.front();
}

}  // namespace

void Append(PartEvidence more, PartEvidence* evidence) {
  const auto move_to = [](auto* from, auto* to) {
    to->insert(to->end(), std::make_move_iterator(from->begin()),
               std::make_move_iterator(from->end()));
  };
  move_to(&more.crashes, &evidence->crashes);
  move_to(&more.sound, &evidence->sound);
  move_to(&more.held, &evidence->held);
}

PartQuarantine::PartQuarantine(HostAddress self, FleetView fleet,
                               MonotonicClock clock)
    : self_(std::move(self)),
      fleet_(std::move(fleet)),
      clock_(std::move(clock)),
      started_at_(clock_()),
      crashes_([this](PromptPartId part) { return holds_.count(part) != 0; },
               clock_) {}

void PartQuarantine::OnSent(const std::vector<PromptPartId>& parts) {
  for (const PromptPartId part : parts) {
    crashes_.OnSent(part);
  }
}

PartEvidence PartQuarantine::OnCrash(const EndpointCrash& crash,
                                     const std::vector<PromptPartId>& parts) {
  const std::vector<PromptPartId> added = Record(crash, clock_(), parts);
  if (added.empty()) {
    return {};
  }
  SuspectCrash report{crash, AgeOf(crashes_.Find(crash)->at), {}};
  for (const PromptPartId part : added) {
    report.parts.push_back(SuspectPart{part, std::nullopt});
    if (const auto sound_at = LastSound(part)) {
      report.parts.back().sound_age = AgeOf(*sound_at);
    }
  }
  Judge();
  return PartEvidence{{std::move(report)}, {}, {}};
}

PartEvidence PartQuarantine::OnSound(const std::vector<PromptPartId>& parts,
                                     TimePoint began) {
  PartEvidence told;
  for (const PromptPartId part : parts) {
    if (AddSound(part, began)) {
      told.sound.push_back(SoundPart{part, AgeOf(began)});
    }
  }
  return told;
}

bool PartQuarantine::AddSound(PromptPartId part, TimePoint began) {
  const std::size_t counted = crashes_.CountAgainst(part);
  crashes_.OnSound(part, began);
  const auto held = holds_.find(part);
  if (held != holds_.end() &&
      crashes_.IsCleared(part, held->second.last_crash)) {
    holds_.erase(held);
    return true;
  }
  return counted >= kMinToldCrashes && crashes_.CountAgainst(part) < counted;
}

PartEvidence PartQuarantine::Merge(const PartEvidence& evidence,
                                   PartEvidence* missing) {
  PartEvidence news;
  const TimePoint now = clock_();
  for (const SoundPart& sound : evidence.sound) {
    if (AddSound(sound.part, now - sound.age)) {
      news.sound.push_back(sound);
    }
  }
  for (const SuspectCrash& report : evidence.crashes) {
    std::vector<PromptPartId> parts;
    for (const SuspectPart& suspect : report.parts) {
      parts.push_back(suspect.part);
      if (suspect.sound_age.has_value()) {
        crashes_.OnSound(suspect.part, now - *suspect.sound_age);
      }
    }
    if (!Record(report.crash, now - report.age, parts).empty()) {
      news.crashes.push_back(report);
    }
  }
  for (const HeldPart& held : evidence.held) {
    MergeHold(held, &news, missing);
  }
  Judge();
  return news;
}

void PartQuarantine::MergeHold(const HeldPart& held, PartEvidence* news,
                               PartEvidence* missing) {
  const TimePoint now = clock_();
  const TimePoint last_crash = now - held.last_crash_age;
  if (crashes_.IsCleared(held.part, last_crash)) {
    missing->sound.push_back(
        SoundPart{held.part, AgeOf(*LastSound(held.part))});
    return;
  }
  const TimePoint first_crash = now - held.first_crash_age;
  const TimePoint held_at = now - held.held_for;
  bool is_news = false;
  if (holds_.count(held.part) == 0) {
    AddHold(held.part, Hold{first_crash, last_crash,
                            PartTrialSchedule(held.trials, held_at)});
    is_news = true;
  }
  Hold& hold = holds_.at(held.part);
  hold.first_crash = std::min(hold.first_crash, first_crash);
  hold.last_crash = std::max(hold.last_crash, last_crash);
  if (hold.trials.Merge(held.trials, held_at) || is_news) {
    news->held.push_back(Describe(held.part, hold));
  }
}

std::vector<PromptPartId> PartQuarantine::Record(
    const EndpointCrash& crash, TimePoint at,
    const std::vector<PromptPartId>& parts) {
  std::vector<PromptPartId> added = crashes_.Record(crash, at, parts);
  for (const PromptPartId part : added) {
    const auto held = holds_.find(part);
    if (held != holds_.end()) {
      held->second.last_crash = std::max(held->second.last_crash, at);
    }
  }
  return added;
}

void PartQuarantine::Judge() {
  // Bounded, since holds beyond kMaxHolds release others.
  for (std::size_t i = 0; i < kMaxHolds && HoldRarestCondemned(); ++i) {
  }
  for (const auto& [part, crashes] : crashes_.FindSuspects()) {
    if (IsUnproven(crashes)) {
      HoldPart(part, crashes);
    }
  }
}

bool PartQuarantine::HoldRarestCondemned() {
  const PartCrashes::Suspects suspects = crashes_.FindUnexplainedSuspects();
  const PartCrashes::Suspects::value_type* rarest = nullptr;
  for (const auto& suspect : suspects) {
    const bool is_rarer =
        rarest == nullptr ||
        crashes_.SentCount(suspect.first) < crashes_.SentCount(rarest->first);
    if (is_rarer && IsCondemned(suspect.first, suspect.second)) {
      rarest = &suspect;
    }
  }
  if (rarest == nullptr) {
    return false;
  }
  HoldPart(rarest->first, rarest->second);
  return true;
}

bool PartQuarantine::IsCondemned(PromptPartId part,
                                 const std::vector<TimePoint>& crashes) const {
  if (LastSound(part).has_value()) {
    return CountDistinct(crashes) >= kKnownPartCrashes;
  }
  return crashes.size() >= kNewPartSimultaneousCrashes ||
         (crashes.size() >= kNewPartCrashes &&
          SpanOf(crashes) >= kSimultaneous);
}

bool PartQuarantine::IsUnproven(const std::vector<TimePoint>& crashes) {
  return CountDistinct(crashes) >= kKnownPartCrashes &&
         SpanOf(crashes) >= kProofTime;
}

void PartQuarantine::HoldPart(PromptPartId part,
                              const std::vector<TimePoint>& crashes) {
  if (holds_.count(part) != 0) {
    return;
  }
  AddHold(part, Hold{crashes.front(), crashes.back(),
                     PartTrialSchedule(ChooseTrials(part, fleet_.alive_hosts()),
                                       clock_())});
}

void PartQuarantine::AddHold(PromptPartId part, Hold hold) {
  if (holds_.size() >= kMaxHolds) {
    holds_.erase(std::min_element(
        holds_.begin(), holds_.end(), [](const auto& a, const auto& b) {
          return a.second.last_crash < b.second.last_crash;
        }));
  }
  holds_.emplace(part, std::move(hold));
  newly_held_.push_back(NewHold{part, LastSound(part).has_value()});
}

bool PartQuarantine::KnowsAllHolds() const {
  return was_told_all_holds_ || clock_() - started_at_ >= kHoldRetention;
}

bool PartQuarantine::MayTry(const Hold& hold) const {
  // Processes that have ended may have run the trials, and so may the hosts
  // beyond a partition.
  return hold.first_crash >= started_at_ && KnowsAllHolds() &&
         fleet_.is_of_majority() && hold.trials.IsDue(self_, clock_());
}

std::size_t PartQuarantine::CountHeld(
    const std::vector<PromptPartId>& parts) const {
  return static_cast<std::size_t>(std::count_if(
      parts.begin(), parts.end(),
      [this](PromptPartId part) { return holds_.count(part) != 0; }));
}

std::optional<PromptPartId> PartQuarantine::OnlyHeld(
    const std::vector<PromptPartId>& parts) const {
  if (CountHeld(parts) != 1) {
    return std::nullopt;
  }
  return *std::find_if(parts.begin(), parts.end(), [this](PromptPartId part) {
    return holds_.count(part) != 0;
  });
}

bool PartQuarantine::IsHeld(const std::vector<PromptPartId>& parts) const {
  if (holds_.empty() || CountHeld(parts) == 0) {
    return false;
  }
  // A failed trial of two held parts would tell nothing.
  const auto held = OnlyHeld(parts);
  return !held.has_value() || !MayTry(holds_.at(*held));
}

PartAdmission PartQuarantine::TryAdmit(const std::vector<PromptPartId>& parts) {
  if (IsHeld(parts)) {
    return PartAdmission::kHeld;
  }
  const auto held = OnlyHeld(parts);
  if (!held.has_value()) {
    return PartAdmission::kAdmitted;
  }
  const bool reserved = holds_.at(*held).trials.Reserve(self_, clock_());
  return reserved ? PartAdmission::kTrial : PartAdmission::kHeld;
}

PartEvidence PartQuarantine::OnTrialSent(
    const std::vector<PromptPartId>& parts) {
  PartEvidence told;
  for (const PromptPartId part : parts) {
    const auto held = holds_.find(part);
    if (held != holds_.end()) {
      held->second.trials.OnSent();
      told.held.push_back(Describe(part, held->second));
    }
  }
  return told;
}

void PartQuarantine::CancelTrial(const std::vector<PromptPartId>& parts) {
  for (const PromptPartId part : parts) {
    const auto held = holds_.find(part);
    if (held != holds_.end()) {
      held->second.trials.Cancel();
    }
  }
}

HeldPart PartQuarantine::Describe(PromptPartId part, const Hold& hold) const {
  return HeldPart{part, AgeOf(hold.first_crash), AgeOf(hold.last_crash),
                  AgeOf(hold.trials.HeldAt()), hold.trials.Trials()};
}

bool PartQuarantine::IsExplained(const EndpointCrash& crash,
                                 const std::vector<PromptPartId>& parts) const {
  const PartCrash* record = crashes_.Find(crash);
  return record != nullptr &&
         std::any_of(record->parts.begin(), record->parts.end(),
                     [&](PromptPartId part) {
                       return holds_.count(part) != 0 && !Contains(parts, part);
                     });
}

std::vector<PartQuarantine::NewHold> PartQuarantine::TakeNewlyHeld() {
  return std::exchange(newly_held_, {});
}

PartEvidence PartQuarantine::SharedEvidence() const {
  PartEvidence shared;
  for (const auto& [part, hold] : holds_) {
    shared.held.push_back(Describe(part, hold));
  }
  for (const auto& [crash, record] : crashes_.All()) {
    if (shared.crashes.size() == kMaxSharedCrashes) {
      break;
    }
    if (!crashes_.IsUnexplained(record)) {
      continue;
    }
    SuspectCrash report{crash, AgeOf(record.at), {}};
    for (const PromptPartId part : record.parts) {
      if (crashes_.CountsAgainst(part, record)) {
        report.parts.push_back(SuspectPart{part, std::nullopt});
      }
    }
    shared.crashes.push_back(std::move(report));
  }
  return shared;
}

std::uint64_t PartQuarantine::HeldDigest() const {
  std::uint64_t digest = 0;
  for (const auto& [part, hold] : holds_) {
    // XOR makes the digest independent of the order in which parts were held.
    digest ^= XXH3_64bits_withSeed(&part.value, sizeof(part.value),
                                   DigestOf(hold.trials.Trials()));
  }
  return digest;
}

void PartQuarantine::Sweep() {
  crashes_.Sweep();
  const TimePoint now = clock_();
  for (auto it = holds_.begin(); it != holds_.end();) {
    it = now - it->second.last_crash > kHoldRetention ? holds_.erase(it)
                                                      : std::next(it);
  }
}

Millis PartQuarantine::AgeOf(TimePoint time) const {
  return std::chrono::duration_cast<Millis>(clock_() - time);
}

}  // namespace harecrank
