// Chooses the engines that prefill a long prompt together, and the one of them
// that decodes.
//
// Each engine of the group prefills an equal part of the prompt. It does so
// between two events of its streams, which all pause for that time. The streams
// on an engine therefore limit the size of a part there. A prompt is split into
// so many parts that enough engines can take one each without a stream
// exceeding its gap.

#ifndef HARECRANK_CORE_PREFILL_GROUP_H_
#define HARECRANK_CORE_PREFILL_GROUP_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "harecrank/core/endpoint_directory.h"
#include "harecrank/core/endpoint_loads.h"
#include "harecrank/core/placement_policy.h"
#include "harecrank/core/routing_table.h"

namespace harecrank {

// Most helpers per request.
inline constexpr std::size_t kMaxHelpers = 16;

// An engine that is considered for a request.
struct EngineCandidate {
  const EndpointRecord* record = nullptr;
  EndpointLoad load;
  // Observed slowdown: the factor by which the engine is slower than its
  // published profile, at least 1.
  double pace = 1;
  // Position in the engine order, highest first.
  std::uint64_t rank = 0;
  // Reserved for short requests: a stream with the tightest gap may start here
  // at any time.
  bool reserved_for_short = false;
};

// A prompt that is split among several engines.
struct LongPrompt {
  // Prefill time of the whole prompt on a single engine.
  FractionalMillis prefill_time{0};
  // KV memory needed at the expected end of the answer.
  Tokens needed;
  // Latency target of the first event.
  FractionalMillis target{0};
  // Time left until the first event is late; negative once it is late.
  FractionalMillis until_late{0};
  // Longest pause within the target of the prompt's own stream, and the
  // shortest such pause of any route to the service.
  FractionalMillis gap{0};
  FractionalMillis tightest_gap{0};
};

// Engines that each prefill an equal part of a prompt.
struct PrefillGroup {
  // Prefills a part as well.
  EngineCandidate decode_engine;
  std::vector<EngineCandidate> helpers;
  // Prefill time of one part.
  FractionalMillis part{0};
};

// Returns whether a stream with `gap` is treated as one with the tightest gap
// of its service.
bool IsTightGap(FractionalMillis gap, FractionalMillis tightest_gap);

// Returns the memory of an engine that can still be assigned.
Tokens FreeMemory(const EngineProfile& engine, const EndpointLoad& load);

// Returns the longest prefill that `candidate` can take without one of its
// streams exceeding its gap. Negative if no prefill fits; the maximum value if
// the engine has no streams.
FractionalMillis MaxPrefillPart(const EngineProfile& engine,
                                const PlacementPolicy& policy,
                                const EngineCandidate& candidate,
                                FractionalMillis tightest_gap);

// Returns the engines that prefill `prompt`, or nothing if it has to wait.
std::optional<PrefillGroup> ChoosePrefillGroup(
    const EngineProfile& engine, const PlacementPolicy& policy,
    const LongPrompt& prompt, const std::vector<EngineCandidate>& candidates);

}  // namespace harecrank

#endif  // HARECRANK_CORE_PREFILL_GROUP_H_
