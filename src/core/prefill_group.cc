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
enum class Place { kIdle, kBesideLong, kBesideShort };

Place PlaceOf(const EngineCandidate& candidate) {
  if (candidate.reserved_for_short || candidate.load.short_requests > 0) {
    return Place::kBesideShort;
  }
  return candidate.load.long_requests > 0 ? Place::kBesideLong : Place::kIdle;
}

// Chooses for one prompt.
class ReaderChooser {
 public:
  ReaderChooser(const EngineProfile& engine, const PlacementPolicy& policy,
                const LongPrompt& prompt)
      : engine_(engine),
        policy_(policy),
        prompt_(prompt),
        wanted_part_(std::max(FractionalMillis(1), policy.part_share_of_gap *
                                                       prompt.tightest_gap)) {}

  std::optional<PrefillGroup> Choose(
      const std::vector<EngineCandidate>& candidates) const {
    const std::vector<Room> rooms = OpenRooms(candidates);
    const std::size_t most = std::min(rooms.size(), kMaxHelpers + 1);
    const auto wanted =
        static_cast<std::size_t>(std::ceil(prompt_.whole / wanted_part_));
    const FractionalMillis allowed = PartAllowed();
    for (std::size_t count = std::min(wanted, most); count > 0; --count) {
      const FractionalMillis part = PartOf(count);
      if (part > std::max(allowed, wanted_part_)) {
        break;
      }
      std::vector<EngineCandidate> pool = Harmless(rooms, part);
      if (pool.size() >= count) {
        return GroupOf(std::move(pool), count);
      }
    }
    return std::nullopt;
  }

 private:
  struct Room {
    FractionalMillis part;
    const EngineCandidate* candidate;
  };

  FractionalMillis PartOf(std::size_t count) const {
    return prompt_.whole / static_cast<double>(count);
  }

  std::vector<Room> OpenRooms(
      const std::vector<EngineCandidate>& candidates) const {
    std::vector<Room> rooms;
    for (const EngineCandidate& candidate : candidates) {
      const bool reads = candidate.load.pending_prefills > 0;
      const bool behind = candidate.load.prefill_backlog >
                          policy_.open_share_of_part * wanted_part_;
      if (reads || (behind && PlaceOf(candidate) != Place::kBesideShort)) {
        continue;
      }
      const FractionalMillis part =
          MaxPrefillPart(engine_, policy_, candidate, prompt_.tightest_gap);
      rooms.push_back(Room{part, &candidate});
    }
    return rooms;
  }

  static std::vector<EngineCandidate> Harmless(const std::vector<Room>& rooms,
                                               FractionalMillis part) {
    std::vector<EngineCandidate> pool;
    for (const Room& room : rooms) {
      if (room.part >= part) {
        pool.push_back(*room.candidate);
      }
    }
    return pool;
  }

  // Returns how long a part may take to read, given how much time is left.
  FractionalMillis PartAllowed() const {
    if (!policy_.bound_late_parts && prompt_.until_late < FractionalMillis(0)) {
      return prompt_.whole;
    }
    const FractionalMillis calm = std::max(
        {policy_.part_stretch * wanted_part_,
         policy_.part_stretch * PartOf(kMaxHelpers + 1),
         FractionalMillis(policy_.part_share_of_target * prompt_.target)});
    const bool hurries =
        prompt_.until_late < policy_.hurry_share * prompt_.target;
    return hurries ? std::max(calm, FractionalMillis(policy_.time_share_used *
                                                     prompt_.until_late))
                   : calm;
  }

  PrefillGroup GroupOf(std::vector<EngineCandidate> pool,
                       std::size_t count) const {
    // Short requests that peers have just placed are not known yet. They come
    // from the front of the shared order, so parts are laid from its end.
    std::sort(pool.begin(), pool.end(),
              [](const EngineCandidate& a, const EngineCandidate& b) {
                const auto cost = [](const EngineCandidate& c) {
                  return std::make_tuple(PlaceOf(c), c.load.short_requests,
                                         c.pace >= kSlowPace, c.rank);
                };
                return cost(a) < cost(b);
              });
    const auto decode_engine = std::min_element(
        pool.begin(), pool.end(),
        [this](const EngineCandidate& a, const EngineCandidate& b) {
          return WriterCost(a) < WriterCost(b);
        });
    PrefillGroup group;
    group.decode_engine = *decode_engine;
    group.part = PartOf(count);
    pool.erase(decode_engine);
    pool.resize(count - 1);
    group.helpers = std::move(pool);
    return group;
  }

  // The least is best. One of the readers holds the memory, as far as it can,
  // and writes the answer. Writers are packed, so that other engines stay free
  // of streams that a large part would hold up.
  std::tuple<bool, bool, double, std::int64_t> WriterCost(
      const EngineCandidate& candidate) const {
    const EndpointLoad& load = candidate.load;
    const bool fits = !(FreeMemory(engine_, load) < prompt_.needed);
    const bool tight = IsTightGap(prompt_.gap, prompt_.tightest_gap);
    const bool beside_short = PlaceOf(candidate) == Place::kBesideShort;
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
  const auto most = static_cast<std::int64_t>(
      kMemoryShare * static_cast<double>(engine.memory.value));
  return Tokens{std::max<std::int64_t>(0, most - load.memory.value)};
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
  return ReaderChooser(engine, policy, prompt).Choose(candidates);
}

}  // namespace harecrank
