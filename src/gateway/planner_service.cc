#include "src/gateway/planner_service.h"

#include <utility>

namespace harecrank {

PlannerService::PlannerService(boost::asio::io_context* io, HostAddress self,
                               Planner* planner, PlannerServicePorts ports,
                               EventLog* log, Metrics* metrics,
                               MonotonicClock clock)
    : self_(std::move(self)),
      planner_(planner),
      ports_(std::move(ports)),
      log_(log),
      metrics_(metrics),
      clock_(std::move(clock)),
      timer_(*io) {}

void PlannerService::OnQuery(const PlacementQuery& ask) {
  PlacementReply answer{self_, ask.incarnation, ask.id, NotPlanner{}};
  const std::optional<HostAddress> planner = ports_.planner();
  if (planner == self_) {
    metrics_->GetCounter("harecrank_gateway_asks_planned_total")->Add();
    answer.decision = planner_->OnQuery(ask);
    NoteTurnedAway(ask.host, ask.id, answer.decision);
  } else if (planner.has_value()) {
    answer.decision = NotPlanner{*planner};
  }
  ports_.send(ask.host, answer);
}

void PlannerService::NoteTurnedAway(const HostAddress& host, QueryId id,
                                    const PlacementDecision& decision) {
  const auto* refused = std::get_if<QueryRejected>(&decision);
  if (refused == nullptr || !refused->retry_after.has_value()) {
    return;
  }
  log_->Write("turned_away",
              {{"host", host.value},
               {"ask", id.value},
               {"return_after_ms", refused->retry_after->count()},
               {"promises", planner_->ReservationCount()}});
}

void PlannerService::OnProgressReport(const ProgressReport& note) {
  if (IsPlanner()) {
    planner_->OnProgressReport(note);
    TryWaitingSoon();
  }
}

void PlannerService::OnHeartbeat(const Heartbeat& word) {
  if (IsPlanner()) {
    planner_->OnHeartbeat(word);
    TryWaitingSoon();
  }
}

void PlannerService::Tick() {
  planner_->RemoveSilentHosts();
  if (clock_() - tried_at_ >= kTryInterval) {
    ProcessWaitQueue();
  }
}

void PlannerService::ProcessWaitQueue() {
  tried_at_ = clock_();
  if (planner_->WaitingCount() == 0) {
    return;
  }
  for (DeferredReply& due : planner_->ProcessWaitQueue()) {
    NoteTurnedAway(due.host, due.id, due.decision);
    ports_.send(due.host, PlacementReply{self_, due.incarnation, due.id,
                                         std::move(due.decision)});
  }
}

void PlannerService::TryWaitingSoon() {
  if (tries_soon_ || planner_->WaitingCount() == 0) {
    return;
  }
  tries_soon_ = true;
  timer_.expires_after(kTryPause);
  timer_.async_wait([this](boost::system::error_code error) {
    tries_soon_ = false;
    if (!error && IsPlanner()) {
      ProcessWaitQueue();
    }
  });
}

}  // namespace harecrank
