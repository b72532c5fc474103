#include "harecrank/core/planner.h"

#include <algorithm>
#include <utility>

namespace harecrank {
namespace {

PlannedPlacement Planned(const Placement& placement) {
  PlannedPlacement planned;
  planned.endpoint = placement.endpoint.id;
  planned.work_class = placement.work_class;
  planned.read = placement.read;
  planned.first_event = placement.first_event;
  planned.candidates = placement.candidates;
  for (const Helper& helper : placement.helpers) {
    planned.helpers.push_back(PlannedHelper{helper.record.id, helper.held});
  }
  return planned;
}

std::optional<PlaceDecision> AsDecision(
    const std::optional<AskRefused>& refused) {
  return refused.has_value() ? std::make_optional<PlaceDecision>(*refused)
                             : std::nullopt;
}

}  // namespace

Planner::Planner(const EndpointDirectory* directory, EndpointHealth* health,
                 const ColdShares* cold_shares, DataCentreId self,
                 RoutingSource routing, const PlacementPolicy& policy,
                 MonotonicClock clock, RandomSource random)
    : directory_(directory),
      health_(health),
      cold_shares_(cold_shares),
      routing_(std::move(routing)),
      policy_(policy),
      clock_(clock),
      loads_(clock),
      given_(clock),
      placer_(
          directory, &loads_, health, std::move(self), LoadsOf::kAllHosts,
          [] { return 1; }, policy, std::move(random)),
      decision_(policy_, clock),
      room_(clock, policy_.long_order, policy_.shares_by_account),
      short_room_(std::move(clock), policy_.short_order,
                  policy_.shares_by_account) {}

void Planner::Begin(const std::vector<HostAddress>& hosts) {
  untold_ = std::set<HostAddress>(hosts.begin(), hosts.end());
  learns_until_ = clock_() + kLearns;
}

bool Planner::IsLearning() const {
  return !untold_.empty() && clock_() < learns_until_;
}

PlaceDecision Planner::OnAsk(const PlaceAsk& ask) {
  Host* host = HostOf(ask.host, ask.life);
  const auto [found, is_new] = host->asks.try_emplace(ask.id);
  Entry& entry = found->second;
  entry.asked_at = clock_();
  if (!is_new) {
    if (entry.placed.has_value()) {
      return *entry.placed;
    }
    return AskWaits{};
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
    const RoomSeeker seeker = SeekerOf(entry, *request);
    entry.is_foreseen = decision_.Knows(seeker);
    if (const auto late_at = decision_.OnAsked(seeker)) {
      entry.was_promised = true;
      entry.late_at = std::min(entry.late_at, *late_at);
      request = RequestOf(entry);
    }
  }
  if (IsLearning() && request.has_value()) {
    Wait(&entry, *request);
    return AskWaits{};
  }
  const ShareTurn turn = TurnOf(entry, request);
  // It does not take what others wait for that have had less.
  const bool yields = turn == ShareTurn::kAfter && !ask.may_have_run;
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
  return AskWaits{};
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
      cold_shares_->Withheld(given_, entry.ask.host, service);
  // What the host had begun when it asked, also by places of other planners.
  if (clock_() - entry.came_at < kWithheldHolds) {
    withheld.insert(entry.ask.withheld.begin(), entry.ask.withheld.end());
  }
  return withheld;
}

std::optional<PlaceDecision> Planner::TryPlace(Entry* entry) {
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
  if (cold_shares_->IsBounded(*request->service)) {
    given_.Add(entry->ask.host, placement->endpoint.id);
  }
  entry->endpoint = placement->endpoint.id;
  entry->placed = Planned(*placement);
  entry->placed_at = clock_();
  if (request->service->engine.has_value()) {
    RoomOf(*entry).OnGiven(ShareClaimOf(*request));
    decision_.OnStarted(SeekerOf(*entry, *request));
  }
  return *entry->placed;
}

ShareClaim Planner::ShareClaimOf(const PlacementRequest& request) const {
  const auto table = routing_();
  return ClaimOf(request, table != nullptr && table->HasSeveralAccounts());
}

ShareTurn Planner::TurnOf(const Entry& entry,
                          const std::optional<PlacementRequest>& request) {
  const bool shares =
      request.has_value() && request->service->engine.has_value();
  return shares ? RoomOf(entry).TurnOf(ShareClaimOf(*request))
                : ShareTurn::kEven;
}

RoomSeeker Planner::SeekerOf(const Entry& entry,
                             const PlacementRequest& request) const {
  RoomSeeker seeker;
  seeker.request = &request;
  seeker.work = ReadTime(*request.service->engine, request.prompt);
  seeker.kind = entry.is_short ? PromptKind::kShort : PromptKind::kLong;
  seeker.age = clock_() - entry.came_at;
  seeker.waits = entry.waiter.has_value();
  seeker.was_promised = entry.was_promised;
  seeker.engines = directory_->UsableOf(request.service->name).size();
  return seeker;
}

std::optional<AskRefused> Planner::RefusalOnArrival(
    const Entry& entry, const PlacementRequest& request, ShareTurn turn) {
  if (entry.is_foreseen) {
    const RoomSeeker seeker = SeekerOf(entry, request);
    const WaitingRoom& room = entry.is_short ? short_room_ : room_;
    return decision_.RefusalOf(
        seeker,
        WorkAhead{room.WorkInTime(), room.LateWork(), room.LeastLateWork()});
  }
  // Late prompts of an account that goes after it are no precedent.
  const bool in_vain = policy_.refuses_by_precedent && !entry.is_short &&
                       turn != ShareTurn::kBefore &&
                       WaitsInVain(entry.ask, request);
  return in_vain ? std::make_optional(AskRefused{}) : std::nullopt;
}

std::optional<PlaceDecision> Planner::EndOfWait(const Entry& entry,
                                                const WorkAhead& ahead) {
  if (!entry.is_foreseen) {
    return std::nullopt;
  }
  const auto request = RequestOf(entry);
  if (!request.has_value()) {
    return NoEndpoint{};
  }
  return AsDecision(decision_.RefusalOf(SeekerOf(entry, *request), ahead));
}

bool Planner::MayStart(const Entry& entry, const WaitingRoom& room,
                       const WorkAhead& ahead) const {
  const PromptKind kind =
      entry.is_short ? PromptKind::kShort : PromptKind::kLong;
  return !entry.is_foreseen || entry.ask.may_have_run ||
         decision_.MayStart(room.Find(*entry.waiter), kind, clock_(), ahead);
}

bool Planner::WaitsInVain(const PlaceAsk& ask,
                          const PlacementRequest& request) const {
  const auto least = room_.LeastLateWork();
  return !ask.may_have_run && least.has_value() &&
         *least <= ReadTime(*request.service->engine, ask.prompt);
}

bool Planner::IsShort(const PlacementRequest& request) const {
  return request.service->engine.has_value() && IsShortPrompt(request, policy_);
}

void Planner::NoteDemand(const PlacementRequest& request) {
  const TimePoint now = clock_();
  demand_.push_back(
      Demand{now, ReadTime(*request.service->engine, request.prompt)});
  while (now - demand_.front().at > kDemandWindow) {
    demand_.pop_front();
  }
}

ShortDemand Planner::DemandWithin(Millis time) const {
  const TimePoint now = clock_();
  ShortDemand demand;
  for (const Demand& one : demand_) {
    if (now - one.at <= kDemandWindow) {
      demand.requests += 1;
      demand.reading += one.read;
    }
  }
  const double share = FractionalMillis(time) / kDemandWindow;
  demand.requests *= share;
  demand.reading *= share;
  return demand;
}

void Planner::Wait(Entry* entry, const PlacementRequest& request) {
  const FractionalMillis work =
      ReadTime(*request.service->engine, entry->ask.prompt);
  const AskKey key{entry->ask.host, entry->ask.id};
  const TimePoint first_from =
      entry->was_promised ? decision_.FirstFrom(SeekerOf(*entry, request))
                          : TimePoint::max();
  const ShareClaim claim = ShareClaimOf(request);
  if (entry->is_short) {
    entry->waiter = short_room_.Add(Waiter{
        entry->late_at, work, work, entry->was_promised, first_from, claim});
    short_waiting_[*entry->waiter] = key;
    return;
  }
  entry->waiter = room_.Add(
      Waiter{entry->late_at, work / static_cast<double>(kMostHelpers + 1), work,
             entry->was_promised, first_from, claim});
  waiting_[*entry->waiter] = key;
}

void Planner::LeaveRoom(Entry* entry) {
  if (!entry->waiter.has_value()) {
    return;
  }
  (entry->is_short ? short_room_ : room_).Remove(*entry->waiter);
  (entry->is_short ? short_waiting_ : waiting_).erase(*entry->waiter);
  entry->waiter.reset();
}

bool Planner::HasWaitedEnough(const Entry& entry) const {
  const FractionalMillis late = clock_() - entry.late_at;
  return entry.is_short && !entry.ask.may_have_run && !entry.is_foreseen &&
         late > policy_.late_wait_share *
                    FractionalMillis(entry.ask.target_latency);
}

std::vector<DuePlace> Planner::TryWaiting() {
  std::vector<DuePlace> due;
  if (IsLearning()) {
    return due;
  }
  // After that all that came meanwhile is tried, not the first few alone.
  const bool has_learnt = !untold_.empty() || learns_until_ != TimePoint{};
  const std::size_t tried = has_learnt ? WaitingCount() : policy_.tried;
  untold_.clear();
  learns_until_ = TimePoint{};
  TryRoom(&short_room_, tried, &due);
  TryRoom(&room_, tried, &due);
  return due;
}

void Planner::TryRoom(WaitingRoom* room, std::size_t tried,
                      std::vector<DuePlace>* due) {
  const bool is_short = room == &short_room_;
  decision_.OnWaiting(is_short ? PromptKind::kShort : PromptKind::kLong,
                      !room->IsEmpty());
  std::size_t failed = 0;
  WorkAhead ahead;
  for (const WaiterId id : room->InOrder(room->Count())) {
    const AskKey key = (is_short ? short_waiting_ : waiting_).at(id);
    Host& host = hosts_.at(key.host);
    Entry& entry = host.asks.at(key.id);
    std::optional<PlaceDecision> decision;
    if (HasWaitedEnough(entry)) {
      decision = AskRefused{};
    } else if (failed < tried && MayStart(entry, *room, ahead)) {
      decision = TryPlace(&entry);
    }
    if (!decision.has_value()) {
      decision = EndOfWait(entry, ahead);
    }
    if (!decision.has_value()) {
      const Waiter& waiter = room->Find(id);
      (CanStillBeInTime(waiter, clock_()) ? ahead.in_time : ahead.late) +=
          waiter.work;
      ++failed;
      continue;
    }
    LeaveRoom(&entry);
    due->push_back(DuePlace{key.host, host.life, key.id, *std::move(decision)});
    if (!entry.placed.has_value()) {
      host.asks.erase(key.id);
    }
  }
}

void Planner::OnNote(const WorkNote& note) {
  Host* host = HostOf(note.host, note.life);
  for (const ReadNote& read : note.read) {
    const auto found = host->asks.find(read.id);
    if (found == host->asks.end()) {
      continue;
    }
    for (const WorkId work : found->second.work) {
      loads_.OnRead(work);
    }
    health_->OnSuccess(found->second.endpoint, read.pace);
  }
  for (const EndNote& ended : note.ended) {
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

void Planner::OnWord(const HostWord& word) {
  if (!word.work.has_value()) {
    return;
  }
  untold_.erase(word.address);
  Host* host = HostOf(word.address, word.life);
  std::unordered_map<AskId, const AskedWork*> told;
  for (const AskedWork& work : *word.work) {
    told[work.id] = &work;
    Adopt(host, work);
  }
  const TimePoint now = clock_();
  for (auto it = host->asks.begin(); it != host->asks.end();) {
    Entry& entry = it->second;
    const bool given_up =
        entry.waiter.has_value() && now - entry.asked_at > kAskHolds;
    const bool ended = !entry.waiter.has_value() &&
                       told.count(it->first) == 0 &&
                       now - entry.placed_at > kUntold;
    const bool gone = given_up || ended;
    if (gone) {
      DropEntry(&entry);
    }
    it = gone ? host->asks.erase(it) : std::next(it);
  }
}

void Planner::Adopt(Host* host, const AskedWork& work) {
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
  if (work.is_read) {
    for (const WorkId id : entry.work) {
      loads_.OnRead(id);
    }
  }
}

Planner::Host* Planner::HostOf(const HostAddress& address, Incarnation life) {
  Host& host = hosts_[address];
  if (host.life != life) {
    DropAsks(&host);
    host.life = life;
  }
  host.heard = clock_();
  return &host;
}

void Planner::DropSilent() {
  const TimePoint now = clock_();
  for (auto it = hosts_.begin(); it != hosts_.end();) {
    const bool silent = now - it->second.heard > kHostHolds;
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
  room_.ForgetGiven();
  short_room_.ForgetGiven();
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
