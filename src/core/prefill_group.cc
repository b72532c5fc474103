#include "harecrank/core/prefill_group.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace harecrank {
namespace {

// Share of an engine's KV memory that may be assigned to requests. The rest is
// reserved for answers that grow longer than expected.
constexpr double kMemoryShare = 0.92;
// Engines whose slowdown is at least this are avoided for prefill. The first
// event comes only after the slowest part, so a slow engine delays the whole
// prompt.
constexpr double kSlowPace = 1.5;
// A stream whose gap is at most this multiple of the tightest gap is treated as
// a stream with a tight gap.
constexpr double kTightFactor = 1.5;

// What an engine is used for at present. Parts of long prompts are preferably
// placed on idle engines, then on engines with long requests, and last on
// engines with short requests.
enum class EngineUse { kIdle, kLongRequests, kShortRequests };

EngineUse EngineUseOf(const EngineCandidate& candidate) {
  if (candidate.reserved_for_short || candidate.load.short_requests > 0) {
    return EngineUse::kShortRequests;
  }
  return candidate.load.long_requests > 0 ? EngineUse::kLongRequests
                                          : EngineUse::kIdle;
}

// Returns the prefill time of each of `count` equal parts of the prompt.
FractionalMillis PartTime(const LongPrompt& prompt, std::size_t count) {
  return prompt.prefill_time / static_cast<double>(count);
}

// Returns the cost of decoding on `candidate`; the engine with the lowest cost
// decodes. That engine also holds the request's KV memory as far as it fits.
// Long requests are packed onto few engines, so that the other engines have no
// streams that a large part would stall.
std::tuple<bool, bool, bool, double, std::int64_t> DecodeEngineCost(
    const EngineProfile& engine, const PlacementPolicy& policy,
    const LongPrompt& prompt, const EngineCandidate& candidate) {
  const EndpointLoad& load = candidate.load;
  const bool fits = !(FreeMemory(engine, load) < prompt.needed);
  const bool tight = IsTightGap(prompt.gap, prompt.tightest_gap);
  const bool has_short_requests =
      EngineUseOf(candidate) == EngineUse::kShortRequests;
  const bool full = load.long_requests >= policy.packed_writers;
  const double packed = fits && !full ? load.long_requests : 0;
  return {!fits, candidate.has_later_part, tight != has_short_requests, -packed,
          load.memory.value};
}

// An engine that can take a part of the prompt, and the longest prefill time of
// a part that its streams tolerate.
struct OpenEngine {
  FractionalMillis part;
  const EngineCandidate* candidate;
};

// Returns the engines that can take a part of the prompt. Skips engines that
// are not open.
std::vector<OpenEngine> OpenEngines(
    const EngineProfile& engine, const PlacementPolicy& policy,
    const LongPrompt& prompt, const std::vector<EngineCandidate>& candidates) {
  std::vector<OpenEngine> open_engines;
  for (const EngineCandidate& candidate : candidates) {
    if (!IsOpen(policy, prompt, candidate)) {
      continue;
    }
    const FractionalMillis part =
        MaxPrefillPart(engine, policy, candidate, prompt.tightest_gap);
    open_engines.push_back(OpenEngine{part, &candidate});
  }
  return open_engines;
}

// Returns the engines whose streams tolerate a prefill of duration `part`.
std::vector<EngineCandidate> EnginesThatAllow(
    const std::vector<OpenEngine>& open_engines, FractionalMillis part) {
  std::vector<EngineCandidate> pool;
  for (const OpenEngine& open_engine : open_engines) {
    if (open_engine.part >= part) {
      pool.push_back(*open_engine.candidate);
    }
  }
  return pool;
}

}  // namespace

bool IsTightGap(FractionalMillis gap, FractionalMillis tightest_gap) {
  return gap <= kTightFactor * tightest_gap;
}

Tokens FreeMemory(const EngineProfile& engine, const EndpointLoad& load) {
  const auto usable = static_cast<std::int64_t>(
      kMemoryShare * static_cast<double>(engine.memory.value));
  return Tokens{std::max<std::int64_t>(0, usable - load.memory.value)};
}

FractionalMillis MaxPartForGap(const EngineProfile& engine,
                               const PlacementPolicy& policy,
                               const EngineCandidate& candidate,
                               FractionalMillis gap) {
  const EndpointLoad& load = candidate.load;
  const FractionalMillis pass =
      PassTime(engine, load.BatchSize() + 1, load.memory);
  return (policy.pause_share_of_gap * gap - pass) / candidate.pace -
         load.prefill_backlog;
}

