// The functions of Placer that place long prompts.

#include <algorithm>
#include <utility>

#include "harecrank/core/engine_availability.h"
#include "harecrank/core/placement.h"
#include "harecrank/core/unsound_engines.h"

namespace harecrank {
namespace {

bool HasTightGap(const PlacementRequest& request) {
  return IsTightGap(FractionalMillis(request.target_gap),
                    FractionalMillis(request.tightest_gap));
}

}  // namespace

LongPrompt LongPromptOf(const PlacementRequest& request) {
  LongPrompt prompt;
  prompt.prefill_time = PrefillTime(*request.service->engine, request.prompt);
  prompt.needed = request.prompt + request.answer;
  prompt.target = FractionalMillis(request.target_latency);
  prompt.until_late = request.until_late;
  prompt.gap = FractionalMillis(request.target_gap);
  prompt.tightest_gap = FractionalMillis(request.tightest_gap);
  return prompt;
}

PlacementResult Placer::ChooseLong(const PlacementRequest& request,
                                   std::vector<EngineCandidate> ranked) const {
  const EngineProfile& engine = *request.service->engine;
  MarkReservedForShort(engine, &ranked);
  LeaveOutUnsound(&ranked);
  const std::optional<PrefillGroup> group =
      ChoosePrefillGroup(engine, policy_, LongPromptOf(request), ranked);
  if (!group.has_value()) {
    return EnginesBusy{};
  }
  std::optional<Placement> placement = PlaceOn(request, *group);
  if (!placement.has_value()) {
    return EnginesBusy{};
  }
  return *std::move(placement);
}

void Placer::MarkReservedForShort(const EngineProfile& engine,
                                  std::vector<EngineCandidate>* ranked) const {
  const std::size_t reserved =
      std::min(EnginesForShort(engine, ranked->size()), ranked->size() - 1);
  for (std::size_t i = 0; i < reserved; ++i) {
    (*ranked)[i].reserved_for_short = true;
  }
}

std::vector<EngineAvailability> Placer::EnginesOf(
    const PlacementRequest& request, TimePoint now) const {
  PlacementRequest any;
  any.service = request.service;
  std::vector<EngineCandidate> ranked = CandidatesFor(any);
  std::vector<EngineAvailability> engines;
  if (ranked.empty()) {
    return engines;
  }
  SortByRank(&ranked);
  const EngineProfile& engine = *request.service->engine;
  MarkReservedForShort(engine, &ranked);
  LeaveOutUnsound(&ranked);
  engines.reserve(ranked.size());
  for (EngineCandidate& candidate : ranked) {
    const std::vector<ActiveStream> streams =
        loads_->StreamsAt(candidate.record->id);
    engines.push_back(AvailabilityOf(engine, policy_, candidate, streams,
                                     FractionalMillis(request.tightest_gap),
                                     now));
  }
  return engines;
}

std::optional<Placement> Placer::PlaceOn(const PlacementRequest& request,
                                         const PrefillGroup& group) const {
  const EngineProfile& engine = *request.service->engine;
  Placement placement;
  placement.endpoint = *group.decode_engine.record;
  placement.work_class =
      HasTightGap(request) ? WorkClass::kShort : WorkClass::kLong;
  placement.prefill_time = group.part;
  placement.decode_time = DecodeTimeOn(request, group.decode_engine.load);
  placement.first_event =
      PredictFirstEvent(engine, group.decode_engine.load,
                        group.decode_engine.pace, placement.prefill_time);
  for (const EngineCandidate& helper : group.helpers) {
    placement.first_event =
        std::max(placement.first_event,
                 PredictFirstEvent(engine, helper.load, helper.pace,
                                   placement.prefill_time));
    placement.helpers.push_back(PrefillHelper{*helper.record, Tokens{0}});
  }
  const Tokens needed = request.prompt + request.answer;
  const Tokens overflow = needed - FreeMemory(engine, group.decode_engine.load);
  if (Tokens{0} < overflow &&
      !DistributeMemory(engine, group, overflow, &placement)) {
    return std::nullopt;
  }
  return placement;
}

bool Placer::DistributeMemory(const EngineProfile& engine,
                              const PrefillGroup& group, Tokens overflow,
                              Placement* placement) {
  std::unordered_map<EndpointId, Tokens> free;
  for (const EngineCandidate& candidate : group.helpers) {
    free[candidate.record->id] = FreeMemory(engine, candidate.load);
  }
  std::sort(placement->helpers.begin(), placement->helpers.end(),
            [&free](const PrefillHelper& a, const PrefillHelper& b) {
              return free[b.record.id] < free[a.record.id];
            });
  for (PrefillHelper& helper : placement->helpers) {
    helper.held = std::min(overflow, free[helper.record.id]);
    overflow = overflow - helper.held;
    if (!(Tokens{0} < overflow)) {
      return true;
    }
  }
  return false;
}

}  // namespace harecrank
