#include "harecrank/core/planner.h"

#include <algorithm>
#include <utility>

namespace harecrank {
namespace {

PlannedPlacement Planned(const Placement& placement) {
  PlannedPlacement planned;
  planned.endpoint = placement.endpoint.id;
  planned.work_class = placement.work_class;
  planned.prefill_time = placement.prefill_time;
  planned.first_event = placement.first_event;
  planned.candidates = placement.candidates;
  for (const PrefillHelper& helper : placement.helpers) {
    planned.helpers.push_back(PlannedHelper{helper.record.id, helper.held});
  }
  return planned;
}

}  // namespace

Planner::Planner(const EndpointDirectory* directory, EndpointHealth* health,
                 const StartQuotas* start_shares, DataCentreId self,
                 RoutingTableProvider routing, const PlacementPolicy& policy,
                 MonotonicClock clock, RandomSource random)
    : directory_(directory),
      health_(health),
      start_shares_(start_shares),
      routing_(std::move(routing)),
      policy_(policy),
      clock_(clock),
      loads_(clock),
      given_(clock),
      placer_(
          directory, &loads_, health, std::move(self), LoadScope::kAllHosts,
          [] { return 1; }, policy, std::move(random)),
      decision_(policy_, clock),
      room_(clock, policy_.long_order, policy_.shares_by_account),
      short_room_(std::move(clock), policy_.short_order,
                  policy_.shares_by_account) {}

void Planner::Begin(const std::vector<HostAddress>& hosts) {
  untold_ = std::set<HostAddress>(hosts.begin(), hosts.end());
  learns_until_ = clock_() + kLearningPeriod;
}

bool Planner::IsLearning() const {
  return !untold_.empty() && clock_() < learns_until_;
}

PlacementDecision Planner::OnQuery(const PlacementQuery& ask) {
  Host* host = HostOf(ask.host, ask.incarnation);
  const auto [found, is_new] = host->asks.try_emplace(ask.id);
  Entry& entry = found->second;
  entry.asked_at = clock_();
  if (!is_new) {
    if (entry.placed.has_value()) {
      return *entry.placed;
    }
    return QueryQueued{};
  }
  entry.ask = ask;
  entry.came_at = clock_();
  entry.late_at = clock_() + std::chrono::duration_cast<TimePoint::duration>(
                                 ask.until_late);
  entry.ends_at = clock_() + std::chrono::duration_cast<TimePoint::duration>(
                                 ask.until_deadline);
  auto request = RequestOf(entry);
  if (request.has_value() && IsShort(*request)) {
    entry.is_short = true;
    NoteDemand(*request);
  }
  if (request.has_value() && request->service->engine.has_value()) {
    const AdmissionCandidate seeker = SeekerOf(entry, *request);
    entry.is_foreseen = decision_.CanDecide(seeker);
    if (const auto late_at = decision_.OnArrival(seeker)) {
      entry.has_reservation = true;
      entry.late_at = std::min(entry.late_at, *late_at);
      request = RequestOf(entry);
    }
  }
  if (IsLearning() && request.has_value()) {
    Wait(&entry, *request);
    return QueryQueued{};
  }
  const ShareRank turn = ShareRankOf(entry, request);
  // It does not take what others wait for that have had less.
  const bool yields = turn == ShareRank::kAfter && !ask.may_have_run;
  if (auto decision = yields ? std::nullopt : TryPlace(&entry)) {
    if (!entry.placed.has_value()) {
      host->asks.erase(ask.id);
    }
    return *std::move(decision);
  }
  if (const auto refused = RefusalOnArrival(entry, *request, turn)) {
    host->asks.erase(ask.id);
    return *refused;
  }
  Wait(&entry, *request);
  return QueryQueued{};
}

std::optional<PlacementRequest> Planner::RequestOf(const Entry& entry) const {
  const auto table = routing_();
  const ServiceProfile* service =
      table == nullptr ? nullptr : table->FindService(entry.ask.service);
  if (service == nullptr) {
    return std::nullopt;
  }
  PlacementRequest request;
  request.service = service;
  request.target_latency = entry.ask.target_latency;
  request.target_gap = entry.ask.target_gap;
  request.prompt = entry.ask.prompt;
  request.answer = entry.ask.answer;
  request.tightest_gap = table->TightestGap(service->name);
  request.until_late = entry.late_at - clock_();
  request.until_deadline = entry.ends_at - clock_();
  request.origin = entry.ask.origin;
  request.tried = entry.ask.tried;
  request.withheld = WithheldFrom(entry, *service);
  request.may_have_run = entry.ask.may_have_run;
  if (entry.is_short) {
    request.demand = DemandWithin(request.target_latency);
  }
  return request;
}

std::set<EndpointId> Planner::WithheldFrom(
    const Entry& entry, const ServiceProfile& service) const {
  std::set<EndpointId> withheld =
      start_shares_->Withheld(given_, entry.ask.host, service);
  // What the host had begun when it asked, also by places of other planners.
  if (clock_() - entry.came_at < kWithheldLifetime) {
    withheld.insert(entry.ask.withheld.begin(), entry.ask.withheld.end());
  }
  return withheld;
}

std::optional<PlacementDecision> Planner::TryPlace(Entry* entry) {
  const auto request = RequestOf(*entry);
  if (!request.has_value()) {
    return NoEndpoint{};
  }
  const PlacementResult result = placer_.Choose(*request);
  if (std::holds_alternative<EnginesBusy>(result)) {
    return std::nullopt;
  }
  const auto* placement = std::get_if<Placement>(&result);
  if (placement == nullptr) {
    return NoEndpoint{};
  }
  for (const WorkPart& part : PartsOf(*placement, *request)) {
    entry->work.push_back(loads_.Begin(part, entry->late_at));
  }
  start_shares_->Add(*placement, *request->service, entry->ask.host, &given_);
  entry->endpoint = placement->endpoint.id;
  entry->placed = Planned(*placement);
  entry->placed_at = clock_();
  if (request->service->engine.has_value()) {
    RoomOf(*entry).OnGranted(ShareClaimOf(*request));
    decision_.OnStarted(SeekerOf(*entry, *request));
  }
  return *entry->placed;
}

void Planner::OnProgressReport(const ProgressReport& note) {
  Host* host = HostOf(note.host, note.incarnation);
  for (const PrefillDone& read : note.read) {
    const auto found = host->asks.find(read.id);
    if (found == host->asks.end()) {
      continue;
    }
    for (const WorkId work : found->second.work) {
      loads_.OnPrefillDone(work);
    }
    health_->OnSuccess(found->second.endpoint, read.pace);
  }
  for (const RequestDone& ended : note.ended) {
    const auto found = host->asks.find(ended.id);
    if (found == host->asks.end()) {
      continue;
    }
    if (ended.failed) {
      health_->OnErrorAnswer(found->second.endpoint);
    }
    DropEntry(&found->second);
    host->asks.erase(found);
  }
}

void Planner::OnHeartbeat(const Heartbeat& word) {
  if (!word.work.has_value()) {
    return;
  }
  untold_.erase(word.address);
  Host* host = HostOf(word.address, word.incarnation);
  std::unordered_map<QueryId, const QueryWork*> told;
  for (const QueryWork& work : *word.work) {
    told[work.id] = &work;
    Adopt(host, work);
  }
  const TimePoint now = clock_();
  for (auto it = host->asks.begin(); it != host->asks.end();) {
    Entry& entry = it->second;
    const bool given_up =
        entry.waiter.has_value() && now - entry.asked_at > kQueryTimeout;
    const bool ended = !entry.waiter.has_value() &&
                       told.count(it->first) == 0 &&
                       now - entry.placed_at > kHeartbeatGrace;
    const bool gone = given_up || ended;
    if (gone) {
      DropEntry(&entry);
    }
    it = gone ? host->asks.erase(it) : std::next(it);
  }
}

void Planner::Adopt(Host* host, const QueryWork& work) {
  Entry& entry = host->asks[work.id];
  if (entry.work.empty() && !entry.waiter.has_value()) {
    for (const WorkPart& part : work.parts) {
      entry.work.push_back(loads_.Begin(part));
    }
    entry.placed_at = clock_();
    if (!work.parts.empty()) {
      entry.endpoint = work.parts.front().endpoint;
    }
  }
  if (work.prefill_done) {
    for (const WorkId id : entry.work) {
      loads_.OnPrefillDone(id);
    }
  }
}

Planner::Host* Planner::HostOf(const HostAddress& address,
                               Incarnation incarnation) {
  Host& host = hosts_[address];
  if (host.incarnation != incarnation) {
    DropAsks(&host);
    host.incarnation = incarnation;
  }
  host.heard = clock_();
  return &host;
}

void Planner::RemoveSilentHosts() {
  const TimePoint now = clock_();
  for (auto it = hosts_.begin(); it != hosts_.end();) {
    const bool silent = now - it->second.heard > kHostTimeout;
    if (silent) {
      DropAsks(&it->second);
    }
    it = silent ? hosts_.erase(it) : std::next(it);
  }
}

void Planner::Clear() {
  for (auto& [address, host] : hosts_) {
    DropAsks(&host);
  }
  hosts_.clear();
  room_.ForgetGrants();
  short_room_.ForgetGrants();
  decision_.Clear();
  untold_.clear();
  learns_until_ = TimePoint{};
}

void Planner::DropEntry(Entry* entry) {
  LeaveRoom(entry);
  for (const WorkId work : entry->work) {
    loads_.End(work);
  }
  entry->work.clear();
}

void Planner::DropAsks(Host* host) {
  for (auto& [id, entry] : host->asks) {
    DropEntry(&entry);
  }
  host->asks.clear();
}

}  // namespace harecrank
