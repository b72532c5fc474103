#include "src/gateway/placement_client.h"

#include <algorithm>
#include <utility>

namespace harecrank {
namespace {

// Delay before a progress report, so that progress within this time is sent in
// one datagram. Events of one forward pass of an engine arrive together, and
// the delay is much shorter than any prefill step.
constexpr Millis kReportDelay{2};
// Number of hosts to which a query is sent before the request is placed
// locally.
constexpr int kMaxHostsQueried = 3;
// Weight of the newest reply in the moving average of the reply time.
constexpr double kNewestWeight = 0.1;
// Time-outs in multiples of the average reply time: for sending a query again,
// and for considering its host unresponsive.
constexpr double kResendFactor = 3;
constexpr double kUnresponsiveFactor = 6;

}  // namespace

PlacementClient::PlacementClient(boost::asio::io_context* io, HostAddress self,
                                 Incarnation incarnation,
                                 OnTakeover on_takeover,
                                 PlacementClientPorts ports,
                                 MonotonicClock clock)
    : self_(std::move(self)),
      incarnation_(incarnation),
      on_takeover_(on_takeover),
      ports_(std::move(ports)),
      clock_(std::move(clock)),
      timer_(*io),
      flush_timer_(*io) {}

PlacementQuery PlacementClient::QueryOf(const PlacementRequest& request) const {
  PlacementQuery query;
  query.host = self_;
  query.incarnation = incarnation_;
  query.service = request.service->name;
  query.target_latency = request.target_latency;
  query.target_gap = request.target_gap;
  query.prompt = request.prompt;
  query.answer = request.answer;
  query.tried = request.tried;
  query.origin = request.origin;
  query.withheld = request.withheld;
  query.permitted = request.permitted;
  query.may_repeat = request.may_repeat;
  return query;
}

QueryId PlacementClient::SendQuery(const PlacementRequest& request,
                                   bool may_have_run, OnResult on_result) {
  PlacementQuery query = QueryOf(request);
  query.may_have_run = may_have_run;
  return Send(std::move(query), request, std::move(on_result));
}

QueryId PlacementClient::SendReturnQuery(const PlacementRequest& request,
                                         OnResult on_result) {
  PlacementQuery query = QueryOf(request);
  query.wants_return_time = true;
  return Send(std::move(query), request, std::move(on_result));
}

QueryId PlacementClient::Send(PlacementQuery query,
                              const PlacementRequest& request,
                              OnResult on_result) {
  const QueryId id = NewId();
  Pending& pending = pending_[id];
  pending.query = std::move(query);
  pending.query.id = id;
  pending.target_at =
      clock_() +
      std::chrono::duration_cast<TimePoint::duration>(request.until_late);
  pending.deadline = clock_() + std::chrono::duration_cast<TimePoint::duration>(
                                    request.until_deadline);
  pending.on_result = std::move(on_result);
  SendToPlanner(id);
  ArmTimer();
  return id;
}

void PlacementClient::SendToPlanner(QueryId id) {
  Pending& pending = pending_.at(id);
  const auto planner = ports_.planner();
  const bool is_same_planner =
      pending.hosts_queried > 0 && planner == pending.host;
  if (!planner.has_value() && pending.hosts_queried == 0) {
    // A planner is expected to become known soon. OnPlannerChanged then sends
    // the query to it.
    pending.last_reply_at = pending.sent_at = clock_();
    return;
  }
  if (!planner.has_value() || is_same_planner ||
      pending.hosts_queried >= kMaxHostsQueried) {
    // The timer resolves the query as PlaceLocally, so that SendQuery does not
    // call `on_result` before it returns. The times are set so that this
    // happens at once.
    pending.host = HostAddress{};
    pending.last_reply_at = pending.sent_at = TimePoint{};
    return;
  }
  pending.host = *planner;
  pending.queued = false;
  ++pending.hosts_queried;
  pending.last_reply_at = clock_();
  Resend(&pending);
}

void PlacementClient::Resend(Pending* pending) {
  pending->sent_at = clock_();
  pending->query.until_late = pending->target_at - pending->sent_at;
  pending->query.until_deadline = pending->deadline - pending->sent_at;
  ports_.send(pending->host, pending->query);
}

void PlacementClient::OnReply(const PlacementReply& reply) {
  if (reply.incarnation != incarnation_) {
    return;
  }
  const auto found = pending_.find(reply.id);
  if (found == pending_.end()) {
    OnStrayReply(reply);
    return;
  }
  if (reply.from != found->second.host) {
    if (!IsTakenOver(found->second, reply)) {
      OnStrayReply(reply);
      return;
    }
    // Should the previous planner still be there, it frees the engines.
    ReleasePlacement(found->second.host, reply.id);
    found->second.left_hosts.insert(found->second.host);
    found->second.host = reply.from;
  }
  Pending& pending = found->second;
  pending.move_at.reset();
  if (const auto* other = std::get_if<NotPlanner>(&reply.decision)) {
    ports_.on_redirect(reply.from, other->planner);
    SendToPlanner(reply.id);
    ArmTimer();
    return;
  }
  const TimePoint now = clock_();
  reply_time_ +=
      kNewestWeight * (FractionalMillis(now - pending.sent_at) - reply_time_);
  pending.last_reply_at = now;
  if (std::holds_alternative<QueryQueued>(reply.decision)) {
    const bool already_reported = pending.queued;
    pending.queued = true;
    if (!already_reported) {
      // Calls a copy, since the callback may end the query, which erases it
      // from `pending_`.
      const OnResult on_result = pending.on_result;
      on_result(QueryQueued{});
    }
    return;
  }
  // Converts the planner's decision to the result of the query.
  struct ToResult {
    QueryResult operator()(const PlannedPlacement& placed) const {
      return placed;
    }
    QueryResult operator()(const QueryQueued& queued) const { return queued; }
    QueryResult operator()(const QueryRejected& rejected) const {
      return rejected;
    }
    QueryResult operator()(const NoEndpoint& none) const { return none; }
    QueryResult operator()(const NotPlanner& /*other*/) const {
      return PlaceLocally{};
    }
  };
  if (std::holds_alternative<PlannedPlacement>(reply.decision)) {
    placed_by_[reply.id] = reply.from;
  }
  Resolve(reply.id, std::visit(ToResult{}, reply.decision));
}

bool PlacementClient::IsTakenOver(const Pending& pending,
                                  const PlacementReply& reply) const {
  if (on_takeover_ != OnTakeover::kAwaitReply || pending.host.value.empty() ||
      pending.left_hosts.count(reply.from) > 0 ||
      std::holds_alternative<NotPlanner>(reply.decision)) {
    return false;
  }
  // A rejection ends the request, so it is accepted only from the planner.
  return std::holds_alternative<PlannedPlacement>(reply.decision) ||
         std::holds_alternative<QueryQueued>(reply.decision) ||
         ports_.planner() == reply.from;
}

void PlacementClient::OnStrayReply(const PlacementReply& reply) {
  if (!std::holds_alternative<PlannedPlacement>(reply.decision)) {
    return;
  }
  const auto placed_by = placed_by_.find(reply.id);
  if (placed_by == placed_by_.end()) {
    // The query has ended, or was sent to another planner, so this placement is
    // not needed any more.
    ReleasePlacement(reply.from, reply.id);
  } else if (placed_by->second != reply.from) {
    ReleasePlacement(reply.from, reply.id);
    ports_.on_placed_twice();
  }
}

void PlacementClient::ReleasePlacement(const HostAddress& host, QueryId id) {
  ports_.send(host, ProgressReport{
                        self_, incarnation_, {}, {RequestDone{id, false}}, {}});
}

void PlacementClient::Resolve(QueryId id, const QueryResult& result) {
  const auto found = pending_.find(id);
  const OnResult on_result = std::move(found->second.on_result);
  pending_.erase(found);
  on_result(result);
}

void PlacementClient::OnStarted(QueryId id, std::vector<WorkPart> parts) {
  in_progress_[id] = QueryWork{id, false, std::move(parts)};
}

void PlacementClient::OnPrefillDone(QueryId id, double pace) {
  const auto found = in_progress_.find(id);
  if (found != in_progress_.end()) {
    found->second.prefill_done = true;
    prefill_done_.push_back(PrefillDone{id, pace});
    FlushSoon();
  }
}

void PlacementClient::OnGroupTrouble(QueryId id, double pace) {
  if (in_progress_.count(id) != 0) {
    troubles_.push_back(GroupTrouble{id, pace});
    FlushSoon();
  }
}

void PlacementClient::OnEnd(QueryId id, bool failed) {
  placed_by_.erase(id);
  const bool known = pending_.erase(id) + in_progress_.erase(id) > 0;
  if (known) {
    requests_done_.push_back(RequestDone{id, failed});
    FlushSoon();
  }
}

void PlacementClient::OnPlannerChanged() {
  std::vector<QueryId> ids;
  for (const auto& [id, pending] : pending_) {
    ids.push_back(id);
  }
  const auto planner = ports_.planner();
  for (const QueryId id : ids) {
    Pending& pending = pending_.at(id);
    if (planner.has_value() && *planner != pending.host) {
      MoveToPlanner(id);
    }
  }
  ArmTimer();
}

void PlacementClient::MoveToPlanner(QueryId id) {
  Pending& pending = pending_.at(id);
  if (!pending.queued || on_takeover_ == OnTakeover::kAskAnew) {
    pending.move_at.reset();
    SendToPlanner(id);
  } else if (!pending.move_at.has_value()) {
    pending.move_at = clock_() + kTakeoverGrace;
  }
}

std::vector<QueryWork> PlacementClient::Work() const {
  std::vector<QueryWork> work;
  work.reserve(in_progress_.size());
  for (const auto& [id, query_work] : in_progress_) {
    work.push_back(query_work);
  }
  return work;
}

Millis PlacementClient::AdaptiveTimeout(Millis min_timeout,
                                        double factor) const {
  return std::max(min_timeout,
                  std::chrono::duration_cast<Millis>(factor * reply_time_));
}

TimePoint PlacementClient::NextCheckAt(const Pending& pending) const {
  if (pending.move_at.has_value()) {
    return *pending.move_at;
  }
  return pending.sent_at + (pending.queued
                                ? kQueuedRepeatInterval
                                : AdaptiveTimeout(kResendAfter, kResendFactor));
}

void PlacementClient::CheckPending(QueryId id) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) {
    return;
  }
  Pending& pending = found->second;
  const TimePoint now = clock_();
  if (pending.host.value.empty()) {
    pending.sent_at = now;
    if (now - pending.last_reply_at >= kPlannerSearchTimeout) {
      Resolve(id, PlaceLocally{});
    }
    return;
  }
  if (now < NextCheckAt(pending)) {
    return;
  }
  if (pending.move_at.has_value()) {
    pending.move_at.reset();
    SendToPlanner(id);
    return;
  }
  const Millis time_limit =
      AdaptiveTimeout(kUnresponsiveAfter, kUnresponsiveFactor) +
      (pending.queued ? kQueuedRepeatInterval : Millis(0));
  if (now - pending.last_reply_at < time_limit) {
    Resend(&pending);
    return;
  }
  ReleasePlacement(pending.host, id);
  pending.left_hosts.insert(pending.host);
  ports_.on_unresponsive(pending.host);
  MoveToPlanner(id);
}

