// Who waits at the planner, in which order, and for how long. The rest of the
// class is in planner.cc.

#include <algorithm>
#include <utility>

#include "harecrank/core/planner.h"

namespace harecrank {
namespace {

std::optional<PlacementDecision> AsDecision(
    const std::optional<QueryRejected>& refused) {
  return refused.has_value() ? std::make_optional<PlacementDecision>(*refused)
                             : std::nullopt;
}

}  // namespace

ShareClaim Planner::ShareClaimOf(const PlacementRequest& request) const {
  const auto table = routing_();
  return ClaimOf(request, table != nullptr && table->HasSeveralAccounts());
}

ShareRank Planner::ShareRankOf(const Entry& entry,
                               const std::optional<PlacementRequest>& request) {
  const bool shares =
      request.has_value() && request->service->engine.has_value();
  return shares ? RoomOf(entry).ShareRankOf(ShareClaimOf(*request))
                : ShareRank::kEqual;
}

AdmissionCandidate Planner::SeekerOf(const Entry& entry,
                                     const PlacementRequest& request) const {
  AdmissionCandidate seeker;
  seeker.request = &request;
  seeker.work = PrefillTime(*request.service->engine, request.prompt);
  seeker.kind = entry.is_short ? PromptKind::kShort : PromptKind::kLong;
  seeker.age = clock_() - entry.came_at;
  seeker.waits = entry.waiter.has_value();
  seeker.has_reservation = entry.has_reservation;
  seeker.engines = directory_->UsableOf(request.service->name).size();
  return seeker;
}

std::optional<QueryRejected> Planner::RefusalOnArrival(
    const Entry& entry, const PlacementRequest& request, ShareRank turn) {
  if (entry.is_foreseen) {
    const AdmissionCandidate seeker = SeekerOf(entry, request);
    const WaitQueue& room = entry.is_short ? short_room_ : room_;
    return decision_.RejectionOf(
        seeker,
        WorkAhead{room.WorkInTime(), room.LateWork(), room.LeastLateWork()});
  }
  // Late prompts of an account that goes after it are no precedent.
  const bool in_vain = policy_.refuses_by_precedent && !entry.is_short &&
                       turn != ShareRank::kBefore &&
                       WaitsInVain(entry.ask, request);
  return in_vain ? std::make_optional(QueryRejected{}) : std::nullopt;
}

std::optional<PlacementDecision> Planner::EndOfWait(const Entry& entry,
                                                    const WorkAhead& ahead) {
  if (!entry.is_foreseen) {
    return std::nullopt;
  }
  const auto request = RequestOf(entry);
  if (!request.has_value()) {
    return NoEndpoint{};
  }
  return AsDecision(decision_.RejectionOf(SeekerOf(entry, *request), ahead));
}

bool Planner::MayStart(const Entry& entry, const WaitQueue& room,
                       const WorkAhead& ahead) const {
  const PromptKind kind =
      entry.is_short ? PromptKind::kShort : PromptKind::kLong;
  return !entry.is_foreseen || entry.ask.may_have_run ||
         decision_.MayStart(room.Find(*entry.waiter), kind, clock_(), ahead);
}

bool Planner::WaitsInVain(const PlacementQuery& ask,
                          const PlacementRequest& request) const {
  const auto least = room_.LeastLateWork();
  return !ask.may_have_run && least.has_value() &&
         *least <= PrefillTime(*request.service->engine, ask.prompt);
}

bool Planner::IsShort(const PlacementRequest& request) const {
  return request.service->engine.has_value() && IsShortPrompt(request, policy_);
}

void Planner::NoteDemand(const PlacementRequest& request) {
  const TimePoint now = clock_();
  demand_.push_back(
      Demand{now, PrefillTime(*request.service->engine, request.prompt)});
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
      demand.reading += one.prefill_time;
    }
  }
  const double share = FractionalMillis(time) / kDemandWindow;
  demand.requests *= share;
  demand.reading *= share;
  return demand;
}

void Planner::Wait(Entry* entry, const PlacementRequest& request) {
  const FractionalMillis work =
      PrefillTime(*request.service->engine, entry->ask.prompt);
  const AskKey key{entry->ask.host, entry->ask.id};
  const TimePoint urgent_from =
      entry->has_reservation ? decision_.UrgentFrom(SeekerOf(*entry, request))
                             : TimePoint::max();
  const ShareClaim claim = ShareClaimOf(request);
  if (entry->is_short) {
    entry->waiter = short_room_.Add(WaitingRequest{entry->late_at, work, work,
                                                   entry->has_reservation,
                                                   urgent_from, claim});
    short_waiting_[*entry->waiter] = key;
    return;
  }
  entry->waiter = room_.Add(WaitingRequest{
      entry->late_at, work / static_cast<double>(kMaxHelpers + 1), work,
      entry->has_reservation, urgent_from, claim});
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

std::vector<DeferredReply> Planner::ProcessWaitQueue() {
  std::vector<DeferredReply> due;
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

void Planner::TryRoom(WaitQueue* room, std::size_t tried,
                      std::vector<DeferredReply>* due) {
  const bool is_short = room == &short_room_;
  decision_.OnWaiting(is_short ? PromptKind::kShort : PromptKind::kLong,
                      !room->IsEmpty());
  std::size_t failed = 0;
  WorkAhead ahead;
  for (const WaitingRequestId id : room->InOrder(room->Count())) {
    const AskKey key = (is_short ? short_waiting_ : waiting_).at(id);
    Host& host = hosts_.at(key.host);
    Entry& entry = host.asks.at(key.id);
    std::optional<PlacementDecision> decision;
    if (HasWaitedEnough(entry)) {
      decision = QueryRejected{};
    } else if (failed < tried && MayStart(entry, *room, ahead)) {
      decision = TryPlace(&entry);
    }
    if (!decision.has_value()) {
      decision = EndOfWait(entry, ahead);
    }
    if (!decision.has_value()) {
      const WaitingRequest& waiter = room->Find(id);
      (CanMeetTarget(waiter, clock_()) ? ahead.in_time : ahead.late) +=
          waiter.work;
      ++failed;
      continue;
    }
    LeaveRoom(&entry);
    due->push_back(DeferredReply{key.host, host.incarnation, key.id,
                                 *std::move(decision)});
    if (!entry.placed.has_value()) {
      host.asks.erase(key.id);
    }
  }
}

}  // namespace harecrank
