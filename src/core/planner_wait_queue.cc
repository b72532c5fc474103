// The functions of Planner that handle the wait queues. The other functions are
// in planner.cc.

#include <algorithm>
#include <utility>

#include "harecrank/core/planner.h"

namespace harecrank {
namespace {

std::optional<PlacementDecision> AsDecision(
    const std::optional<QueryRejected>& rejected) {
  return rejected.has_value() ? std::make_optional<PlacementDecision>(*rejected)
                              : std::nullopt;
}

}  // namespace

ShareClaim Planner::ShareClaimOf(const PlacementRequest& request) const {
  const auto table = routing_();
  return ClaimOf(request, table != nullptr && table->HasSeveralAccounts());
}

ShareRank Planner::ShareRankOf(const Entry& entry,
                               const std::optional<PlacementRequest>& request) {
  const bool uses_engine =
      request.has_value() && request->service->engine.has_value();
  return uses_engine ? QueueOf(entry).ShareRankOf(ShareClaimOf(*request))
                     : ShareRank::kEqual;
}

AdmissionCandidate Planner::CandidateOf(const Entry& entry,
                                        const PlacementRequest& request) const {
  AdmissionCandidate candidate;
  candidate.request = &request;
  candidate.work = PrefillTime(*request.service->engine, request.prompt);
  candidate.kind = entry.is_short ? PromptKind::kShort : PromptKind::kLong;
  candidate.age = clock_() - entry.arrived_at;
  candidate.waits = entry.queue_id.has_value();
  candidate.has_reservation = entry.has_reservation;
  candidate.engines = directory_->UsableOf(request.service->name).size();
  return candidate;
}

std::optional<QueryRejected> Planner::RejectionOnArrival(
    const Entry& entry, const PlacementRequest& request, ShareRank share_rank) {
  if (entry.uses_admission_control) {
    const AdmissionCandidate candidate = CandidateOf(entry, request);
    const WaitQueue& queue = entry.is_short ? short_queue_ : long_queue_;
    return admission_control_.RejectionOf(
        candidate,
        WorkAhead{queue.WorkInTime(), queue.LateWork(), queue.LeastLateWork()});
  }
  // A request of an account below its fair share goes before the late prompts
  // of other accounts, so the lateness of those prompts does not predict how
  // long the request would wait.
  const bool has_precedent = policy_.refuses_by_precedent && !entry.is_short &&
                             share_rank != ShareRank::kBefore &&
                             HasLatePrecedent(entry.query, request);
  return has_precedent ? std::make_optional(QueryRejected{}) : std::nullopt;
}

std::optional<PlacementDecision> Planner::RejectionWhileQueued(
    const Entry& entry, const WorkAhead& ahead) {
  if (!entry.uses_admission_control) {
    return std::nullopt;
  }
  const auto request = RequestOf(entry);
  if (!request.has_value()) {
    return NoEndpoint{};
  }
  return AsDecision(
      admission_control_.RejectionOf(CandidateOf(entry, *request), ahead));
}

bool Planner::MayStart(const Entry& entry, const WaitQueue& queue,
                       const WorkAhead& ahead) const {
  const PromptKind kind =
      entry.is_short ? PromptKind::kShort : PromptKind::kLong;
  return !entry.uses_admission_control || entry.query.may_have_run ||
         admission_control_.MayStart(queue.Find(*entry.queue_id), kind,
                                     clock_(), ahead);
}

bool Planner::HasLatePrecedent(const PlacementQuery& query,
                               const PlacementRequest& request) const {
  const auto least_late_work = long_queue_.LeastLateWork();
  return !query.may_have_run && least_late_work.has_value() &&
         *least_late_work <=
             PrefillTime(*request.service->engine, query.prompt);
}

bool Planner::IsShort(const PlacementRequest& request) const {
  return request.service->engine.has_value() && IsShortPrompt(request, policy_);
}

void Planner::RecordDemand(const PlacementRequest& request) {
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
  for (const Demand& sample : demand_) {
    if (now - sample.at <= kDemandWindow) {
      demand.requests += 1;
      demand.prefill_time += sample.prefill_time;
    }
  }
  const double share = FractionalMillis(time) / kDemandWindow;
  demand.requests *= share;
  demand.prefill_time *= share;
  return demand;
}

void Planner::Enqueue(Entry* entry, const PlacementRequest& request) {
  OnChanged(*entry);
  const FractionalMillis work =
      PrefillTime(*request.service->engine, entry->query.prompt);
  const QueryKey key{entry->query.host, entry->query.id};
  // A request with a reservation goes before all others once little time is
  // left in which it can start and still finish.
  const TimePoint urgent_from =
      entry->has_reservation
          ? admission_control_.UrgentFrom(CandidateOf(*entry, request))
          : TimePoint::max();
  const ShareClaim claim = ShareClaimOf(request);
  if (entry->is_short) {
    entry->queue_id = short_queue_.Add(
        WaitingRequest{entry->first_event_due, work, work,
                       entry->has_reservation, urgent_from, claim});
    short_query_keys_[*entry->queue_id] = key;
    return;
  }
  // The queue assumes for a long prompt that it is split among the maximum
  // number of helpers.
  entry->queue_id = long_queue_.Add(WaitingRequest{
      entry->first_event_due, work / static_cast<double>(kMaxHelpers + 1), work,
      entry->has_reservation, urgent_from, claim});
  long_query_keys_[*entry->queue_id] = key;
}

void Planner::Dequeue(Entry* entry) {
  if (!entry->queue_id.has_value()) {
    return;
  }
  OnChanged(*entry);
  (entry->is_short ? short_queue_ : long_queue_).Remove(*entry->queue_id);
  (entry->is_short ? short_query_keys_ : long_query_keys_)
      .erase(*entry->queue_id);
  entry->queue_id.reset();
  if (long_queue_.IsEmpty()) {
    plan_ = Plan{};
  }
}

bool Planner::HasTimedOut(const Entry& entry) const {
  const FractionalMillis late = clock_() - entry.first_event_due;
  return entry.is_short && !entry.query.may_have_run &&
         !entry.uses_admission_control &&
         late > policy_.late_wait_share *
                    FractionalMillis(entry.query.target_latency);
}

// Processes the queue of long prompts by the way to place them.
struct Planner::LongQueueVisitor {
  Planner* planner;
  std::size_t max_failed;
  std::vector<DeferredReply>* replies;

