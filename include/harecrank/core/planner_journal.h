// Collects what the planner tells its standbys.

#ifndef HARECRANK_CORE_PLANNER_JOURNAL_H_
#define HARECRANK_CORE_PLANNER_JOURNAL_H_

#include <optional>
#include <set>
#include <vector>

#include "harecrank/core/fleet_messages.h"
#include "harecrank/core/planner.h"

namespace harecrank {

// Returns about how many bytes the record takes in an encoded update.
std::size_t EstimatedBytes(const PlannerRecord& record);

// Makes the updates for the standbys from the changes at a planner. All
// standbys receive the same updates. A record holds the whole state of its
// query, so a query that changes several times between two updates is sent
// once. Not thread-safe.
class PlannerJournal {
 public:
  // `planner` must outlive the journal and record its changes.
  PlannerJournal(Planner* planner, HostAddress self, Incarnation incarnation);

  // Makes the next updates contain all queries. To be called when a standby has
  // no records or lacks some.
  void Restart();

  // Returns the next update, of up to kMaxUpdateBytes or one record, or nothing
  // if no query has changed.
  std::optional<PlannerUpdate> TakeUpdate();

  // Returns an update without records, which shows the standbys that the
  // planner is there.
  PlannerUpdate EmptyUpdate();

  static constexpr std::size_t kMaxUpdateBytes = 8192;

 private:
  // Adds the planner's changes to `pending_`.
  void Collect();
  // Returns the records of the next update, which are no longer pending then.
  std::vector<PlannerRecord> TakeRecords();
  // Returns the record of a pending query; nothing if the standbys need not
  // know of it, since it has come and ended between two updates.
  std::optional<PlannerRecord> RecordFor(const QueryKey& key) const;

  Planner* planner_;
  HostAddress self_;
  Incarnation incarnation_;
  std::uint64_t next_sequence_ = 1;
  bool restarts_ = true;
  // The queries whose state must be sent, and those that the standbys know.
  std::set<QueryKey> pending_;
  std::set<QueryKey> sent_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_PLANNER_JOURNAL_H_
