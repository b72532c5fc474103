// Timetable of the prefill time of the engines of one service.
//
// A long prompt is prefilled by several engines that must begin at the same
// time (prefill_group.h). If it starts only when enough engines happen to be
// free at once, shorter prompts that need fewer engines keep taking each engine
// that becomes free, and the longest prompts wait until they are late. The
// timetable predicts when each engine is free, finds the group of engines with
// the earliest first event, now or later, and holds the chosen span of time on
// these engines. Other prompts are backfilled: they may use an engine before a
// reservation on it begins if their part ends by then.
//
// A timetable is built anew for each pass over the waiting prompts, from the
// loads and the health of the engines at that moment. Reservations therefore
// move by themselves when work ends early or late, or when an engine leaves.

#ifndef HARECRANK_CORE_ENGINE_TIMETABLE_H_
#define HARECRANK_CORE_ENGINE_TIMETABLE_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "harecrank/core/clock.h"
#include "harecrank/core/placement_policy.h"
#include "harecrank/core/prefill_group.h"
#include "harecrank/core/routing_table.h"

namespace harecrank {

// Limit on the size of prompt parts on one engine, caused by streams that must
// not pause for longer than their gap.
struct PartLimit {
  // Longest prefill time of a part while the streams last.
  FractionalMillis max_part{0};
  // Predicted end of the last of these streams; TimePoint::max() if the limit
  // is permanent.
  TimePoint until{};
};

// When and for how large a part an engine is available.
struct EngineAvailability {
  EngineCandidate candidate;
  // Predicted end of the prefill work that was sent to the engine, at its
  // observed pace. In the past if the engine is free.
  TimePoint free_at{};
  // Limits by streams with different gaps.
  std::vector<PartLimit> limits;
};

// The engines planned for a long prompt, and when they prefill it.
struct PlannedGroup {
  PrefillGroup group;
  TimePoint start{};
  // Predicted time of the first event, at the end of the slowest part.
  TimePoint prefill_end{};
};

// The start of the first part that is planned for later on each engine that has
// one.
using PlannedStarts = std::unordered_map<EndpointId, TimePoint>;

// Returns whether a prompt may be sent to an endpoint.
using EndpointFilter = std::function<bool(const EndpointRecord& record)>;

// Predicts when engines are free and holds reservations on them. Not
// thread-safe.
class EngineTimetable {
 public:
  // `engine` and `policy` must outlive the timetable.
  EngineTimetable(const EngineProfile* engine, const PlacementPolicy* policy,
                  TimePoint now, std::vector<EngineAvailability> engines);

  // Returns the group with the earliest end of the prefill among all group
  // sizes, with a start at `not_before` or later, on engines that `may_use`
  // accepts (all if it is empty). Returns nothing if the memory of no group can
  // hold the prompt, or if no engine ever tolerates a part of it.
  std::optional<PlannedGroup> EarliestGroup(
      const LongPrompt& prompt, TimePoint not_before,
      const EndpointFilter& may_use) const;

  // Reserves the engines of `planned` from its start to the end of its prefill.
  void Reserve(const PlannedGroup& planned);

  // Returns the start of the first reservation on the engine, or nothing if it
  // has none.
  std::optional<TimePoint> ReservedFrom(const EndpointId& engine) const;

  // Returns the starts of the reservations that begin after Now().
  PlannedStarts LaterStarts() const;

  // Returns whether `may_use` accepts any engine.
  bool HasEngineFor(const EndpointFilter& may_use) const;

  std::size_t EngineCount() const { return engines_.size(); }
  TimePoint Now() const { return now_; }

 private:
  // The time from `begin` to `end`.
  struct Span {
    TimePoint begin;
    TimePoint end;
  };
  struct Engine {
    EngineAvailability availability;
    // Time from the start of a part to its first event beyond its prefill time.
    FractionalMillis until_event{0};
    // Reservations, in the order of time. They do not overlap.
    std::vector<Span> reserved;
  };

  // A number of parts of the same size that begin at the same time.
  struct Parts {
    FractionalMillis size{0};
    std::size_t count = 0;
    // Earliest and latest start.
    TimePoint not_before{};
    TimePoint not_after = TimePoint::max();
  };

  // Returns the time from the start of a part of `size` to its first event on
  // the engine, at its observed pace.
  static TimePoint::duration DurationOn(const Engine& engine,
                                        FractionalMillis size);
  // Adds the spans in which one of `parts` may begin on the engine, in the
  // order of time.
  static void AddStartSpans(const Engine& engine, const Parts& parts,
                            std::vector<Span>* spans);
  // Returns the earliest time at which `parts` may begin on `engines`, or
  // nothing if there is none.
  static std::optional<TimePoint> EarliestStart(
      const std::vector<const Engine*>& engines, const Parts& parts);
  // Returns the index of the candidate's engine in `engines_`.
  std::size_t IndexOf(const EngineCandidate& candidate) const;
  // Returns the group of `count` engines that begin at `start`, or nothing if
  // their memory cannot hold the prompt.
  std::optional<PlannedGroup> GroupAt(const std::vector<const Engine*>& engines,
                                      const LongPrompt& prompt,
                                      std::size_t count, TimePoint start) const;

  const EngineProfile* engine_;
  const PlacementPolicy* policy_;
  TimePoint now_;
  std::vector<Engine> engines_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_ENGINE_TIMETABLE_H_