void PlacementClient::ArmTimer() {
  if (pending_.empty()) {
    return;
  }
  TimePoint due = TimePoint::max();
  for (const auto& [id, pending] : pending_) {
    due = std::min(due, NextCheckAt(pending));
  }
  timer_.expires_at(std::max(due, clock_()));
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      OnTimer();
    }
  });
}

void PlacementClient::OnTimer() {
  std::vector<QueryId> ids;
  for (const auto& [id, pending] : pending_) {
    ids.push_back(id);
  }
  for (const QueryId id : ids) {
    CheckPending(id);
  }
  ArmTimer();
}

void PlacementClient::FlushSoon() {
  if (flush_scheduled_) {
    return;
  }
  flush_scheduled_ = true;
  flush_timer_.expires_after(kReportDelay);
  flush_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      Flush();
    }
  });
}

void PlacementClient::Flush() {
  flush_scheduled_ = false;
  ProgressReport report{self_, incarnation_, std::move(prefill_done_),
                        std::move(requests_done_), std::move(troubles_)};
  troubles_.clear();
  prefill_done_.clear();
  requests_done_.clear();
  // While no planner is known, reports are dropped. The next planner receives
  // all work in progress with this host's heartbeat.
  if (const auto planner = ports_.planner()) {
    ports_.send(*planner, std::move(report));
  }
}

}  // namespace harecrank