  void operator()(WhenEnginesAreFree /*placing*/) const {
    planner->ProcessQueue(&planner->long_queue_, max_failed, replies);
  }
  void operator()(ReserveEnginesAhead /*placing*/) const {
    planner->PlanLongQueue(replies);
  }
};

std::vector<DeferredReply> Planner::ProcessWaitQueue() {
  std::vector<DeferredReply> replies;
  if (IsLearning()) {
    return replies;
  }
  // When the learning period ends, the planner tries to place all queries that
  // arrived during it. Otherwise it stops after `policy_.tried` failures.
  const bool learning_ended =
      !unreported_hosts_.empty() || learning_until_ != TimePoint{};
  const std::size_t max_failed =
      learning_ended ? WaitingCount() : policy_.tried;
  unreported_hosts_.clear();
  learning_until_ = TimePoint{};
  ProcessQueue(&short_queue_, max_failed, &replies);
  std::visit(LongQueueVisitor{this, max_failed, &replies},
             policy_.long_placing);
  return replies;
}

void Planner::ProcessQueue(WaitQueue* queue, std::size_t max_failed,
                           std::vector<DeferredReply>* replies) {
  const bool is_short = queue == &short_queue_;
  admission_control_.OnWaiting(
      is_short ? PromptKind::kShort : PromptKind::kLong, !queue->IsEmpty());
  std::size_t failed = 0;
  WorkAhead ahead;
  for (const WaitingRequestId id : queue->InOrder(queue->Count())) {
    const QueryKey key =
        (is_short ? short_query_keys_ : long_query_keys_).at(id);
    Entry& entry = hosts_.at(key.host).queries.at(key.id);
    std::optional<PlacementDecision> decision;
    if (HasTimedOut(entry)) {
      decision = QueryRejected{};
    } else if (failed < max_failed && MayStart(entry, *queue, ahead)) {
      decision = TryPlace(&entry);
    }
    if (!decision.has_value()) {
      decision = RejectionWhileQueued(entry, ahead);
    }
    if (!decision.has_value()) {
      // The query stays in the queue, so its work is ahead of the queries that
      // follow.
      const WaitingRequest& waiting_request = queue->Find(id);
      (CanMeetTarget(waiting_request, clock_()) ? ahead.in_time : ahead.late) +=
          waiting_request.work;
      ++failed;
      continue;
    }
    EndWait(key, *std::move(decision), replies);
  }
}

void Planner::EndWait(const QueryKey& key, PlacementDecision decision,
                      std::vector<DeferredReply>* replies) {
  HostQueries& host = hosts_.at(key.host);
  Entry& entry = host.queries.at(key.id);
  Dequeue(&entry);
  replies->push_back(
      DeferredReply{key.host, host.incarnation, key.id, std::move(decision)});
  if (!entry.placed.has_value()) {
    host.queries.erase(key.id);
  }
}

}  // namespace harecrank