FractionalMillis MaxPrefillPart(const EngineProfile& engine,
                                const PlacementPolicy& policy,
                                const EngineCandidate& candidate,
                                FractionalMillis tightest_gap) {
  FractionalMillis gap = candidate.load.tightest_gap;
  if (candidate.reserved_for_short) {
    gap = tightest_gap;
  }
  if (gap <= FractionalMillis(0)) {
    return FractionalMillis::max();
  }
  return MaxPartForGap(engine, policy, candidate, gap);
}

bool IsOpen(const PlacementPolicy& policy, const LongPrompt& prompt,
            const EngineCandidate& candidate) {
  if (candidate.load.pending_prefills > 0) {
    return false;
  }
  const bool has_backlog =
      candidate.load.prefill_backlog >
      policy.open_share_of_part * PreferredPart(policy, prompt);
  return !has_backlog || EngineUseOf(candidate) == EngineUse::kShortRequests;
}

FractionalMillis PreferredPart(const PlacementPolicy& policy,
                               const LongPrompt& prompt) {
  return std::max(FractionalMillis(1),
                  policy.part_share_of_gap * prompt.tightest_gap);
}

FractionalMillis LongestPart(const PlacementPolicy& policy,
                             const LongPrompt& prompt) {
  if (!policy.bound_late_parts && prompt.until_late < FractionalMillis(0)) {
    return prompt.prefill_time;
  }
  const FractionalMillis relaxed_limit =
      std::max({policy.part_stretch * PreferredPart(policy, prompt),
                policy.part_stretch * PartTime(prompt, kMaxHelpers + 1),
                FractionalMillis(policy.part_share_of_target * prompt.target)});
  const bool is_urgent = prompt.until_late < policy.hurry_share * prompt.target;
  return is_urgent
             ? std::max(relaxed_limit, FractionalMillis(policy.time_share_used *
                                                        prompt.until_late))
             : relaxed_limit;
}

PrefillGroup FormGroup(const EngineProfile& engine,
                       const PlacementPolicy& policy, const LongPrompt& prompt,
                       std::vector<EngineCandidate> pool, std::size_t count) {
  // This host does not know yet which short requests other hosts have just
  // placed. Short requests are placed from the front of the shared engine
  // order, so parts of long prompts are placed from its end.
  std::sort(pool.begin(), pool.end(),
            [](const EngineCandidate& a, const EngineCandidate& b) {
              const auto cost = [](const EngineCandidate& c) {
                return std::make_tuple(EngineUseOf(c), c.load.short_requests,
                                       c.pace >= kSlowPace, c.rank);
              };
              return cost(a) < cost(b);
            });
  const auto decode_engine =
      std::min_element(pool.begin(), pool.end(),
                       [&](const EngineCandidate& a, const EngineCandidate& b) {
                         return DecodeEngineCost(engine, policy, prompt, a) <
                                DecodeEngineCost(engine, policy, prompt, b);
                       });
  PrefillGroup group;
  group.decode_engine = *decode_engine;
  group.part = PartTime(prompt, count);
  pool.erase(decode_engine);
  pool.resize(count - 1);
  group.helpers = std::move(pool);
  return group;
}

std::optional<PrefillGroup> ChoosePrefillGroup(
    const EngineProfile& engine, const PlacementPolicy& policy,
    const LongPrompt& prompt, const std::vector<EngineCandidate>& candidates) {
  const std::vector<OpenEngine> open_engines =
      OpenEngines(engine, policy, prompt, candidates);
  const std::size_t max_count = std::min(open_engines.size(), kMaxHelpers + 1);
  const FractionalMillis preferred_part = PreferredPart(policy, prompt);
  const auto preferred_count =
      static_cast<std::size_t>(std::ceil(prompt.prefill_time / preferred_part));
  const FractionalMillis longest_part =
      std::max(LongestPart(policy, prompt), preferred_part);
  // Splits the prompt into as many parts as possible, up to the preferred
  // number, such that there are enough engines whose streams tolerate a part of
  // the resulting size.
  for (std::size_t count = std::min(preferred_count, max_count); count > 0;
       --count) {
    const FractionalMillis part = PartTime(prompt, count);
    if (part > longest_part) {
      break;
    }
    std::vector<EngineCandidate> pool = EnginesThatAllow(open_engines, part);
    if (pool.size() >= count) {
      return FormGroup(engine, policy, prompt, std::move(pool), count);
    }
  }
  return std::nullopt;
}

}  // namespace harecrank
