// Which engines read a long prompt together, and which of them writes.
//
// An engine reads a part of a prompt between two events of its streams, which
// all pause for as long. So each engine has a largest part that is harmless
// there, by the streams that it has under way; a prompt is cut into parts that
// are harmless at as many engines as it is cut for.

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

// The most helpers that engines take for one request.
inline constexpr std::size_t kMaxHelpers = 16;

// An engine that may be chosen.
struct EngineCandidate {
  const EndpointRecord* record = nullptr;
  EndpointLoad load;
  // How much slower than published it is; one or more.
  double pace = 1;
  // The place in the order that all hosts share.
  std::uint64_t rank = 0;
  // Kept for short requests: streams with the tightest gap may join any time.
  bool reserved_for_short = false;
};

// The prompt that is to be read.
struct LongPrompt {
  // How long one engine alone reads it.
  FractionalMillis prefill_time{0};
  // KV memory that it needs up to its expected end.
  Tokens needed;
  FractionalMillis target{0};
  // What is left until the first event is late; negative if it is.
  FractionalMillis until_late{0};
  // The longest pause that keeps its own stream in time, and the shortest that
  // any stream of the service allows.
  FractionalMillis gap{0};
  FractionalMillis tightest_gap{0};
};

// The engines that read a prompt in even parts.
struct PrefillGroup {
  EngineCandidate decode_engine;
  std::vector<EngineCandidate> helpers;
  FractionalMillis part{0};
};

// Returns whether a stream with `gap` counts as one with the tightest gap of
// its service.
bool IsTightGap(FractionalMillis gap, FractionalMillis tightest_gap);

// Returns how much of an engine's memory may still be given away.
Tokens FreeMemory(const EngineProfile& engine, const EndpointLoad& load);

// Returns how long `candidate` may read without a stream there being late by
// the pause. Negative where any part is too much.
FractionalMillis MaxPrefillPart(const EngineProfile& engine,
                                const PlacementPolicy& policy,
                                const EngineCandidate& candidate,
                                FractionalMillis tightest_gap);

// Returns the engines that read `prompt`, or nothing if it has to wait.
std::optional<PrefillGroup> ChoosePrefillGroup(
    const EngineProfile& engine, const PlacementPolicy& policy,
    const LongPrompt& prompt, const std::vector<EngineCandidate>& candidates);

}  // namespace harecrank

#endif  // HARECRANK_CORE_PREFILL_GROUP_H_
