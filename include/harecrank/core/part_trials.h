// The trials of a held part of prompts: which host may send a prompt with the
// part to an endpoint all the same, and when.
//
// Each trial has one owner among the hosts. A host that holds a part chooses
// the owners, and tells the others with the hold. Hosts that chose differently
// agree on one choice once they hear of each other, long before the first
// trial is due, and no host chooses again later: hosts that join, leave or are
// unknown to some do not change the owners. A trial whose owner has ended is
// never run.

#ifndef HARECRANK_CORE_PART_TRIALS_H_
#define HARECRANK_CORE_PART_TRIALS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "harecrank/core/clock.h"
#include "harecrank/core/prompt_parts.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// Number of trials of a held part.
inline constexpr std::size_t kPartTrials = 3;

// What hosts tell each other about the trials of a held part.
struct PartTrials {
  // The owner of each trial; if there are fewer than trials, the first ones own
  // several. Empty if no host may run any.
  std::vector<HostAddress> owners;
  // Whether each trial has been run.
  std::array<bool, kPartTrials> run{};

  friend bool operator==(const PartTrials& a, const PartTrials& b) {
    return a.owners == b.owners && a.run == b.run;
  }
};

// Returns the trials of `part`, owned by some of `hosts`. Hosts with equal
// `hosts` choose the same owners.
PartTrials ChooseTrials(PromptPartId part,
                        const std::vector<HostAddress>& hosts);

// Combines what two hosts know. The result does not depend on the order, and
// merging the same value again changes nothing.
PartTrials MergeTrials(const PartTrials& a, const PartTrials& b);

// Returns a digest of `trials`. Equal trials have equal digests.
std::uint64_t DigestOf(const PartTrials& trials);

// The trials of one held part, as one host runs them. Not thread-safe.
class PartTrialSchedule {
 public:
  PartTrialSchedule(PartTrials trials, TimePoint held_at);

  const PartTrials& Trials() const { return trials_; }
  TimePoint HeldAt() const { return held_at_; }

  // Merges what another host knows, which holds the part since `held_at`.
  // Returns whether the trials have changed.
  bool Merge(const PartTrials& trials, TimePoint held_at);

  // Returns whether a trial that `self` owns is due.
  bool IsDue(const HostAddress& self, TimePoint now) const {
    return DueTrial(self, now).has_value();
  }

  // Reserves the trial that is due. Returns false if there is none. Each
  // reservation ends with OnSent or Cancel.
  bool Reserve(const HostAddress& self, TimePoint now);
  void OnSent() { reserved_.reset(); }
  // Returns the reserved trial, of which nothing was sent.
  void Cancel();

  // Times from the hold to its trials. By the first, answers that were in
  // progress have proved the part sound if it is. The first is also the
  // shortest time between two trials, so that the result of one is known
  // before the next.
  static constexpr std::array<Millis, kPartTrials> kDelays{
      Millis(1700), Millis(15000), Millis(120000)};

 private:
  std::optional<std::size_t> DueTrial(const HostAddress& self,
                                      TimePoint now) const;

  PartTrials trials_;
  TimePoint held_at_;
  std::optional<TimePoint> last_reserved_at_;
  std::optional<std::size_t> reserved_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_PART_TRIALS_H_
