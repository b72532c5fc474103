#include "harecrank/core/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

#include "harecrank/core/rendezvous.h"
#include "harecrank/core/unsound_engines.h"

namespace harecrank {
namespace {

// Maximum share of the engines that may be reserved for short requests.
constexpr double kMaxShortShare = 0.9;
// Width of the random jitter on the load of an endpoint of a service without an
// engine profile, as a number of requests. It keeps hosts with the same
// knowledge from choosing the same endpoint.
constexpr double kPlainJitter = 0.5;
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
// Added to the load of an endpoint in another data centre, as a number of
// requests. It is small, so that it only decides between endpoints of about
// equal load.
constexpr double kRemotePenalty = 0.25;
// Time from the end of a pass until the caller receives its event, with an
// allowance for the error of the prediction.
constexpr FractionalMillis kReplyMargin{10};
// Subtracted from the cost of an engine that should be tried, in latency
// targets, so that it is chosen before all others.
constexpr double kTrialAdvantage = 3;
// Rendezvous key of the engine order that all hosts share.
constexpr char kSharedOrderKey[] = "short-first";

FractionalMillis PredictFirstEvent(const EngineProfile& engine,
                                   const EndpointLoad& load, double pace,
                                   FractionalMillis prefill_time) {
  // On average, the request waits for half of the current pass. Its first event
  // comes at the end of the next pass.
  constexpr double kPassesUntilFirstEvent = 1.5;
  const FractionalMillis pass =
      PassTime(engine, load.BatchSize() + 1, load.memory);
  return pace *
         (load.prefill_backlog + prefill_time + kPassesUntilFirstEvent * pass);
}

bool HasTightGap(const PlacementRequest& request) {
  return IsTightGap(FractionalMillis(request.target_gap),
                    FractionalMillis(request.tightest_gap));
}

}  // namespace

bool IsOversize(const ServiceProfile& service, Tokens needed) {
  return service.engine.has_value() &&
         FreeMemory(*service.engine, EndpointLoad{}) < needed;
}

bool IsShortPrompt(const PlacementRequest& request,
                   const PlacementPolicy& policy) {
  return PrefillTime(*request.service->engine, request.prompt) <=
         policy.short_share_of_gap * FractionalMillis(request.tightest_gap);
}

ShareClaim ClaimOf(const PlacementRequest& request, bool by_account) {
  const EngineProfile& engine = *request.service->engine;
  ShareClaim claim;
  claim.engine_time = PrefillTime(engine, request.prompt) +
                      DecodeTime(engine, request.prompt, request.answer);
  if (by_account) {
    claim.account = request.origin.request.account;
    claim.priority = request.origin.priority;
  }
  return claim;
}

std::vector<WorkPart> PartsOf(const Placement& placement,
                              const PlacementRequest& request) {
  WorkPart decode_part{placement.endpoint.id, placement.work_class,
                       placement.prefill_time, request.prompt + request.answer,
                       request.target_gap};
  std::vector<WorkPart> parts(1);
  for (const PrefillHelper& helper : placement.helpers) {
    decode_part.memory = decode_part.memory - helper.held;
    parts.push_back(WorkPart{helper.record.id, WorkClass::kHelper,
                             placement.prefill_time, helper.held, Millis(0)});
  }
  parts.front() = std::move(decode_part);
  return parts;
}

Placer::Placer(const EndpointDirectory* directory, const EndpointLoads* loads,
               const EndpointHealth* health, DataCentreId self, LoadScope scope,
               std::function<int()> placing_hosts,
               const PlacementPolicy& policy, RandomSource random)
    : directory_(directory),
      loads_(loads),
      health_(health),
      self_(std::move(self)),
      scope_(scope),
      placing_hosts_(std::move(placing_hosts)),
      policy_(policy),
      random_(std::move(random)) {
  order_key_ = scope_ == LoadScope::kAllHosts ? kSharedOrderKey
                                              : std::to_string(random_());
}

PlacementResult Placer::Choose(const PlacementRequest& request) const {
  std::vector<EngineCandidate> candidates = CandidatesFor(request);
  if (candidates.empty() && HasWithheldEndpoint(request)) {
    return EnginesBusy{};
  }
  if (candidates.empty()) {
    return NoEndpoint{};
  }
  const std::size_t count = candidates.size();
  PlacementResult result;
  if (!request.service->engine.has_value()) {
    result = ChoosePlain(candidates);
  } else {
    SortByRank(&candidates);
    const bool is_short = IsShortPrompt(request, policy_);
    // Requests may wait only if this host sees the placements of all hosts.
    // Otherwise the forecast of passes on which the decision to wait is based
    // would be of little use.
    const bool sees_all_loads =
        scope_ == LoadScope::kAllHosts && placing_hosts_() <= 1;
    const bool may_wait =
        policy_.short_waits && sees_all_loads && !request.may_have_run;
    if (is_short) {
      LeaveOutFailing(&candidates);
    }
    if (is_short && may_wait) {
      result = ChooseShortWithinTarget(request, candidates);
    } else if (is_short) {
      result = ChooseShort(request, candidates);
    } else {
      result = ChooseLong(request, std::move(candidates));
    }
  }
  if (auto* placement = std::get_if<Placement>(&result)) {
    placement->candidates = count;
  }
  return result;
}

std::vector<EngineCandidate> Placer::CandidatesFor(
    const PlacementRequest& request) const {
  std::vector<EngineCandidate> healthy;
  std::vector<EngineCandidate> suspect;
  for (const EndpointRecord* record :
       directory_->UsableOf(request.service->name)) {
    if (request.tried.count(record->id) != 0 ||
        request.withheld.count(record->id) != 0) {
      continue;
    }
    EngineCandidate candidate;
    candidate.record = record;
    candidate.load = loads_->Of(record->id);
    candidate.pace = std::max(1.0, health_->Slowdown(record->id));
    candidate.standing = health_->StandingOf(record->id);
    // A trial must not cost a request that may be executed only once.
    candidate.trial_due =
        health_->IsTrialDue(record->id) &&
        (request.may_repeat || candidate.standing != EngineStanding::kFailing);
    (health_->IsSuspect(record->id) ? suspect : healthy).push_back(candidate);
  }
  return healthy.empty() ? suspect : healthy;
}

bool Placer::HasWithheldEndpoint(const PlacementRequest& request) const {
  const auto& usable = directory_->UsableOf(request.service->name);
  return std::any_of(usable.begin(), usable.end(),
                     [&request](const EndpointRecord* record) {
                       return request.tried.count(record->id) == 0 &&
                              request.withheld.count(record->id) != 0;
                     });
}

void Placer::SortByRank(std::vector<EngineCandidate>* candidates) const {
  for (EngineCandidate& candidate : *candidates) {
    candidate.rank = RendezvousWeight(order_key_, candidate.record->id.value);
  }
  std::sort(candidates->begin(), candidates->end(),
            [](const EngineCandidate& a, const EngineCandidate& b) {
              return a.rank > b.rank;
            });
}

Placement Placer::ChoosePlain(
    const std::vector<EngineCandidate>& candidates) const {
  // There is at least one candidate.
  const EngineCandidate* best = &candidates.front();
  double best_cost = std::numeric_limits<double>::max();
  for (const EngineCandidate& candidate : candidates) {
    const double remote_cost =
        candidate.record->data_centre == self_ ? 0 : kRemotePenalty;
    const double cost =
        (candidate.load.BatchSize() + kPlainJitter * UniformRandom()) *
            candidate.pace +
        remote_cost;
    if (cost < best_cost) {
      best = &candidate;
      best_cost = cost;
    }
  }
  Placement placement;
  placement.endpoint = *best->record;
  return placement;
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

PlacementResult Placer::ChooseLong(const PlacementRequest& request,
                                   std::vector<EngineCandidate> ranked) const {
  const EngineProfile& engine = *request.service->engine;
  const std::size_t reserved_for_short =
      std::min(EnginesForShort(engine, ranked.size()), ranked.size() - 1);
  for (std::size_t i = 0; i < reserved_for_short; ++i) {
    ranked[i].reserved_for_short = true;
  }
  LeaveOutUnsound(&ranked);
  LongPrompt prompt;
  prompt.prefill_time = PrefillTime(engine, request.prompt);
  prompt.needed = request.prompt + request.answer;
  prompt.target = FractionalMillis(request.target_latency);
  prompt.until_late = request.until_late;
  prompt.gap = FractionalMillis(request.target_gap);
  prompt.tightest_gap = FractionalMillis(request.tightest_gap);
  const std::optional<PrefillGroup> group =
      ChoosePrefillGroup(engine, policy_, prompt, ranked);
  if (!group.has_value()) {
    return EnginesBusy{};
  }
  std::optional<Placement> placement = PlaceOn(request, *group);
  if (!placement.has_value()) {
    return EnginesBusy{};
  }
  return *std::move(placement);
}

std::optional<Placement> Placer::PlaceOn(const PlacementRequest& request,
                                         const PrefillGroup& group) const {
  const EngineProfile& engine = *request.service->engine;
  Placement placement;
  placement.endpoint = *group.decode_engine.record;
  placement.work_class =
      HasTightGap(request) ? WorkClass::kShort : WorkClass::kLong;
  placement.prefill_time = group.part;
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

double Placer::UniformRandom() const {
  constexpr double kRange = 18446744073709551616.0;
  return static_cast<double>(random_()) / kRange;
}

}  // namespace harecrank
