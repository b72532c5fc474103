// Estimates by how much each engine is slower than its published profile, and
// which engines may be the cause of a slow group.
//
// Several engines prefill a long prompt together, and its first event follows
// the slowest of them (prefill_group.h). One slow engine therefore delays a
// whole group, and the first event does not tell which member it was. Each
// first event bounds the slowdown of all members from above, since every part
// was done by then: a fast group shows that all its members are sound. A slow
// group is charged to the members that nothing else has shown to be sound. If
// several remain, all of them are suspected for a short time, during which
// groups leave them out and single prompts test them.

#ifndef HARECRANK_CORE_ENGINE_PACE_H_
#define HARECRANK_CORE_ENGINE_PACE_H_

#include <unordered_map>
#include <vector>

#include "harecrank/core/clock.h"
#include "harecrank/core/engine_estimate.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// What recent requests show about an engine, from best to worst.
enum class EngineStanding {
  kSound,
  // A member of a slow group; the cause may be this engine or another member.
  kSuspected,
  // Several times as slow as its profile.
  kSlow,
  // Fails a share of its requests.
  kFailing
};

// The first event of a prompt, as observed by the host that sent the prompt.
struct PrefillObservation {
  // The engines that prefilled the prompt; the first one decodes the answer.
  std::vector<EndpointId> engines;
  // Observed by predicted time to the first event, as SlowdownOf() returns it.
  double slowdown = 1;
  // Time from sending the prompt to the first event.
  FractionalMillis taken{0};
  // Least time to the first event at the published speed: the prefill time of
  // the part of each engine; if there is only one engine and it has streams,
  // with the decoding of the same pass. Zero if it is not known.
  FractionalMillis part{0};
};

// Returns the ratio of the observed to the predicted time to a first event.
// Both are increased by a constant, below which the ratio would be mostly
// noise.
double SlowdownOf(FractionalMillis taken, FractionalMillis predicted);

// Returns the time to a first event, given SlowdownOf() and the predicted time.
FractionalMillis TimeTaken(double slowdown, FractionalMillis predicted);

// The observed slowdown and the standing of each engine. An estimate fades to 1
// while nothing is heard from the engine, so that every engine is tried again.
// Not thread-safe.
class EnginePace {
 public:
  // If not `judges_groups`, the slowdown of a group is charged to the engine
  // that decodes, estimates do not fade and every engine is sound.
  EnginePace(MonotonicClock clock, bool judges_groups);

  void OnFirstEvent(const PrefillObservation& observation);

  // Records that a prompt that was sent to `engines` `elapsed` ago has no first
  // event yet and is slower than predicted by at least `slowdown`, or that it
  // failed without naming the engine at fault. Ignored if not `judges_groups`.
  void OnGroupTrouble(const std::vector<EndpointId>& engines, double slowdown,
                      FractionalMillis elapsed);

  // Returns the estimate of observed over published prefill time; 1 if unknown.
  double Of(const EndpointId& id) const;

  // Returns the standing by pace, which is never kFailing.
  EngineStanding StandingOf(const EndpointId& id) const;

  // Returns when the engine was last charged or suspected; TimePoint{} if it
  // never was.
  TimePoint ChargedAt(const EndpointId& id) const;

  // Returns the engines that are known, in no particular order.
  std::vector<EndpointId> Engines() const;

  void Forget(const EndpointId& id) { states_.erase(id); }

  // Groups and suspected engines are charged only for first events that took at
  // least this multiple of the predicted time. The prediction includes the wait
  // behind other work, which is not known exactly.
  static constexpr double kClearlySlow = 2;
  // Slowdown from which an engine is kSlow.
  static constexpr double kSlow = 2;
  // An engine is shown to be sound if the first event came within this multiple
  // of PrefillObservation::part.
  static constexpr double kSoundBound = 2;
  // An engine that was shown to be sound up to this long before a slow group
  // was sent is not charged if other members of the group may be the cause.
  static constexpr Millis kSoundTime{1000};
  // For how long the first of several members of a slow group is suspected, and
  // by how much longer at least each further member is. They return one by one,
  // so that the next slow group tells which of them is slow.
  static constexpr Millis kSuspectTime{2000};
  static constexpr Millis kSuspectStep{250};
  // For how long after that an engine that was not shown to be sound is the
  // first one to be charged for a further slow group.
  static constexpr Millis kDoubtTime{15000};
  // Time in which the estimate fades by half while nothing is heard.
  static constexpr Millis kHalfLife{5000};

 private:
  struct State {
    double slowdown = 1;
    // Time of the last evidence about `slowdown`.
    TimePoint heard_at{};
    TimePoint sound_at{};
    TimePoint charged_at{};
    TimePoint suspected_until{};
  };

  // Returns the slowdown of `state` as it has faded since `heard_at`.
  double Current(const State& state) const;
  bool IsSuspected(const State& state) const;
  // Returns whether the engine was suspected and nothing has been heard since.
  bool IsDoubted(const State& state) const;
  // Records the first event of a prompt that one engine prefilled. `bound` is
  // an upper bound on the engine's slowdown.
  void Observe(const PrefillObservation& observation, double bound);
  void SetSlowdown(State* state, double slowdown);
  void MarkSound(State* state);
  // Charges the engines that may be the cause of a slow group that was sent at
  // `since`.
  void Charge(const std::vector<EndpointId>& engines, double slowdown,
              TimePoint since);
  // Returns the engines that may be the cause of a slow group. Empty if all
  // were shown to be sound since the group was sent.
  std::vector<State*> Suspects(const std::vector<EndpointId>& engines,
                               TimePoint since);

  MonotonicClock clock_;
  bool judges_groups_;
  std::unordered_map<EndpointId, State> states_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_ENGINE_PACE_H_
