// What this host knows of the platform's publications, from whomever, and
// whether it reads them itself.

#ifndef HARECRANK_SRC_GATEWAY_STORE_SYNC_STATE_H_
#define HARECRANK_SRC_GATEWAY_STORE_SYNC_STATE_H_

#include <functional>
#include <optional>
#include <string>

#include "harecrank/core/endpoint_directory.h"
#include "harecrank/core/poll_schedule.h"
#include "src/adapters/event_log.h"

namespace harecrank {

// What the state asks of its owner.
struct StoreSyncStatePorts {
  std::function<void(PollMode reading)> set_poll_mode;
  // What is known has changed.
  std::function<void()> on_published;
  // The platform has answered this host itself, or failed to.
  std::function<void()> on_poll_result;
  // It is known again that the platform answers, after the turns of others to
  // look had begun to come.
  std::function<void()> on_overdue_refresh;
};

// Not thread-safe.
class StoreSyncState {
 public:
  // All pointers must outlive this. `is_seed`: other hosts turn to this one
  // first.
  StoreSyncState(bool is_seed, PollSchedulePorts duty,
                 StoreSyncStatePorts ports, EndpointDirectory* directory,
                 EventLog* log, const MonotonicClock& clock,
                 const RandomSource& random);

  // The platform has answered this host: what is known is complete up to `at`.
  void OnPollSucceeded(StoreRevision at);
  // It has not, for `reason`.
  void OnPollFailed(const std::string& reason);

  // Another host, which the platform answers, tells what was published up to
  // `at`.
  void OnPeerSynced(StoreRevision at);
  // Another host knows no more than this one, and the platform answered it
  // `age` ago.
  void OnPeerFreshness(Millis age);

  // What another host told is taken: all up to `at` is known.
  void OnImported(StoreRevision at) { AdvanceTo(at); }

  // This host's turn among those that read for all.
  void SetPollRank(std::optional<int> turn);

  // To be called a few times a second.
  void Tick() { Update("nobody told for a while"); }

  bool HasFreshData() const { return is_well_; }
  StoreRevision KnownUpTo() const { return known_up_to_; }
  // Adds what others are told of this.
  void Describe(Heartbeat* word) const;

 private:
  void AdvanceTo(StoreRevision at);
  // What is known is complete as of `age` ago; before, it was late.
  void NoteKnown(Millis age, bool is_late);
  // Reads or not, and tells of it if the platform is lost or back.
  void Update(const std::string& reason);

  PollSchedule duty_;
  StoreSyncStatePorts ports_;
  EndpointDirectory* directory_;
  EventLog* log_;
  bool is_well_ = false;
  StoreRevision known_up_to_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_STORE_SYNC_STATE_H_
