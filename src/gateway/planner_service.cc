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

void PlannerService::OnQuery(const PlacementQuery& query) {
  PlacementReply reply{self_, query.incarnation, query.id, NotPlanner{}};
  const std::optional<HostAddress> planner = ports_.planner();
  if (planner == self_) {
    if (!HasRoomFor(query.host, 1)) {
      return;
    }
    metrics_->GetCounter("harecrank_gateway_asks_planned_total")->Add();
    reply.decision = planner_->OnQuery(query);
    if (planner_->PlansArrivals() &&
        std::holds_alternative<QueryQueued>(reply.decision)) {
      ProcessWaitQueueSoon();
    }
    LogRejection(query.host, query.id, reply.decision, query.wants_return_time);
  } else if (planner.has_value()) {
    reply.decision = NotPlanner{*planner};
  }
  ports_.send(query.host, reply);
}

void PlannerService::LogRejection(const HostAddress& host, QueryId id,
                                  const PlacementDecision& decision,
                                  bool not_run) {
  const auto* rejected = std::get_if<QueryRejected>(&decision);
  if (rejected == nullptr || !rejected->retry_after.has_value()) {
    return;
  }
  log_->Write("turned_away",
              {{"host", host.value},
               {"ask", id.value},
               {"return_after_ms", rejected->retry_after->count()},
               {"not_run", not_run},
               {"promises", planner_->PromiseCount()}});
}

bool PlannerService::HasRoomFor(const HostAddress& host, std::size_t queries) {
  if (planner_->HasRoomFor(host) &&
      query_count_ + queries <= Planner::kMaxQueries) {
    query_count_ += queries;
    return true;
  }
  metrics_->GetCounter("harecrank_gateway_planner_messages_dropped_total")
      ->Add();
  log_->Write("planner_full",
              {{"host", host.value}, {"queries", query_count_}});
  return false;
}

void PlannerService::OnProgressReport(const ProgressReport& report) {
  if (IsPlanner() && HasRoomFor(report.host, 0)) {
    planner_->OnProgressReport(report);
    ProcessWaitQueueSoon();
  }
}

void PlannerService::OnHeartbeat(const Heartbeat& heartbeat) {
  if (IsPlanner() &&
      HasRoomFor(heartbeat.address,
                 heartbeat.work.has_value() ? heartbeat.work->size() : 0)) {
    planner_->OnHeartbeat(heartbeat);
    ProcessWaitQueueSoon();
  }
}

void PlannerService::Tick() {
  planner_->RemoveSilentHosts();
  query_count_ = planner_->QueryCount();
  if (clock_() - last_processed_at_ >= kProcessInterval) {
    ProcessWaitQueue();
  }
}

void PlannerService::ProcessWaitQueue() {
  last_processed_at_ = clock_();
  if (planner_->WaitingCount() == 0) {
    return;
  }
  const TimePoint began = clock_();
  std::vector<DeferredReply> replies = planner_->ProcessWaitQueue();
  metrics_->GetHistogram("harecrank_gateway_planning_seconds")
      ->Record(clock_() - began);
  for (DeferredReply& due : replies) {
    LogRejection(due.host, due.id, due.decision, false);
    Send(std::move(due));
  }
}

void PlannerService::AnswerRestored() {
  ProcessWaitQueue();
  for (DeferredReply& reply : planner_->QueuedReplies()) {
    Send(std::move(reply));
  }
}

void PlannerService::Send(DeferredReply reply) {
  ports_.send(reply.host, PlacementReply{self_, reply.incarnation, reply.id,
                                         std::move(reply.decision)});
}

void PlannerService::ProcessWaitQueueSoon() {
  if (processing_scheduled_ || planner_->WaitingCount() == 0) {
    return;
  }
  processing_scheduled_ = true;
  timer_.expires_after(kProcessDelay);
  timer_.async_wait([this](boost::system::error_code error) {
    processing_scheduled_ = false;
    if (!error && IsPlanner()) {
      ProcessWaitQueue();
    }
  });
}

}  // namespace harecrank
