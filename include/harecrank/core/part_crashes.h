// Records which parts of prompts endpoints were starting when they crashed.

#ifndef HARECRANK_CORE_PART_CRASHES_H_
#define HARECRANK_CORE_PART_CRASHES_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "harecrank/core/clock.h"
#include "harecrank/core/endpoint_crash.h"
#include "harecrank/core/part_history.h"
#include "harecrank/core/prompt_parts.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// The parts that one endpoint was starting when it crashed.
struct PartCrash {
  TimePoint at{};
  std::set<PromptPartId> parts;
};

// A bounded set of crashes, and the history of parts. Only crashes after the
// begin of a part's last sound answer count against it. Not thread-safe.
class PartCrashes {
 public:
  using Records = std::map<EndpointCrash, PartCrash>;
  using PartPredicate = std::function<bool(PromptPartId part)>;
  // The times, in order, of the crashes that count against each part.
  using Suspects = std::map<PromptPartId, std::vector<TimePoint>>;

  // `explains` returns whether a part is known to be the cause of the crashes
  // in which it occurs.
  PartCrashes(PartPredicate explains, MonotonicClock clock);

  // Adds `parts` to the record of the crash, which is created if necessary.
  // Returns the parts that were added.
  std::vector<PromptPartId> Record(const EndpointCrash& crash, TimePoint at,
                                   const std::vector<PromptPartId>& parts);

  void OnSent(PromptPartId part) { history_.OnSent(part); }
  void OnSound(PromptPartId part, TimePoint began) {
    history_.OnSound(part, began);
  }
  std::uint64_t SentCount(PromptPartId part) const {
    return history_.SentCount(part);
  }
  std::optional<TimePoint> LastSound(PromptPartId part) const {
    return history_.LastSound(part);
  }

  // Returns whether a sound answer to a prompt with `part` clears the part of a
  // crash at `crashed_at`.
  bool IsCleared(PromptPartId part, TimePoint crashed_at) const;
  // Returns whether the crash counts against `part`, which it must contain.
  bool CountsAgainst(PromptPartId part, const PartCrash& crash) const;
  // Returns the number of crashes that count against `part`.
  std::size_t CountAgainst(PromptPartId part) const;

  // Returns the parts against which crashes count, among all crashes or among
  // those that have no part for which `explains` is true.
  Suspects FindSuspects() const;
  Suspects FindUnexplainedSuspects() const;

  // Returns whether the crash counts against a part, and no part explains it.
  bool IsUnexplained(const PartCrash& crash) const;

  const Records& All() const { return records_; }
  const PartCrash* Find(const EndpointCrash& crash) const;

  // Removes crashes that count no more.
  void Sweep();

  // A sound answer also clears the crashes so long after its begin. Hosts learn
  // of each other's crashes late, by their own clocks.
  static constexpr Millis kTimeTolerance{200};
  // How long crashes count against a part.
  static constexpr Millis kRetention{600000};
  // Maximum number of recorded crashes. Beyond it, those go first that count
  // against nobody or are explained, then the oldest.
  static constexpr std::size_t kMaxRecords = 64;
  // Maximum number of parts in one record. Beyond it, those stay first that
  // occur in other crashes, then those that were never answered.
  static constexpr std::size_t kMaxParts = 64;

 private:
  bool HasExplanation(const PartCrash& crash) const;
  void MakeRoom();
  void LimitParts(std::set<PromptPartId>* parts) const;
  Suspects Collect(bool only_unexplained) const;

  PartPredicate explains_;
  MonotonicClock clock_;
  PartHistory history_;
  Records records_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_PART_CRASHES_H_
