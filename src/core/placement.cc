#include "harecrank/core/placement.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "harecrank/core/endpoint_eligibility.h"
#include "harecrank/core/rendezvous.h"
#include "harecrank/core/unsound_engines.h"

namespace harecrank {
namespace {

// Width of the random jitter on the load of an endpoint of a service without an
// engine profile, as a number of requests. It keeps hosts with the same
// knowledge from choosing the same endpoint.
constexpr double kPlainJitter = 0.5;
// Added to the load of an endpoint in another data centre, as a number of
// requests. It is small, so that it only decides between endpoints of about
// equal load.
constexpr double kRemotePenalty = 0.25;
// Rendezvous key of the engine order that all hosts share.
constexpr char kSharedOrderKey[] = "short-first";

}  // namespace

bool LaterParts::Includes(const EndpointId& engine) const {
  if (starts == nullptr) {
    return false;
  }
  const auto found = starts->find(engine);
  return found != starts->end() && found->second < before;
}

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
  FractionalMillis decode_time = placement.decode_time;
  if (decode_time == FractionalMillis(0) &&
      request.service->engine.has_value()) {
    decode_time = Placer::DecodeTimeOn(request, EndpointLoad{});
  }
  WorkPart decode_part{placement.endpoint.id,  placement.work_class,
                       placement.prefill_time, request.prompt + request.answer,
                       request.target_gap,     decode_time};
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
    if (!MayUse(request, *record)) {
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
                       return IsEligible(request, *record) &&
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

FractionalMillis Placer::DecodeTimeOn(const PlacementRequest& request,
                                      const EndpointLoad& load) {
  return StreamTime(*request.service->engine, load.BatchSize() + 1,
                    load.memory + request.prompt + request.answer,
                    request.answer);
}

double Placer::UniformRandom() const {
  constexpr double kRange = 18446744073709551616.0;
  return static_cast<double>(random_()) / kRange;
}

}  // namespace harecrank
