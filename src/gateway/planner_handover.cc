#include "src/gateway/planner_handover.h"

#include <algorithm>
#include <utility>

namespace harecrank {
namespace {

// Maximum number of updates that are sent at once. The rest of a large state
// follows with the next calls. kMaxLastUpdates applies when this host leaves,
// so that there are no next calls.
constexpr int kMaxUpdatesAtOnce = 8;
constexpr int kMaxLastUpdates = 64;
// Minimum time between two restarts of the updates on request, and between two
// requests.
constexpr Millis kRestartInterval{200};

}  // namespace

PlannerHandover::PlannerHandover(HostAddress self, Incarnation incarnation,
                                 std::size_t standbys, Membership* membership,
                                 Planner* planner, FleetSocket* socket,
                                 EventLog* log, Metrics* metrics,
                                 MonotonicClock clock)
    : self_(std::move(self)),
      max_standbys_(standbys),
      membership_(membership),
      planner_(planner),
      socket_(socket),
      log_(log),
      metrics_(metrics),
      clock_(std::move(clock)),
      journal_(planner, self_, incarnation),
      replica_(clock_) {}

void PlannerHandover::OnBecamePlanner() {
  planner_->Begin(membership_->OtherAliveHosts());
  if (max_standbys_ == 0) {
    return;
  }
  planner_->RecordChanges(true);
  auto state = replica_.Take();
  if (!state.has_value()) {
    return;
  }
  // What an unresponsive host had under way has usually ended with it.
  const auto is_lost = [this](const PlannerRecord& record) {
    return membership_->IsSuspect(record.host);
  };
  state->records.erase(
      std::remove_if(state->records.begin(), state->records.end(), is_lost),
      state->records.end());
  const std::size_t restored =
      planner_->Restore(state->records, state->complete);
  metrics_->GetCounter("harecrank_gateway_records_taken_over_total")
      ->Add(restored);
  log_->Write("taken_over",
              {{"held", state->records.size()},
               {"used", restored},
               {"waiting", planner_->WaitingCount()},
               {"complete", state->complete}},
              LogRateLimit::kExempt);
}

void PlannerHandover::OnStoppedPlanning() {
  planner_->RecordChanges(false);
  standbys_.clear();
}

void PlannerHandover::SendUpdates() { SendUpTo(kMaxUpdatesAtOnce); }

void PlannerHandover::SendLastUpdates() { SendUpTo(kMaxLastUpdates); }

void PlannerHandover::SendUpTo(int max_updates) {
  if (max_standbys_ == 0) {
    return;
  }
  ChooseStandbys();
  if (standbys_.empty()) {
    planner_->TakeChanges();
    return;
  }
  auto update = journal_.TakeUpdate();
  if (!update.has_value() && planner_->WaitingCount() > 0) {
    update = journal_.EmptyUpdate();
  }
  for (int sent = 0; update.has_value() && sent < max_updates; ++sent) {
    Send(*update);
    update = update->has_more ? journal_.TakeUpdate() : std::nullopt;
  }
}

void PlannerHandover::Send(const PlannerUpdate& update) {
  const std::size_t bytes = socket_->SendToAll(standbys_, update);
  metrics_->GetCounter("harecrank_gateway_planner_updates_total")
      ->Add(standbys_.size());
  metrics_->GetCounter("harecrank_gateway_planner_update_bytes_total")
      ->Add(bytes * standbys_.size());
}

void PlannerHandover::ChooseStandbys() {
  std::vector<HostAddress> chosen = membership_->Successors(max_standbys_);
  if (chosen == standbys_) {
    return;
  }
  const bool has_new = std::any_of(
      chosen.begin(), chosen.end(), [this](const HostAddress& host) {
        return std::find(standbys_.begin(), standbys_.end(), host) ==
               standbys_.end();
      });
  standbys_ = std::move(chosen);
  if (has_new) {
    journal_.Restart();
  }
  nlohmann::json names = nlohmann::json::array();
  for (const HostAddress& host : standbys_) {
    names.push_back(host.value);
  }
  log_->Write("standbys", {{"hosts", std::move(names)}});
}

void PlannerHandover::OnUpdate(const PlannerUpdate& update) {
  replica_.OnUpdate(update);
  const TimePoint now = clock_();
  if (replica_.IsMissingUpdates() && now - requested_at_ >= kRestartInterval) {
    requested_at_ = now;
    metrics_->GetCounter("harecrank_gateway_planner_updates_missed_total")
        ->Add();
    socket_->Send(update.from, PlannerStateRequest{self_});
  }
}

void PlannerHandover::OnStateRequest(const PlannerStateRequest& /*request*/) {
  const TimePoint now = clock_();
  if (now - restarted_at_ >= kRestartInterval) {
    restarted_at_ = now;
    journal_.Restart();
  }
}

}  // namespace harecrank
