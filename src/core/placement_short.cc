// The functions of Placer that place short prompts.

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "harecrank/core/placement.h"
#include "harecrank/core/unsound_engines.h"

namespace harecrank {
namespace {

// Maximum share of the engines that may be reserved for short requests.
constexpr double kMaxShortShare = 0.9;
// Minimum width of the random jitter on predicted times, for each other host
// that places requests. This host does not know the placements that other hosts
// have made since their last heartbeat. If the jitter is too small, all hosts
// choose the engine that looks idle first.
constexpr FractionalMillis kJitterPerPeer{3};
// Assumed interval between the heartbeats of another host, from which the
// jitter is computed.
constexpr Millis kHeartbeatInterval{100};
// Upper limit of the jitter on predicted times, as a share of the latency
// target, for any number of hosts. With more jitter a late engine would be
// chosen as readily as one that meets the target.
constexpr double kMaxJitterShare = 0.25;
// Time from the end of a pass until the caller receives its event, with an
// allowance for the error of the prediction.
constexpr FractionalMillis kReplyMargin{10};
// Subtracted from the cost of an engine that should be tried, in latency
// targets, so that it is chosen before all others.
constexpr double kTrialAdvantage = 3;

}  // namespace

FractionalMillis Placer::PredictFirstEvent(const EngineProfile& engine,
                                           const EndpointLoad& load,
                                           double pace,
                                           FractionalMillis prefill_time) {
  // On average, the request waits for half of the current pass. Its first event
  // comes at the end of the next pass.
  constexpr double kPassesUntilFirstEvent = 1.5;
  const FractionalMillis pass =
      PassTime(engine, load.BatchSize() + 1, load.memory);
  return pace *
         (load.prefill_backlog + prefill_time + kPassesUntilFirstEvent * pass);
}

Placement Placer::ChooseShort(
    const PlacementRequest& request,
    const std::vector<EngineCandidate>& ranked) const {
  const EngineProfile& engine = *request.service->engine;
  const FractionalMillis prefill_time = PrefillTime(engine, request.prompt);
  const std::size_t short_engines = EnginesForShort(engine, ranked.size());
  const FractionalMillis jitter = TimeJitter(request);
  // There is at least one candidate.
  const EngineCandidate* best = &ranked.front();
  FractionalMillis best_time = FractionalMillis::max();
  for (std::size_t i = 0; i < ranked.size(); ++i) {
    const EngineCandidate& candidate = ranked[i];
    FractionalMillis time = PredictFirstEvent(engine, candidate.load,
                                              candidate.pace, prefill_time) +
                            UniformRandom() * jitter;
    if (i >= short_engines) {
      // This engine is not reserved for short requests. The added time ensures
      // that it is chosen only if the reserved engines are much later.
      time +=
          policy_.beyond_short_share * FractionalMillis(request.target_latency);
    }
    if (request.later_parts.Includes(candidate.record->id)) {
      time += LaterPartCost(request);
    }
    if (candidate.load.BatchSize() >= engine.slots ||
        FreeMemory(engine, candidate.load) < request.prompt + request.answer) {
      // The request would have to wait on this engine for a slot or for memory.
      time += FractionalMillis(request.target_latency);
    }
    if (IsGoodTrial(candidate)) {
      time -= kTrialAdvantage * FractionalMillis(request.target_latency);
    }
    if (time < best_time) {
      best = &candidate;
      best_time = time;
    }
  }
  Placement placement;
  placement.endpoint = *best->record;
  placement.work_class = WorkClass::kShort;
  placement.prefill_time = prefill_time;
  placement.decode_time = DecodeTimeOn(request, best->load);
  placement.first_event =
      PredictFirstEvent(engine, best->load, best->pace, prefill_time);
  return placement;
}

bool Placer::CanMeetTargetWhenIdle(const PlacementRequest& request) {
  const EngineProfile& engine = *request.service->engine;
  const FractionalMillis least =
      PrefillTime(engine, request.prompt) + PassTime(engine, 1, request.prompt);
  return least + kReplyMargin <= request.until_late;
}

FractionalMillis Placer::LaterPartCost(const PlacementRequest& request) const {
  return policy_.later_part_share * FractionalMillis(request.target_latency);
}

PlacementResult Placer::ChooseShortWithinTarget(
    const PlacementRequest& request,
    const std::vector<EngineCandidate>& ranked) const {
  const EngineProfile& engine = *request.service->engine;
  const std::size_t short_engines = EnginesForShort(engine, ranked.size());
  ShortDemand reserve;
  if (!CanMeetTargetWhenIdle(request)) {
    const double share =
        policy_.late_reserve_share / static_cast<double>(ranked.size());
    // The request is late in any case, so it leaves capacity for expected
    // requests that can meet their target.
    reserve.requests = std::ceil(share * request.demand.requests);
    reserve.prefill_time = share * request.demand.prefill_time;
  }
  const EngineCandidate* best = nullptr;
  FractionalMillis best_cost = FractionalMillis::max();
  FractionalMillis first_event(0);
  for (std::size_t i = 0; i < ranked.size(); ++i) {
    const auto time = PredictShortFirstEvent(request, ranked[i], reserve);
    if (!time.has_value()) {
      continue;
    }
    FractionalMillis cost = *time;
    if (i >= short_engines) {
      cost +=
          policy_.beyond_short_share * FractionalMillis(request.target_latency);
    }
    if (request.later_parts.Includes(ranked[i].record->id)) {
      cost += LaterPartCost(request);
    }
    if (IsGoodTrial(ranked[i])) {
      cost -= kTrialAdvantage * FractionalMillis(request.target_latency);
    }
    if (cost < best_cost) {
      best = &ranked[i];
      best_cost = cost;
      first_event = *time;
    }
  }
  if (best == nullptr) {
    return EnginesBusy{};
  }
  Placement placement;
  placement.endpoint = *best->record;
  placement.work_class = WorkClass::kShort;
  placement.prefill_time = PrefillTime(engine, request.prompt);
  placement.decode_time = DecodeTimeOn(request, best->load);
  placement.first_event = first_event;
  return placement;
}

std::optional<FractionalMillis> Placer::PredictShortFirstEvent(
    const PlacementRequest& request, const EngineCandidate& candidate,
    const ShortDemand& reserve) const {
  const EngineProfile& engine = *request.service->engine;
  const EndpointLoad& load = candidate.load;
  const bool has_slot = load.BatchSize() + reserve.requests < engine.slots;
  const bool has_memory =
      !(FreeMemory(engine, load) < request.prompt + request.answer);
  if (!has_slot || !has_memory) {
    return std::nullopt;
  }
  const FractionalMillis pass =
      PassTime(engine, load.BatchSize() + 1, load.memory);
  PassForecast forecast;
  if (load.BatchSize() > 0 || load.prefill_backlog > FractionalMillis(0)) {
    forecast = loads_->ForecastOf(candidate.record->id, pass);
  }
  const FractionalMillis prefill =
      forecast.next_pass_prefill + PrefillTime(engine, request.prompt);
  const FractionalMillis next_pass = candidate.pace * (prefill + pass);
  const FractionalMillis time =
      candidate.pace * forecast.until_next_pass + next_pass;
  const bool in_time = time + kReplyMargin <= request.until_late;
  if (CanMeetTargetWhenIdle(request) && !in_time) {
    return std::nullopt;
  }
  // All streams on the engine pause while it runs the pass that prefills this
  // prompt.
  const bool stalls = load.tightest_gap > FractionalMillis(0) &&
                      next_pass + reserve.prefill_time >
                          policy_.pause_share_of_gap * load.tightest_gap;
  const bool delays_others = forecast.next_pass_deadline.has_value() &&
                             time + kReplyMargin > *forecast.next_pass_deadline;
  if (stalls || delays_others) {
    return std::nullopt;
  }
  return time;
}

std::size_t Placer::EnginesForShort(const EngineProfile& engine,
                                    std::size_t engines) const {
  if (scope_ == LoadScope::kThisHost) {
    return engines;
  }
  const double per_engine = std::max(
      1.0, policy_.short_share_of_slots * static_cast<double>(engine.slots));
  const double by_slots = loads_->ShortRequests() / per_engine;
  // The measured rate is multiplied by the number of placing hosts, on the
  // assumption that each of them receives about as many short requests as this
  // host.
  const double prefill_load = loads_->ShortPrefillRate() * placing_hosts_();
  const double by_arrivals = prefill_load / policy_.short_reading_share;
  const auto needed =
      static_cast<std::size_t>(std::ceil(std::max(by_slots, by_arrivals)));
  const auto max_engines = static_cast<std::size_t>(
      std::ceil(kMaxShortShare * static_cast<double>(engines)));
  return std::min(max_engines,
                  needed + static_cast<std::size_t>(policy_.spare_short));
}

FractionalMillis Placer::TimeJitter(const PlacementRequest& request) const {
  const int peers = std::max(0, placing_hosts_() - 1);
  const FractionalMillis unseen_load = policy_.unseen_factor *
                                       loads_->ShortPrefillRate() * peers *
                                       FractionalMillis(kHeartbeatInterval);
  return std::min(
      std::max(FractionalMillis(peers * kJitterPerPeer), unseen_load),
      kMaxJitterShare * FractionalMillis(request.target_latency));
}

}  // namespace harecrank
