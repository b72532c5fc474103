// Quarantines parts of prompts that crash the endpoints that answer them.
//
// A part of a prompt may crash every endpoint that begins to answer a prompt
// with it. Callers send such prompts to any host, and no two of them are alike,
// so the crashes add up under the name of the part only. Harmless requests
// share the other parts, and are interrupted by the same crashes.
//
// What tells the parts apart is that harmless ones are also answered. An answer
// that its endpoint has completed, or continued long after its begin, proves
// all parts of its prompt sound, and no crash before its begin counts against
// them. Proofs take time, and crashes come quickly. Therefore:
// - A part that no endpoint has ever answered is held after a few crashes, one
//   that was answered before only after more of them.
// - Of several such parts, the one that was sent least often is held first, and
//   it explains the crashes in which it occurs: a part that many requests share
//   takes part in the crashes of all of them.
// - Whatever explains the crashes, a part is held if none of its answers has
//   survived for some time in which endpoints crashed.
//
// A held part is sent to endpoints only in trials, of which each has one owner
// among the hosts; see part_trials.h. A process runs none of a part that
// crashed endpoints before the process started, none while it may not know what
// the fleet held before, and none while most hosts of the fleet may be on the
// other side of a partition. Therefore the number of trials is bounded over all
// hosts, restarts and partitions.
//
// State is merged between hosts by union and by maximum time, so lost,
// duplicate or delayed messages do no harm. Nothing is persisted.

#ifndef HARECRANK_CORE_PART_QUARANTINE_H_
#define HARECRANK_CORE_PART_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "harecrank/core/clock.h"
#include "harecrank/core/endpoint_crash.h"
#include "harecrank/core/part_crashes.h"
#include "harecrank/core/part_evidence.h"
#include "harecrank/core/part_trials.h"
#include "harecrank/core/prompt_parts.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// Whether a request with certain parts may be sent to an endpoint.
enum class PartAdmission {
  kAdmitted,
  // It may be sent, as a trial of the one held part that it has.
  kTrial,
  kHeld
};

// Decides which parts of prompts this host may send to endpoints. Not
// thread-safe.
class PartQuarantine {
 public:
  // A part that is held from now on.
  struct NewHold {
    PromptPartId part;
    // Whether it was answered before. If so, requests in progress continue,
    // since their outcome shows whether the part is sound.
    bool was_known = false;
  };

  // The fleet as this host sees it.
  struct FleetView {
    // Returns the hosts that are alive, this one included.
    std::function<std::vector<HostAddress>()> alive_hosts;
    // Returns whether they are most hosts of the fleet.
    std::function<bool()> is_of_majority;
  };

  PartQuarantine(HostAddress self, FleetView fleet, MonotonicClock clock);

  // Notes that a prompt with `parts` was sent to an endpoint.
  void OnSent(const std::vector<PromptPartId>& parts);

  // Counts the crash of an endpoint that was starting a prompt with `parts`.
  // Returns what other hosts must be told.
  PartEvidence OnCrash(const EndpointCrash& crash,
                       const std::vector<PromptPartId>& parts);

  // Notes that an endpoint began an answer to a prompt with `parts` at `began`
  // and did not crash on it. Returns what other hosts must be told: nothing,
  // unless crashes counted against a part.
  PartEvidence OnSound(const std::vector<PromptPartId>& parts, TimePoint began);

  // Merges the evidence of another host. Returns what of it was new. Adds to
  // `missing` what this host knows and the sender lacks.
  PartEvidence Merge(const PartEvidence& evidence, PartEvidence* missing);

  // Returns whether a prompt with `parts` must not be sent to endpoints now.
  bool IsHeld(const std::vector<PromptPartId>& parts) const;

  // Must be called before each attempt. If the result is kTrial, a trial is
  // reserved, until either OnTrialSent or CancelTrial is called.
  PartAdmission TryAdmit(const std::vector<PromptPartId>& parts);
  // Records that this host now knows all parts that the fleet holds: the fleet
  // starts for the first time, or a host that knew them holds the same. After a
  // restart of all hosts nobody knows them, nor which trials were run, until
  // the holds have expired; this host runs no trials before.
  void SetKnowsAllHolds() { was_told_all_holds_ = true; }
  bool KnowsAllHolds() const;

  // Records that the reserved trial was sent to an endpoint. Returns what other
  // hosts must be told.
  PartEvidence OnTrialSent(const std::vector<PromptPartId>& parts);
  // Returns the reserved trial: the attempt reached no endpoint.
  void CancelTrial(const std::vector<PromptPartId>& parts);

