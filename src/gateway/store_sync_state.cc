#include "src/gateway/store_sync_state.h"

#include <algorithm>
#include <utility>

namespace harecrank {

StoreSyncState::StoreSyncState(bool is_seed, PollSchedulePorts duty,
                               StoreSyncStatePorts ports,
                               EndpointDirectory* directory, EventLog* log,
                               const MonotonicClock& clock,
                               const RandomSource& random)
    : duty_(is_seed, std::move(duty), clock, random),
      ports_(std::move(ports)),
      directory_(directory),
      log_(log) {}

void StoreSyncState::OnPollSucceeded(StoreRevision at) {
  AdvanceTo(at);
  const bool is_late = duty_.IsOverdue();
  duty_.OnPollSucceeded();
  NoteKnown(Millis(0), is_late);
  ports_.on_poll_result();
}

void StoreSyncState::OnPollFailed(const std::string& reason) {
  duty_.OnPollFailed();
  directory_->OnStoreUnreachable(duty_.Age());
  Update(reason);
  ports_.on_poll_result();
}

void StoreSyncState::OnPeerSynced(StoreRevision at) {
  AdvanceTo(at);
  OnPeerFreshness(Millis(0));
}

void StoreSyncState::OnPeerFreshness(Millis age) {
  const bool is_late = duty_.IsOverdue();
  duty_.OnPeerUpdate(age);
  NoteKnown(age, is_late);
}

void StoreSyncState::SetPollRank(std::optional<int> turn) {
  duty_.SetPollRank(turn);
  Update("told to stop reading");
}

void StoreSyncState::Describe(Heartbeat* word) const {
  word->known_up_to = known_up_to_;
  word->store_data_fresh = is_well_;
  word->store_data_age = duty_.Age();
  word->poll_state = duty_.OwnPollState();
}

void StoreSyncState::AdvanceTo(StoreRevision at) {
  known_up_to_ = std::max(known_up_to_, at);
}

void StoreSyncState::NoteKnown(Millis age, bool is_late) {
  directory_->OnStoreSynced(known_up_to_, age);
  Update("");
  ports_.on_published();
  if (is_late) {
    ports_.on_overdue_refresh();
  }
}

void StoreSyncState::Update(const std::string& reason) {
  duty_.Update();
  ports_.set_poll_mode(duty_.Mode());
  const bool is_well = duty_.HasFreshData();
  if (is_well == is_well_) {
    return;
  }
  is_well_ = is_well;
  if (is_well) {
    log_->Write("source_regained", {{"at", known_up_to_.value}},
                LogRateLimit::kExempt);
  } else {
    log_->Write("source_lost",
                {{"reason", reason}, {"known_up_to", known_up_to_.value}},
                LogRateLimit::kExempt);
  }
}

}  // namespace harecrank
