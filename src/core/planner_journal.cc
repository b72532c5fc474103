#include "harecrank/core/planner_journal.h"

#include <utility>

namespace harecrank {
namespace {

// Encoded size of the fixed fields of a record, of a query and of a work part
// or a helper, without the names in them.
constexpr std::size_t kRecordBytes = 40;
constexpr std::size_t kQueryBytes = 110;
constexpr std::size_t kPartBytes = 32;

std::size_t BytesOf(const std::set<EndpointId>& ids) {
  std::size_t bytes = 0;
  for (const EndpointId& id : ids) {
    bytes += id.value.size() + 1;
  }
  return bytes;
}

struct StateBytes {
  std::size_t operator()(const QueuedRecord& queued) const {
    const PlacementQuery& query = queued.query;
    return kQueryBytes + query.host.value.size() + query.service.value.size() +
           query.origin.request.account.value.size() + BytesOf(query.tried) +
           BytesOf(query.withheld);
  }
  std::size_t operator()(const PlacedRecord& placed) const {
    std::size_t bytes = kPartBytes;
    for (const WorkPart& part : placed.work.parts) {
      bytes += part.endpoint.value.size() + kPartBytes;
    }
    if (placed.placement.has_value()) {
      bytes += placed.placement->endpoint.value.size() + kPartBytes;
      for (const PlannedHelper& helper : placed.placement->helpers) {
        bytes += helper.endpoint.value.size() + kPartBytes;
      }
    }
    return bytes;
  }
  std::size_t operator()(const EndedRecord& /*ended*/) const { return 0; }
};

}  // namespace

std::size_t EstimatedBytes(const PlannerRecord& record) {
  return kRecordBytes + record.host.value.size() +
         std::visit(StateBytes{}, record.state);
}

PlannerJournal::PlannerJournal(Planner* planner, HostAddress self,
                               Incarnation incarnation)
    : planner_(planner), self_(std::move(self)), incarnation_(incarnation) {}

void PlannerJournal::Restart() {
  planner_->TakeChanges();
  pending_ = planner_->KnownQueries();
  sent_.clear();
  restarts_ = true;
}

void PlannerJournal::Collect() {
  if (restarts_ && pending_.empty()) {
    pending_ = planner_->KnownQueries();
  }
  pending_.merge(planner_->TakeChanges());
}

std::optional<PlannerRecord> PlannerJournal::RecordFor(
    const QueryKey& key) const {
  std::optional<PlannerRecord> record = planner_->RecordOf(key);
  if (!record.has_value() && sent_.count(key) > 0) {
    record = PlannerRecord{key.host, Incarnation{}, key.id, EndedRecord{}};
  }
  return record;
}

std::optional<PlannerUpdate> PlannerJournal::TakeUpdate() {
  Collect();
  std::vector<PlannerRecord> records = TakeRecords();
  if (records.empty() && !restarts_) {
    return std::nullopt;
  }
  PlannerUpdate update = EmptyUpdate();
  update.records = std::move(records);
  update.restarts = std::exchange(restarts_, false);
  update.has_more = !pending_.empty();
  return update;
}

std::vector<PlannerRecord> PlannerJournal::TakeRecords() {
  std::vector<PlannerRecord> records;
  std::size_t bytes = 0;
  while (!pending_.empty()) {
    const QueryKey key = *pending_.begin();
    std::optional<PlannerRecord> record = RecordFor(key);
    if (!record.has_value()) {
      pending_.erase(pending_.begin());
      continue;
    }
    bytes += EstimatedBytes(*record);
    if (bytes > kMaxUpdateBytes && !records.empty()) {
      break;
    }
    if (std::holds_alternative<EndedRecord>(record->state)) {
      sent_.erase(key);
    } else {
      sent_.insert(key);
    }
    records.push_back(*std::move(record));
    pending_.erase(pending_.begin());
  }
  return records;
}

PlannerUpdate PlannerJournal::EmptyUpdate() {
  PlannerUpdate update;
  update.from = self_;
  update.incarnation = incarnation_;
  update.sequence = next_sequence_++;
  return update;
}

}  // namespace harecrank
