// Tracks how recent this host's copy of the store's data is, whether it was
// received from the store or from other hosts, and whether this host polls the
// store.

#ifndef HARECRANK_SRC_GATEWAY_STORE_SYNC_STATE_H_
#define HARECRANK_SRC_GATEWAY_STORE_SYNC_STATE_H_

#include <functional>
#include <optional>
#include <string>

#include "harecrank/core/endpoint_directory.h"
#include "harecrank/core/poll_schedule.h"
#include "src/adapters/event_log.h"

namespace harecrank {

// Callbacks through which StoreSyncState sets the poll mode and reports
// changes.
struct StoreSyncStatePorts {
  std::function<void(PollMode mode)> set_poll_mode;
  // Called when this host has received data, or a confirmation that its data
  // are current.
  std::function<void()> on_published;
  // Called when a poll of the store by this host has succeeded or failed.
  std::function<void()> on_poll_result;
  // Called when this host has received current data after its data had been
  // overdue (PollSchedule::IsOverdue).
  std::function<void()> on_overdue_refresh;
};

// Tracks the revision and the age of this host's copy of the store's data, and
// sets the feed's poll mode accordingly. Not thread-safe.
class StoreSyncState {
 public:
  // All pointers must outlive this. `is_seed` tells whether this host is a
  // seed, which other hosts contact first.
  StoreSyncState(bool is_seed, PollSchedulePorts poll_schedule,
                 StoreSyncStatePorts ports, EndpointDirectory* directory,
                 EventLog* log, const MonotonicClock& clock,
                 const RandomSource& random);

  // Records that the store has answered this host: the data are complete up to
  // `at`.
  void OnPollSucceeded(StoreRevision at);
  // Records that a poll by this host has failed.
  void OnPollFailed(const std::string& reason);

  // Records that another host whose data are fresh has sent its data up to
  // `at`.
  void OnPeerSynced(StoreRevision at);
  // Records that another host, whose data are `age` old, has no newer data than
  // this host. The data of this host are therefore at most `age` old, too.
  void OnPeerFreshness(Millis age);

  // Records that the data of another host have been imported and are complete
  // up to `at`.
  void OnImported(StoreRevision at) { AdvanceTo(at); }

  // Sets this host's rank among the hosts that poll the store for the fleet,
  // where zero polls continuously; unset if this host is not one of them.
  void SetPollRank(std::optional<int> rank);

  // To be called a few times a second.
  void Tick() { Update("no update received in time"); }

  bool HasFreshData() const { return is_fresh_; }
  StoreRevision KnownUpTo() const { return known_up_to_; }
  // Fills the fields of `heartbeat` that describe this state.
  void Describe(Heartbeat* heartbeat) const;

 private:
  void AdvanceTo(StoreRevision at);
  // Records that the data include all changes made until `age` ago.
  // `was_overdue` tells whether they had been overdue before this update.
  void RecordFreshness(Millis age, bool was_overdue);
  // Updates the poll mode, and logs when the data become fresh or stale.
  // `reason` is logged if they become stale.
  void Update(const std::string& reason);

  PollSchedule poll_schedule_;
  StoreSyncStatePorts ports_;
  EndpointDirectory* directory_;
  EventLog* log_;
  bool is_fresh_ = false;
  StoreRevision known_up_to_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_STORE_SYNC_STATE_H_
