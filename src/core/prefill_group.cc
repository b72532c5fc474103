#include "harecrank/core/prefill_group.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace harecrank {
namespace {

// The share of an engine's memory that is given away. Answers grow longer than
// the callers guess.
constexpr double kMemoryShare = 0.92;
// From this pace on an engine counts as slow among readers: a part on it takes
// as much longer, and the first token follows the last part.
constexpr double kSlowPace = 1.5;
// Gaps of at most this multiple of the tightest count as tight.
constexpr double kTightFactor = 1.5;

// Where a part is laid, the best first.
enum class EngineUse { kIdle, kBesideLong, kBesideShort };

EngineUse EngineUseOf(const EngineCandidate& candidate) {
  if (candidate.reserved_for_short || candidate.load.short_requests > 0) {
    return EngineUse::kBesideShort;
  }
  return candidate.load.long_requests > 0 ? EngineUse::kBesideLong
                                          : EngineUse::kIdle;
}

// Chooses for one prompt.
class PrefillGroupChooser {
 public:
  PrefillGroupChooser(const EngineProfile& engine,
                      const PlacementPolicy& policy, const LongPrompt& prompt)
      : engine_(engine),
        policy_(policy),
        prompt_(prompt),
        wanted_part_(std::max(FractionalMillis(1), policy.part_share_of_gap *
                                                       prompt.tightest_gap)) {}

  std::optional<PrefillGroup> Choose(
      const std::vector<EngineCandidate>& candidates) const {
    const std::vector<OpenEngine> open_engines = OpenEngines(candidates);
    const std::size_t max_count =
        std::min(open_engines.size(), kMaxHelpers + 1);
    const auto wanted_count = static_cast<std::size_t>(
        std::ceil(prompt_.prefill_time / wanted_part_));
    const FractionalMillis max_part = MaxPartTime();
    for (std::size_t count = std::min(wanted_count, max_count); count > 0;
         --count) {
      const FractionalMillis part = PartTime(count);
      if (part > std::max(max_part, wanted_part_)) {
        break;
      }
      std::vector<EngineCandidate> pool = EnginesThatAllow(open_engines, part);
      if (pool.size() >= count) {
        return GroupOf(std::move(pool), count);
      }
    }
    return std::nullopt;
  }

 private:
  struct OpenEngine {
    FractionalMillis part;
    const EngineCandidate* candidate;
  };

  FractionalMillis PartTime(std::size_t count) const {
    return prompt_.prefill_time / static_cast<double>(count);
  }

  std::vector<OpenEngine> OpenEngines(
      const std::vector<EngineCandidate>& candidates) const {
    std::vector<OpenEngine> open_engines;
    for (const EngineCandidate& candidate : candidates) {
      const bool is_prefilling = candidate.load.pending_prefills > 0;
      const bool has_backlog = candidate.load.prefill_backlog >
                               policy_.open_share_of_part * wanted_part_;
      if (is_prefilling ||
          (has_backlog && EngineUseOf(candidate) != EngineUse::kBesideShort)) {
        continue;
      }
      const FractionalMillis part =
          MaxPrefillPart(engine_, policy_, candidate, prompt_.tightest_gap);
      open_engines.push_back(OpenEngine{part, &candidate});
    }
    return open_engines;
  }

  static std::vector<EngineCandidate> EnginesThatAllow(
      const std::vector<OpenEngine>& open_engines, FractionalMillis part) {
    std::vector<EngineCandidate> pool;
    for (const OpenEngine& open_engine : open_engines) {
      if (open_engine.part >= part) {
        pool.push_back(*open_engine.candidate);
      }
    }
    return pool;
  }

