#include "harecrank/core/planner_replica.h"

#include <algorithm>
#include <utility>

#include "harecrank/core/planner_journal.h"

namespace harecrank {
namespace {

// Moves the times of a record on by `time`.
struct Aging {
  FractionalMillis time{0};

  void operator()(QueuedRecord& queued) const {
    queued.age += time;
    queued.query.until_late -= time;
    queued.query.until_deadline -= time;
  }
  void operator()(PlacedRecord& placed) const {
    placed.age += time;
    placed.until_late -= time;
  }
  void operator()(EndedRecord& /*ended*/) const {}
};

}  // namespace

PlannerReplica::PlannerReplica(MonotonicClock clock)
    : clock_(std::move(clock)) {}

void PlannerReplica::OnUpdate(const PlannerUpdate& update) {
  if (update.from != from_ || update.incarnation != incarnation_) {
    Clear();
    from_ = update.from;
    incarnation_ = update.incarnation;
    next_sequence_ = update.sequence;
    is_missing_updates_ = !update.restarts;
  }
  if (update.sequence < next_sequence_) {
    return;
  }
  if (update.restarts) {
    Clear();
  } else if (update.sequence > next_sequence_) {
    is_missing_updates_ = true;
  }
  next_sequence_ = update.sequence + 1;
  expects_more_ = update.has_more;
  updated_at_ = clock_();
  for (const PlannerRecord& record : update.records) {
    Apply(record);
  }
}

void PlannerReplica::Clear() {
  held_.clear();
  bytes_ = 0;
  is_missing_updates_ = false;
  is_truncated_ = false;
}

void PlannerReplica::Apply(const PlannerRecord& record) {
  const QueryKey key{record.host, record.id};
  if (const auto found = held_.find(key); found != held_.end()) {
    bytes_ -= found->second.bytes;
    held_.erase(found);
  }
  if (std::holds_alternative<EndedRecord>(record.state)) {
    return;
  }
  const std::size_t bytes = EstimatedBytes(record);
  if (held_.size() >= kMaxRecords || bytes_ + bytes > kMaxBytes) {
    is_truncated_ = true;
    return;
  }
  bytes_ += bytes;
  held_[key] = Held{record, bytes, clock_()};
}

bool PlannerReplica::HoldsWaiting() const {
  return std::any_of(held_.begin(), held_.end(), [](const auto& item) {
    return std::holds_alternative<QueuedRecord>(item.second.record.state);
  });
}

std::optional<ReplicaState> PlannerReplica::Take() {
  const TimePoint now = clock_();
  const bool is_fresh =
      updated_at_ != TimePoint{} && now - updated_at_ <= kReplicaLifetime;
  ReplicaState state;
  state.complete = !is_missing_updates_ && !is_truncated_ && !expects_more_;
  for (auto& [key, held] : held_) {
    std::visit(Aging{now - held.received_at}, held.record.state);
    state.records.push_back(std::move(held.record));
  }
  Clear();
  from_ = HostAddress{};
  updated_at_ = TimePoint{};
  return is_fresh ? std::make_optional(std::move(state)) : std::nullopt;
}

}  // namespace harecrank
