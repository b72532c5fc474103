#include "src/gateway/store_sync_state.h"

#include <algorithm>
#include <utility>

namespace harecrank {

StoreSyncState::StoreSyncState(bool is_seed, PollSchedulePorts poll_schedule,
                               StoreSyncStatePorts ports,
                               EndpointDirectory* directory, EventLog* log,
                               const MonotonicClock& clock,
                               const RandomSource& random)
    : poll_schedule_(is_seed, std::move(poll_schedule), clock, random),
      ports_(std::move(ports)),
      directory_(directory),
      log_(log) {}

void StoreSyncState::OnPollSucceeded(StoreRevision at) {
  AdvanceTo(at);
  const bool was_overdue = poll_schedule_.IsOverdue();
  poll_schedule_.OnPollSucceeded();
  RecordFreshness(Millis(0), was_overdue);
  ports_.on_poll_result();
}

void StoreSyncState::OnPollFailed(const std::string& reason) {
  poll_schedule_.OnPollFailed();
  directory_->OnStoreUnreachable(poll_schedule_.Age());
  Update(reason);
  ports_.on_poll_result();
}

void StoreSyncState::OnPeerSynced(StoreRevision at) {
  AdvanceTo(at);
  OnPeerFreshness(Millis(0));
}

void StoreSyncState::OnPeerFreshness(Millis age) {
  const bool was_overdue = poll_schedule_.IsOverdue();
  poll_schedule_.OnPeerUpdate(age);
  RecordFreshness(age, was_overdue);
}

void StoreSyncState::SetPollRank(std::optional<int> rank) {
  poll_schedule_.SetPollRank(rank);
  Update("removed from the polling hosts");
}

void StoreSyncState::Describe(Heartbeat* heartbeat) const {
  heartbeat->known_up_to = known_up_to_;
  heartbeat->store_data_fresh = is_fresh_;
  heartbeat->store_data_age = poll_schedule_.Age();
  heartbeat->poll_state = poll_schedule_.OwnPollState();
}

void StoreSyncState::AdvanceTo(StoreRevision at) {
  known_up_to_ = std::max(known_up_to_, at);
}

void StoreSyncState::RecordFreshness(Millis age, bool was_overdue) {
  directory_->OnStoreSynced(known_up_to_, age);
  Update("");
  ports_.on_published();
  if (was_overdue) {
    ports_.on_overdue_refresh();
  }
}

void StoreSyncState::Update(const std::string& reason) {
  poll_schedule_.Update();
  ports_.set_poll_mode(poll_schedule_.Mode());
  const bool is_fresh = poll_schedule_.HasFreshData();
  if (is_fresh == is_fresh_) {
    return;
  }
  is_fresh_ = is_fresh;
  if (is_fresh) {
    log_->Write("source_regained", {{"at", known_up_to_.value}},
                LogRateLimit::kExempt);
  } else {
    log_->Write("source_lost",
                {{"reason", reason}, {"known_up_to", known_up_to_.value}},
                LogRateLimit::kExempt);
  }
}

}  // namespace harecrank