  // Returns how long a part may take to read, given how much time is left.
  FractionalMillis MaxPartTime() const {
    if (!policy_.bound_late_parts && prompt_.until_late < FractionalMillis(0)) {
      return prompt_.prefill_time;
    }
    const FractionalMillis relaxed_limit = std::max(
        {policy_.part_stretch * wanted_part_,
         policy_.part_stretch * PartTime(kMaxHelpers + 1),
         FractionalMillis(policy_.part_share_of_target * prompt_.target)});
    const bool is_urgent =
        prompt_.until_late < policy_.hurry_share * prompt_.target;
    return is_urgent ? std::max(relaxed_limit,
                                FractionalMillis(policy_.time_share_used *
                                                 prompt_.until_late))
                     : relaxed_limit;
  }

  PrefillGroup GroupOf(std::vector<EngineCandidate> pool,
                       std::size_t count) const {
    // Short requests that peers have just placed are not known yet. They come
    // from the front of the shared order, so parts are laid from its end.
    std::sort(pool.begin(), pool.end(),
              [](const EngineCandidate& a, const EngineCandidate& b) {
                const auto cost = [](const EngineCandidate& c) {
                  return std::make_tuple(EngineUseOf(c), c.load.short_requests,
                                         c.pace >= kSlowPace, c.rank);
                };
                return cost(a) < cost(b);
              });
    const auto decode_engine = std::min_element(
        pool.begin(), pool.end(),
        [this](const EngineCandidate& a, const EngineCandidate& b) {
          return DecodeEngineCost(a) < DecodeEngineCost(b);
        });
    PrefillGroup group;
    group.decode_engine = *decode_engine;
    group.part = PartTime(count);
    pool.erase(decode_engine);
    pool.resize(count - 1);
    group.helpers = std::move(pool);
    return group;
  }

  // The least is best. One of the readers holds the memory, as far as it can,
  // and writes the answer. Writers are packed, so that other engines stay free
  // of streams that a large part would hold up.
  std::tuple<bool, bool, double, std::int64_t> DecodeEngineCost(
      const EngineCandidate& candidate) const {
    const EndpointLoad& load = candidate.load;
    const bool fits = !(FreeMemory(engine_, load) < prompt_.needed);
    const bool tight = IsTightGap(prompt_.gap, prompt_.tightest_gap);
    const bool beside_short = EngineUseOf(candidate) == EngineUse::kBesideShort;
    const bool full = load.long_requests >= policy_.packed_writers;
    const double packed = fits && !full ? load.long_requests : 0;
    return {!fits, tight != beside_short, -packed, load.memory.value};
  }

  const EngineProfile& engine_;
  const PlacementPolicy& policy_;
  const LongPrompt& prompt_;
  FractionalMillis wanted_part_;
};

}  // namespace

bool IsTightGap(FractionalMillis gap, FractionalMillis tightest_gap) {
  return gap <= kTightFactor * tightest_gap;
}

Tokens FreeMemory(const EngineProfile& engine, const EndpointLoad& load) {
  const auto usable = static_cast<std::int64_t>(
      kMemoryShare * static_cast<double>(engine.memory.value));
  return Tokens{std::max<std::int64_t>(0, usable - load.memory.value)};
}

FractionalMillis MaxPrefillPart(const EngineProfile& engine,
                                const PlacementPolicy& policy,
                                const EngineCandidate& candidate,
                                FractionalMillis tightest_gap) {
  const EndpointLoad& load = candidate.load;
  FractionalMillis gap = load.tightest_gap;
  if (candidate.reserved_for_short) {
    gap = tightest_gap;
  }
  if (gap <= FractionalMillis(0)) {
    return FractionalMillis::max();
  }
  const FractionalMillis pass =
      PassTime(engine, load.BatchSize() + 1, load.memory);
  return (policy.pause_share_of_gap * gap - pass) / candidate.pace -
         load.prefill_backlog;
}

std::optional<PrefillGroup> ChoosePrefillGroup(
    const EngineProfile& engine, const PlacementPolicy& policy,
    const LongPrompt& prompt, const std::vector<EngineCandidate>& candidates) {
  return PrefillGroupChooser(engine, policy, prompt).Choose(candidates);
}

}  // namespace harecrank
