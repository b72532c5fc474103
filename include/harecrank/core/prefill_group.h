// Chooses the engines that prefill a long prompt together, and the engine among
// them that decodes the answer.
//
// Each engine of the group prefills an equal part of the prompt. An engine
// prefills its part between two events of the streams that it decodes, and all
// these streams pause for that time. The gaps that the streams allow therefore
// limit the size of a part on that engine. A prompt is split into enough parts
// that no stream on the chosen engines pauses for longer than its gap.

#ifndef HARECRANK_CORE_PREFILL_GROUP_H_
#define HARECRANK_CORE_PREFILL_GROUP_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "harecrank/core/endpoint_directory.h"
#include "harecrank/core/endpoint_loads.h"
#include "harecrank/core/engine_pace.h"
#include "harecrank/core/placement_policy.h"
#include "harecrank/core/routing_table.h"

namespace harecrank {

// Maximum number of helper engines per request.
inline constexpr std::size_t kMaxHelpers = 16;

// An engine that may be chosen for a request, with its load and its place in
// the engine order.
struct EngineCandidate {
  const EndpointRecord* record = nullptr;
  EndpointLoad load;
  // Observed slowdown: the factor by which the engine is slower than its
  // published profile, at least 1.
  double pace = 1;
  // Rank in the engine order of placement.h. Engines with a higher rank come
  // first.
  std::uint64_t rank = 0;
  // Whether the engine is reserved for short requests. A stream with the
  // tightest gap may then start on it at any time.
  bool reserved_for_short = false;
  // Whether a part of another prompt is planned on the engine for later. A
  // stream that is decoded on it might not tolerate that part.
  bool has_later_part = false;
  // What recent requests show about the engine, and whether it should be given
  // a prompt now to find out whether it has recovered.
  EngineStanding standing = EngineStanding::kSound;
  bool trial_due = false;
};

// A prompt that is split among several engines.
struct LongPrompt {
  // Prefill time of the whole prompt on a single engine.
  FractionalMillis prefill_time{0};
  // KV memory, in tokens, that the request needs at the expected end of the
  // answer.
  Tokens needed;
  // Latency target for the first event.
  FractionalMillis target{0};
  // Time left until the first event is late; negative once it is late.
  FractionalMillis until_late{0};
  // Inter-token gap that the target of the prompt's own stream allows, and the
  // shortest inter-token gap that the target of any route to the service
  // allows.
  FractionalMillis gap{0};
  FractionalMillis tightest_gap{0};
};

// The engines chosen for a long prompt. Each of them prefills an equal part of
// it.
struct PrefillGroup {
  // The engine that decodes the answer. It prefills one part as well.
  EngineCandidate decode_engine;
  std::vector<EngineCandidate> helpers;
  // Prefill time of one part of the prompt.
  FractionalMillis part{0};
};

// Returns whether a stream with `gap` is treated like a stream with the
// tightest gap of its service.
bool IsTightGap(FractionalMillis gap, FractionalMillis tightest_gap);

// Returns how many tokens of an engine's KV memory can still be assigned to
// requests.
Tokens FreeMemory(const EngineProfile& engine, const EndpointLoad& load);

// Returns the longest prefill time of a part that `candidate` can take without
// making a stream with `gap` pause for too long. The result is negative if no
// prefill fits.
FractionalMillis MaxPartForGap(const EngineProfile& engine,
                               const PlacementPolicy& policy,
                               const EngineCandidate& candidate,
                               FractionalMillis gap);

// Returns the longest prefill time of a part that `candidate` can take without
// making any of its streams pause for too long. The result is negative if no
// prefill fits, and the maximum value if the engine has no streams and is not
// reserved for short requests.
FractionalMillis MaxPrefillPart(const EngineProfile& engine,
                                const PlacementPolicy& policy,
                                const EngineCandidate& candidate,
                                FractionalMillis tightest_gap);

// Returns whether a part of the prompt that is sent to the engine now starts at
// once. Engines that have a long prefill pending are not open. Neither are
// engines with a prefill backlog, unless they serve short requests: on these a
// backlog only reduces the maximum size of a part.
bool IsOpen(const PlacementPolicy& policy, const LongPrompt& prompt,
            const EngineCandidate& candidate);

// Returns the preferred prefill time of a part of a long prompt.
FractionalMillis PreferredPart(const PlacementPolicy& policy,
                               const LongPrompt& prompt);

// Returns the longest prefill time that a part of the prompt may have if it
// starts now, given the time left until the first event is late.
FractionalMillis LongestPart(const PlacementPolicy& policy,
                             const LongPrompt& prompt);

// Returns the group of the `count` engines of `pool` that suit the prompt best.
// `pool` must have at least `count` engines, and `count` must be positive.
PrefillGroup FormGroup(const EngineProfile& engine,
                       const PlacementPolicy& policy, const LongPrompt& prompt,
                       std::vector<EngineCandidate> pool, std::size_t count);

// Returns the engines that prefill `prompt`, or nothing if too few engines are
// available and the prompt has to wait.
std::optional<PrefillGroup> ChoosePrefillGroup(
    const EngineProfile& engine, const PlacementPolicy& policy,
    const LongPrompt& prompt, const std::vector<EngineCandidate>& candidates);

}  // namespace harecrank

#endif  // HARECRANK_CORE_PREFILL_GROUP_H_