  // Returns whether a held part that is not among `parts` explains the crash.
  bool IsExplained(const EndpointCrash& crash,
                   const std::vector<PromptPartId>& parts) const;

  // Returns the parts that have been held since the last call.
  std::vector<NewHold> TakeNewlyHeld();

  // Returns the evidence that a host needs that has missed all messages: the
  // held parts, and the crashes that count against others.
  PartEvidence SharedEvidence() const;
  // Returns a digest of the held parts and their trials; zero if there are
  // none. Hosts with equal digests need not exchange their evidence.
  std::uint64_t HeldDigest() const;

  // Forgets what is out of date.
  void Sweep();

  TimePoint Now() const { return clock_(); }

  std::size_t HeldCount() const { return holds_.size(); }
  bool IsHeld(PromptPartId part) const { return holds_.count(part) != 0; }
  const PartCrashes& Crashes() const { return crashes_; }
  std::optional<TimePoint> LastSound(PromptPartId part) const {
    return crashes_.LastSound(part);
  }

  // Number of crashes after which a part is held that has never been answered.
  // Two may be a coincidence.
  static constexpr std::size_t kNewPartCrashes = 3;
  // Crashes within this time may have one common cause outside the endpoints,
  // such as a loss of power, which interrupts all parts in use.
  static constexpr Millis kSimultaneous{100};
  // Number of crashes after which a part is held that has never been answered,
  // even if all of them were simultaneous.
  static constexpr std::size_t kNewPartSimultaneousCrashes = 5;
  // Number of crashes, no two of them simultaneous and none explained by a held
  // part, after which a part is held that was answered before.
  static constexpr std::size_t kKnownPartCrashes = 5;
  // Any part is held after as many crashes, whatever explains them, if they
  // extend over this time and none of its answers in between was sound. An
  // answer proves sound within less time, if endpoints are left at all.
  static constexpr Millis kProofTime{1500};
  // How long a part is held after its last crash.
  static constexpr Millis kHoldRetention{3600000};
  // Maximum number of held parts. Beyond it, the one whose last crash is the
  // oldest is released.
  static constexpr std::size_t kMaxHolds = 64;
  // Maximum number of crashes that SharedEvidence returns, so that they
  // fit into a datagram.
  static constexpr std::size_t kMaxSharedCrashes = 8;

 private:
  struct Hold {
    TimePoint first_crash{};
    TimePoint last_crash{};
    PartTrialSchedule trials;
  };
  using Holds = std::map<PromptPartId, Hold>;

  // Adds `parts` to the record of the crash. Returns those that were added.
  std::vector<PromptPartId> Record(const EndpointCrash& crash, TimePoint at,
                                   const std::vector<PromptPartId>& parts);
  // Holds the parts that the evidence condemns.
  void Judge();
  // Holds, of the parts that are condemned by crashes without an explanation,
  // the one that was sent least often. Returns false if there is none.
  bool HoldRarestCondemned();
  // Returns whether crashes at these times, which no held part explains,
  // suffice to hold the part.
  bool IsCondemned(PromptPartId part,
                   const std::vector<TimePoint>& crashes) const;
  // Returns whether crashes at these times, whatever explains them, suffice to
  // hold a part.
  static bool IsUnproven(const std::vector<TimePoint>& crashes);
  void HoldPart(PromptPartId part, const std::vector<TimePoint>& crashes);
  void AddHold(PromptPartId part, Hold hold);
  // Records a sound answer and releases the part if that contradicts its hold.
  // Returns whether crashes counted against the part.
  bool AddSound(PromptPartId part, TimePoint began);
  void MergeHold(const HeldPart& held, PartEvidence* news,
                 PartEvidence* missing);
  HeldPart Describe(PromptPartId part, const Hold& hold) const;
  // Returns whether this process may run trials of a part with this hold.
  bool MayTry(const Hold& hold) const;
  // Returns the only held part among `parts`; nothing if there is none or more
  // than one.
  std::optional<PromptPartId> OnlyHeld(
      const std::vector<PromptPartId>& parts) const;
  std::size_t CountHeld(const std::vector<PromptPartId>& parts) const;
  Millis AgeOf(TimePoint time) const;

  HostAddress self_;
  FleetView fleet_;
  MonotonicClock clock_;
  TimePoint started_at_;
  bool was_told_all_holds_ = false;
  Holds holds_;
  PartCrashes crashes_;
  std::vector<NewHold> newly_held_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_PART_QUARANTINE_H_
