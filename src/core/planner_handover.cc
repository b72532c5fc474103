// The functions of Planner that pass its state on to the next planner. The
// other functions are in planner.cc and planner_wait_queue.cc.

#include <algorithm>
#include <utility>

#include "harecrank/core/planner.h"

namespace harecrank {
namespace {

TimePoint::duration ToSteady(FractionalMillis time) {
  return std::chrono::duration_cast<TimePoint::duration>(time);
}

// Returns the part of the work that is left after `age`. A part that counts as
// long keeps doing so until its prefill is reported as done.
WorkPart RemainingPart(const WorkPart& part, FractionalMillis age) {
  const FractionalMillis least =
      std::min(part.prefill_time, EndpointLoads::kLongPart);
  WorkPart remaining = part;
  remaining.prefill_time = std::max(least, part.prefill_time - age);
  return remaining;
}

}  // namespace

void Planner::RecordChanges(bool enabled) {
  records_changes_ = enabled;
  changes_.clear();
}

void Planner::OnChanged(const Entry& entry) {
  if (records_changes_) {
    changes_.insert(QueryKey{entry.query.host, entry.query.id});
  }
}

std::set<QueryKey> Planner::TakeChanges() {
  return std::exchange(changes_, {});
}

std::set<QueryKey> Planner::KnownQueries() const {
  std::set<QueryKey> keys;
  for (const auto& [address, host] : hosts_) {
    for (const auto& [id, entry] : host.queries) {
      keys.insert(QueryKey{address, id});
    }
  }
  return keys;
}

std::vector<DeferredReply> Planner::QueuedReplies() const {
  std::vector<DeferredReply> replies;
  for (const auto* queue_keys : {&short_query_keys_, &long_query_keys_}) {
    for (const auto& [queue_id, key] : *queue_keys) {
      const Incarnation incarnation = hosts_.at(key.host).incarnation;
      replies.push_back(
          DeferredReply{key.host, incarnation, key.id, QueryQueued{}});
    }
  }
  return replies;
}

std::optional<PlannerRecord> Planner::RecordOf(const QueryKey& key) const {
  const auto host = hosts_.find(key.host);
  if (host == hosts_.end()) {
    return std::nullopt;
  }
  const auto found = host->second.queries.find(key.id);
  if (found == host->second.queries.end()) {
    return std::nullopt;
  }
  const Entry& entry = found->second;
  const TimePoint now = clock_();
  PlannerRecord record{key.host, host->second.incarnation, key.id, {}};
  if (entry.queue_id.has_value()) {
    QueuedRecord queued{entry.query, now - entry.arrived_at,
                        entry.has_reservation, entry.queue_id->value};
    queued.query.until_late = entry.first_event_due - now;
    queued.query.until_deadline = entry.deadline - now;
    record.state = std::move(queued);
  } else {
    record.state = PlacedRecord{
        entry.placed, QueryWork{key.id, entry.prefill_done, entry.parts},
        now - entry.placed_at, entry.first_event_due - now};
  }
  return record;
}

std::size_t Planner::Restore(const std::vector<PlannerRecord>& records,
                             bool complete) {
  // Requests that arrived earlier at the previous planner go first where the
  // queue has no other reason to decide.
  std::map<std::uint64_t, std::vector<const PlannerRecord*>> queued_records;
  std::size_t restored = 0;
  for (const PlannerRecord& record : records) {
    if (const auto* placed = std::get_if<PlacedRecord>(&record.state)) {
      restored += RestorePlaced(record, *placed) ? 1 : 0;
    } else if (const auto* queued = std::get_if<QueuedRecord>(&record.state)) {
      queued_records[queued->position].push_back(&record);
    }
  }
  for (const auto& [position, same_position] : queued_records) {
    for (const PlannerRecord* record : same_position) {
      const bool used =
          RestoreQueued(*record, std::get<QueuedRecord>(record->state));
      restored += used ? 1 : 0;
    }
  }
  if (complete) {
    unreported_hosts_.clear();
  }
  return restored;
}

bool Planner::RestorePlaced(const PlannerRecord& record,
                            const PlacedRecord& placed) {
  HostQueries* host = FindOrAddHost(record.host, record.incarnation);
  const auto [found, is_new] = host->queries.try_emplace(record.id);
  if (!is_new) {
    return false;
  }
  Entry& entry = found->second;
  entry.is_restored = true;
  entry.query.host = record.host;
  entry.query.id = record.id;
  entry.placed = placed.placement;
  entry.placed_at = clock_() - ToSteady(placed.age);
  entry.first_event_due = clock_() + ToSteady(placed.until_late);
  entry.parts = placed.work.parts;
  for (const WorkPart& part : entry.parts) {
    entry.work.push_back(
        loads_.Begin(RemainingPart(part, placed.age), entry.first_event_due));
  }
  if (!entry.parts.empty()) {
    entry.endpoint = entry.parts.front().endpoint;
  }
  if (placed.work.prefill_done) {
    MarkPrefillDone(&entry);
  }
  OnChanged(entry);
  return true;
}

bool Planner::RestoreQueued(const PlannerRecord& record,
                            const QueuedRecord& queued) {
  HostQueries* host = FindOrAddHost(record.host, record.incarnation);
  const auto [found, is_new] = host->queries.try_emplace(record.id);
  if (!is_new) {
    return false;
  }
  Entry& entry = found->second;
  entry = NewEntry(queued.query);
  entry.is_restored = true;
  entry.last_query_at = clock_();
  entry.arrived_at = clock_() - ToSteady(queued.age);
  entry.has_reservation = queued.has_reservation;
  const auto request = RequestOf(entry);
  const bool is_useful = request.has_value() &&
                         request->service->engine.has_value() &&
                         entry.deadline > clock_();
  if (!is_useful) {
    host->queries.erase(found);
    return false;
  }
  entry.is_short = IsShort(*request);
  entry.uses_admission_control =
      !PlansAhead(entry) &&
      admission_control_.CanDecide(CandidateOf(entry, *request));
  Enqueue(&entry, *request);
  return true;
}

bool Planner::IsPlacedElsewhere(const Entry& entry, const QueryWork& work) {
  if (!entry.is_restored || work.parts.empty()) {
    return false;
  }
  const auto same_endpoint = [](const WorkPart& a, const WorkPart& b) {
    return a.endpoint == b.endpoint;
  };
  return !std::equal(entry.parts.begin(), entry.parts.end(), work.parts.begin(),
                     work.parts.end(), same_endpoint);
}

}  // namespace harecrank
