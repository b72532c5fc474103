#include "harecrank/core/engine_availability.h"

#include <algorithm>

namespace harecrank {
namespace {

TimePoint After(TimePoint now, FractionalMillis time) {
  return now + std::chrono::duration_cast<TimePoint::duration>(time);
}

// Returns the time until the prefill of an engine that is not open ends.
FractionalMillis UntilFree(const EngineProfile& engine,
                           const EngineCandidate& candidate) {
  const EndpointLoad& load = candidate.load;
  if (load.prefill_overrun > FractionalMillis(0)) {
    return std::max(FractionalMillis(EndpointLoads::kMinOverrun),
                    load.prefill_overrun);
  }
  const FractionalMillis pass =
      PassTime(engine, load.BatchSize() + 1, load.memory);
  return candidate.pace * (load.prefill_backlog + pass);
}

// Returns one limit for each of the different gaps of `streams`.
std::vector<PartLimit> LimitsOf(const EngineProfile& engine,
                                const PlacementPolicy& policy,
                                const EngineCandidate& candidate,
                                const std::vector<ActiveStream>& streams) {
  std::vector<PartLimit> limits;
  for (const ActiveStream& stream : streams) {
    const FractionalMillis part =
        MaxPartForGap(engine, policy, candidate, stream.gap);
    const auto same =
        std::find_if(limits.begin(), limits.end(),
                     [part](const PartLimit& l) { return l.max_part == part; });
    if (same == limits.end()) {
      limits.push_back(PartLimit{part, stream.end});
    } else {
      same->until = std::max(same->until, stream.end);
    }
  }
  return limits;
}

}  // namespace

EngineAvailability AvailabilityOf(const EngineProfile& engine,
                                  const PlacementPolicy& policy,
                                  const EngineCandidate& candidate,
                                  const std::vector<ActiveStream>& streams,
                                  FractionalMillis tightest_gap,
                                  TimePoint now) {
  EngineAvailability availability;
  LongPrompt any_prompt;
  any_prompt.tightest_gap = tightest_gap;
  const bool is_open = IsOpen(policy, any_prompt, candidate);
  availability.free_at =
      is_open ? now : After(now, UntilFree(engine, candidate));
  if (is_open && !streams.empty()) {
    // The streams pause for the backlog and the part together.
    availability.limits.push_back(
        PartLimit{MaxPrefillPart(engine, policy, candidate, tightest_gap),
                  After(now, candidate.pace * candidate.load.prefill_backlog)});
  }
  EngineCandidate without_backlog = candidate;
  without_backlog.load.prefill_backlog = FractionalMillis(0);
  std::vector<PartLimit> limits =
      LimitsOf(engine, policy, without_backlog, streams);
  if (candidate.reserved_for_short) {
    limits.push_back(
        PartLimit{MaxPartForGap(engine, policy, without_backlog, tightest_gap),
                  TimePoint::max()});
  }
  availability.limits.insert(availability.limits.end(), limits.begin(),
                             limits.end());
  availability.candidate = candidate;
  return availability;
}

}  // namespace harecrank
