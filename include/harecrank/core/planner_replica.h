// What a standby, a host that may become the next planner, holds of the state
// of the current planner.

#ifndef HARECRANK_CORE_PLANNER_REPLICA_H_
#define HARECRANK_CORE_PLANNER_REPLICA_H_

#include <map>
#include <optional>
#include <vector>

#include "harecrank/core/clock.h"
#include "harecrank/core/fleet_messages.h"

namespace harecrank {

// The state of a previous planner, as Planner::Restore takes it.
struct ReplicaState {
  std::vector<PlannerRecord> records;
  // Whether no update is missing.
  bool complete = false;
};

// Applies the updates of the planner in their order. A lost update leaves the
// replica incomplete until the planner restarts its updates; the records are
// still of use, since each holds the whole state of its query. Not thread-safe.
class PlannerReplica {
 public:
  explicit PlannerReplica(MonotonicClock clock);

  // Applies an update. An update that was repeated or overtaken is ignored. An
  // update of another planner drops the records of the previous one.
  void OnUpdate(const PlannerUpdate& update);

  // Returns whether an update is missing, so that the planner must be asked to
  // restart.
  bool IsMissingUpdates() const { return is_missing_updates_; }

  // Returns the records, with the times that are left now, and forgets them.
  // Returns nothing if the last update is older than kReplicaLifetime.
  std::optional<ReplicaState> Take();

  // Returns whether queries wait at the planner, as far as this host knows.
  bool HoldsWaiting() const;

  std::size_t Count() const { return held_.size(); }

  // Age of the last update after which the replica is of no use.
  static constexpr Millis kReplicaLifetime{3000};
  // Limits on what the replica holds. Records beyond them are dropped, and the
  // replica is incomplete.
  static constexpr std::size_t kMaxRecords = 20000;
  static constexpr std::size_t kMaxBytes = std::size_t{8} << 20;

 private:
  struct Held {
    PlannerRecord record;
    std::size_t bytes = 0;
    TimePoint received_at{};
  };

  void Clear();
  void Apply(const PlannerRecord& record);

  MonotonicClock clock_;
  HostAddress from_;
  Incarnation incarnation_;
  std::uint64_t next_sequence_ = 0;
  bool is_missing_updates_ = false;
  // Whether records were dropped, and whether more updates belong to the last.
  bool is_truncated_ = false;
  bool expects_more_ = false;
  TimePoint updated_at_{};
  std::map<QueryKey, Held> held_;
  std::size_t bytes_ = 0;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_PLANNER_REPLICA_H_
