#include "harecrank/core/planner.h"

#include <algorithm>
#include <utility>

namespace harecrank {
namespace {

PlannedPlacement ToPlannedPlacement(const Placement& placement) {
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
                 const StartQuotas* start_quotas, DataCentreId self,
                 RoutingTableProvider routing, const PlacementPolicy& policy,
                 MonotonicClock clock, RandomSource random)
    : directory_(directory),
      health_(health),
      start_quotas_(start_quotas),
      routing_(std::move(routing)),
      policy_(policy),
      clock_(clock),
      loads_(clock),
      granted_starts_(clock),
      placer_(
          directory, &loads_, health, std::move(self), LoadScope::kAllHosts,
          [] { return 1; }, policy, std::move(random)),
      promises_(clock),
      admission_control_(policy_, clock, &promises_),
      room_admission_(&promises_),
      long_queue_(clock, policy_.long_order, policy_.shares_by_account),
      short_queue_(std::move(clock), policy_.short_order,
                   policy_.shares_by_account) {}

void Planner::Begin(const std::vector<HostAddress>& hosts) {
  unreported_hosts_ = std::set<HostAddress>(hosts.begin(), hosts.end());
  learning_until_ = clock_() + kLearningPeriod;
}

bool Planner::IsLearning() const {
  return !unreported_hosts_.empty() && clock_() < learning_until_;
}

Planner::Entry Planner::NewEntry(const PlacementQuery& query) const {
  const TimePoint now = clock_();
  Entry entry;
  entry.query = query;
  entry.arrived_at = now;
  entry.last_query_at = now;
  entry.first_event_due =
      now + std::chrono::duration_cast<TimePoint::duration>(query.until_late);
  entry.deadline = now + std::chrono::duration_cast<TimePoint::duration>(
                             query.until_deadline);
  return entry;
}

PlacementDecision Planner::OnQuery(const PlacementQuery& query) {
  if (query.wants_return_time) {
    return OnReturnQuery(query);
  }
  HostQueries* host = FindOrAddHost(query.host, query.incarnation);
  const auto [found, is_new] = host->queries.try_emplace(query.id);
  Entry& entry = found->second;
  entry.last_query_at = clock_();
  if (!is_new) {
    return entry.placed.has_value() ? PlacementDecision(*entry.placed)
                                    : QueryQueued{};
  }
  entry = NewEntry(query);
  auto request = RequestOf(entry);
  if (request.has_value() && IsShort(*request)) {
    entry.is_short = true;
    RecordDemand(*request);
  }
  if (request.has_value() && PlansAhead(entry)) {
    if (const auto rejected = ApplyPromise(&entry, *request)) {
      host->queries.erase(query.id);
      return *rejected;
    }
  }
  if (request.has_value() && request->service->engine.has_value()) {
    const AdmissionCandidate candidate = CandidateOf(entry, *request);
    entry.uses_admission_control =
        !PlansAhead(entry) && admission_control_.CanDecide(candidate);
    if (const auto first_event_due = admission_control_.OnArrival(candidate)) {
      entry.has_reservation = true;
      entry.first_event_due = std::min(entry.first_event_due, *first_event_due);
    }
    request = RequestOf(entry);
  }
  if (IsLearning() && request.has_value()) {
    Enqueue(&entry, *request);
    return QueryQueued{};
  }
  if (request.has_value() && PlansAhead(entry)) {
    auto decision = PlanOnArrival(&entry, *request);
    if (!entry.placed.has_value() && !entry.queue_id.has_value()) {
      host->queries.erase(query.id);
    }
    return decision;
  }
  const ShareRank share_rank = ShareRankOf(entry, request);
  // An account over its share leaves free engines to the requests of others.
  const bool yields = share_rank == ShareRank::kAfter && !query.may_have_run;
  if (auto decision = yields ? std::nullopt : TryPlace(&entry)) {
    if (!entry.placed.has_value()) {
      host->queries.erase(query.id);
    }
    return *std::move(decision);
  }
  if (const auto rejected = RejectionOnArrival(entry, *request, share_rank)) {
    host->queries.erase(query.id);
    return *rejected;
  }
  Enqueue(&entry, *request);
  return QueryQueued{};
}

std::optional<PlacementRequest> Planner::RequestOf(const Entry& entry) const {
  const auto table = routing_();
  const ServiceProfile* service =
      table == nullptr ? nullptr : table->FindService(entry.query.service);
  if (service == nullptr) {
    return std::nullopt;
  }
  PlacementRequest request;
  request.service = service;
  request.target_latency = entry.query.target_latency;
  request.target_gap = entry.query.target_gap;
  request.prompt = entry.query.prompt;
  request.answer = entry.query.answer;
  request.tightest_gap = table->TightestGap(service->name);
  request.until_late = entry.first_event_due - clock_();
  request.until_deadline = entry.deadline - clock_();
  request.origin = entry.query.origin;
  request.tried = entry.query.tried;
  request.withheld = WithheldFor(entry, *service);
  request.permitted = entry.query.permitted;
  request.may_have_run = entry.query.may_have_run;
  request.may_repeat = entry.query.may_repeat;
  if (entry.is_short) {
    request.demand = DemandWithin(request.target_latency);
    request.later_parts = LaterPartsDuring(request);
  }
  return request;
}

std::set<EndpointId> Planner::WithheldFor(const Entry& entry,
                                          const ServiceProfile& service) const {
  std::set<EndpointId> withheld =
      start_quotas_->Withheld(granted_starts_, entry.query.host, service);
  // `granted_starts_` counts only the placements of this planner. The list that
  // the host has sent also accounts for starts that other planners have granted
  // to it.
  if (clock_() - entry.arrived_at < kWithheldLifetime) {
    withheld.insert(entry.query.withheld.begin(), entry.query.withheld.end());
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
  return RecordPlacement(entry, *request, *placement);
}

PlacementDecision Planner::RecordPlacement(Entry* entry,
                                           const PlacementRequest& request,
                                           const Placement& placement) {
  entry->parts = PartsOf(placement, request);
  entry->least_first_event = LeastFirstEvent(placement, request);
  for (const WorkPart& part : entry->parts) {
    entry->work.push_back(loads_.Begin(part, entry->first_event_due));
  }
  start_quotas_->Add(placement, *request.service, entry->query.host,
                     &granted_starts_);
  entry->endpoint = placement.endpoint.id;
  entry->placed = ToPlannedPlacement(placement);
  entry->placed_at = clock_();
  OnChanged(*entry);
  if (request.service->engine.has_value()) {
    QueueOf(*entry).OnGranted(ShareClaimOf(request));
    admission_control_.OnStarted(CandidateOf(*entry, request));
  }
  return *entry->placed;
}

FractionalMillis Planner::LeastFirstEvent(
    const Placement& placement, const PlacementRequest& request) const {
  const EndpointLoad load = loads_.Of(placement.endpoint.id);
  if (!request.service->engine.has_value() || !placement.helpers.empty() ||
      load.BatchSize() == 0) {
    return placement.prefill_time;
  }
  return placement.prefill_time +
         PassTime(*request.service->engine, load.BatchSize() + 1, load.memory);
}

PrefillObservation Planner::ObservationOf(const Entry& entry, double slowdown) {
  PrefillObservation observation;
  observation.engines = {entry.endpoint};
  observation.slowdown = slowdown;
  if (entry.placed.has_value()) {
    for (const PlannedHelper& helper : entry.placed->helpers) {
      observation.engines.push_back(helper.endpoint);
    }
    observation.taken = TimeTaken(slowdown, entry.placed->first_event);
    observation.part = entry.least_first_event;
  }
  return observation;
}

void Planner::OnProgressReport(const ProgressReport& report) {
  HostQueries* host = FindOrAddHost(report.host, report.incarnation);
  for (const PrefillDone& done : report.read) {
    const auto found = host->queries.find(done.id);
    if (found == host->queries.end()) {
      continue;
    }
    MarkPrefillDone(&found->second);
    health_->OnFirstEvent(ObservationOf(found->second, done.pace));
  }
  for (const GroupTrouble& trouble : report.troubles) {
    const auto found = host->queries.find(trouble.id);
    if (found != host->queries.end()) {
      const PrefillObservation seen =
          ObservationOf(found->second, trouble.pace);
      health_->OnGroupTrouble(seen.engines, seen.slowdown, seen.taken);
    }
  }
  for (const RequestDone& done : report.ended) {
    const auto found = host->queries.find(done.id);
    if (found == host->queries.end()) {
      continue;
    }
    if (done.failed) {
      health_->OnErrorAnswer(found->second.endpoint);
    }
    RemoveEntry(&found->second);
    host->queries.erase(found);
  }
}

void Planner::OnHeartbeat(const Heartbeat& heartbeat) {
  if (!heartbeat.work.has_value()) {
    return;
  }
  unreported_hosts_.erase(heartbeat.address);
  HostQueries* host = FindOrAddHost(heartbeat.address, heartbeat.incarnation);
  std::unordered_map<QueryId, const QueryWork*> reported;
  for (const QueryWork& work : *heartbeat.work) {
    reported[work.id] = &work;
    AdoptWork(heartbeat.address, host, work);
  }
  const TimePoint now = clock_();
  for (auto it = host->queries.begin(); it != host->queries.end();) {
    Entry& entry = it->second;
    const bool timed_out =
        entry.queue_id.has_value() && now - entry.last_query_at > kQueryTimeout;
    const bool ended = !entry.queue_id.has_value() &&
                       reported.count(it->first) == 0 &&
                       now - entry.placed_at > kHeartbeatGrace;
    const bool gone = timed_out || ended;
    if (gone) {
      RemoveEntry(&entry);
    }
    it = gone ? host->queries.erase(it) : std::next(it);
  }
}

void Planner::AdoptWork(const HostAddress& address, HostQueries* host,
                        const QueryWork& work) {
  Entry& entry = host->queries[work.id];
  if (IsPlacedElsewhere(entry, work)) {
    RemoveEntry(&entry);
    entry.placed.reset();
  }
  if (entry.work.empty() && !entry.queue_id.has_value()) {
    entry.query.host = address;
    entry.query.id = work.id;
    entry.parts = work.parts;
    for (const WorkPart& part : work.parts) {
      entry.work.push_back(loads_.Begin(part));
    }
    entry.placed_at = clock_();
    if (!work.parts.empty()) {
      entry.endpoint = work.parts.front().endpoint;
    }
    OnChanged(entry);
  }
  if (work.prefill_done) {
    MarkPrefillDone(&entry);
  }
}

void Planner::MarkPrefillDone(Entry* entry) {
  for (const WorkId work : entry->work) {
    loads_.OnPrefillDone(work);
  }
  if (!entry->prefill_done) {
    entry->prefill_done = true;
    OnChanged(*entry);
  }
}

Planner::HostQueries* Planner::FindOrAddHost(const HostAddress& address,
                                             Incarnation incarnation) {
  HostQueries& host = hosts_[address];
  if (host.incarnation != incarnation) {
    RemoveQueries(&host);
    host.incarnation = incarnation;
  }
  host.last_heard = clock_();
  return &host;
}

std::size_t Planner::QueryCount() const {
  std::size_t count = 0;
  for (const auto& [address, host] : hosts_) {
    count += host.queries.size();
  }
  return count;
}

void Planner::RemoveSilentHosts() {
  promises_.DropExpired();
  const TimePoint now = clock_();
  for (auto it = hosts_.begin(); it != hosts_.end();) {
    const bool silent = now - it->second.last_heard > kHostTimeout;
    if (silent) {
      RemoveQueries(&it->second);
    }
    it = silent ? hosts_.erase(it) : std::next(it);
  }
}

void Planner::Clear() {
  for (auto& [address, host] : hosts_) {
    RemoveQueries(&host);
  }
  hosts_.clear();
  long_queue_.ForgetGrants();
  short_queue_.ForgetGrants();
  promises_.Clear();
  plan_ = {};
  unreported_hosts_.clear();
  learning_until_ = TimePoint{};
  changes_.clear();
}

void Planner::RemoveEntry(Entry* entry) {
  OnChanged(*entry);
  Dequeue(entry);
  for (const WorkId work : entry->work) {
    loads_.End(work);
  }
  entry->work.clear();
  entry->parts.clear();
  entry->prefill_done = false;
}

void Planner::RemoveQueries(HostQueries* host) {
  for (auto& [id, entry] : host->queries) {
    RemoveEntry(&entry);
  }
  host->queries.clear();
}

}  // namespace harecrank
