#include "src/gateway/placement_client.h"

#include <algorithm>
#include <utility>

namespace harecrank {
namespace {

// Notes of so long go in one datagram: far less than a step of any prompt
// takes, and events of one pass come together.
constexpr Millis kNotesWait{2};
// A host that was sent on to this many others places by itself.
constexpr int kMostHostsAsked = 3;
// Weight of the newest answer in the mean of what answers take.
constexpr double kNewest = 0.1;
// How many of its usual times an answer may take before the ask is repeated,
// and before its host counts as silent.
constexpr double kResendAnswers = 3;
constexpr double kSilentAnswers = 6;

}  // namespace

PlacementClient::PlacementClient(boost::asio::io_context* io, HostAddress self,
                                 Incarnation incarnation,
                                 PlacementClientPorts ports,
                                 MonotonicClock clock)
    : self_(std::move(self)),
      incarnation_(incarnation),
      ports_(std::move(ports)),
      clock_(std::move(clock)),
      timer_(*io),
      flush_timer_(*io) {}

QueryId PlacementClient::SendQuery(const PlacementRequest& request,
                                   bool may_have_run, OnResult on_result) {
  const QueryId id = NewId();
  Pending& pending = pending_[id];
  PlacementQuery& ask = pending.ask;
  ask.host = self_;
  ask.incarnation = incarnation_;
  ask.id = id;
  ask.service = request.service->name;
  ask.target_latency = request.target_latency;
  ask.target_gap = request.target_gap;
  ask.prompt = request.prompt;
  ask.answer = request.answer;
  ask.may_have_run = may_have_run;
  ask.tried = request.tried;
  ask.origin = request.origin;
  ask.withheld = request.withheld;
  pending.late_at = clock_() + std::chrono::duration_cast<TimePoint::duration>(
                                   request.until_late);
  pending.ends_at = clock_() + std::chrono::duration_cast<TimePoint::duration>(
                                   request.until_deadline);
  pending.on_result = std::move(on_result);
  SendToPlanner(id);
  Arm();
  return id;
}

void PlacementClient::SendToPlanner(QueryId id) {
  Pending& pending = pending_.at(id);
  const auto planner = ports_.planner();
  const bool again = pending.hosts_asked > 0 && planner == pending.asked;
  if (!planner.has_value() && pending.hosts_asked == 0) {
    // One is found soon, and told by OnPlannerChanged.
    pending.since = pending.sent = clock_();
    return;
  }
  if (!planner.has_value() || again || pending.hosts_asked >= kMostHostsAsked) {
    // Looked at by the timer, so that SendQuery never calls back from within.
    pending.asked = HostAddress{};
    pending.since = pending.sent = TimePoint{};
    return;
  }
  pending.asked = *planner;
  pending.waits = false;
  ++pending.hosts_asked;
  pending.since = clock_();
  SendAgain(&pending);
}

void PlacementClient::SendAgain(Pending* pending) {
  pending->sent = clock_();
  pending->ask.until_late = pending->late_at - pending->sent;
  pending->ask.until_deadline = pending->ends_at - pending->sent;
  ports_.send(pending->asked, pending->ask);
}

void PlacementClient::OnReply(const PlacementReply& answer) {
  if (answer.incarnation != incarnation_) {
    return;
  }
  const auto found = pending_.find(answer.id);
  if (found == pending_.end() || answer.from != found->second.asked) {
    const bool placed =
        std::holds_alternative<PlannedPlacement>(answer.decision);
    if (placed && under_way_.count(answer.id) == 0) {
      // Nobody waits for it any more.
      GiveBack(answer.from, answer.id);
    }
    return;
  }
  Pending& pending = found->second;
  if (const auto* other = std::get_if<NotPlanner>(&answer.decision)) {
    ports_.on_redirect(answer.from, other->planner);
    SendToPlanner(answer.id);
    Arm();
    return;
  }
  const TimePoint now = clock_();
  answer_time_ +=
      kNewest * (FractionalMillis(now - pending.sent) - answer_time_);
  pending.since = now;
  if (std::holds_alternative<QueryQueued>(answer.decision)) {
    const bool told = pending.waits;
    pending.waits = true;
    if (!told) {
      // A copy, since what it does may end the ask.
      const OnResult on_result = pending.on_result;
      on_result(QueryQueued{});
    }
    return;
  }
  struct ToResult {
    QueryResult operator()(const PlannedPlacement& placed) const {
      return placed;
    }
    QueryResult operator()(const QueryQueued& waits) const { return waits; }
    QueryResult operator()(const QueryRejected& refused) const {
      return refused;
    }
    QueryResult operator()(const NoEndpoint& none) const { return none; }
    QueryResult operator()(const NotPlanner& /*other*/) const {
      return PlaceLocally{};
    }
  };
  Resolve(answer.id, std::visit(ToResult{}, answer.decision));
}

void PlacementClient::GiveBack(const HostAddress& host, QueryId id) {
  ports_.send(
      host, ProgressReport{self_, incarnation_, {}, {RequestDone{id, false}}});
}

void PlacementClient::Resolve(QueryId id, const QueryResult& result) {
  const auto found = pending_.find(id);
  const OnResult on_result = std::move(found->second.on_result);
  pending_.erase(found);
  on_result(result);
}

void PlacementClient::OnStarted(QueryId id, std::vector<WorkPart> parts) {
  under_way_[id] = QueryWork{id, false, std::move(parts)};
}

void PlacementClient::OnPrefillDone(QueryId id, double pace) {
  const auto found = under_way_.find(id);
  if (found != under_way_.end()) {
    found->second.prefill_done = true;
    read_.push_back(PrefillDone{id, pace});
    FlushSoon();
  }
}

void PlacementClient::OnEnd(QueryId id, bool failed) {
  const bool known = pending_.erase(id) + under_way_.erase(id) > 0;
  if (known) {
    ended_.push_back(RequestDone{id, failed});
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
    if (planner.has_value() && *planner != pending.asked) {
      SendToPlanner(id);
    }
  }
  Arm();
}

std::vector<QueryWork> PlacementClient::Work() const {
  std::vector<QueryWork> work;
  work.reserve(under_way_.size());
  for (const auto& [id, one] : under_way_) {
    work.push_back(one);
  }
  return work;
}

Millis PlacementClient::Patience(Millis least, double answers) const {
  return std::max(least,
                  std::chrono::duration_cast<Millis>(answers * answer_time_));
}

TimePoint PlacementClient::DueOf(const Pending& pending) const {
  return pending.sent + (pending.waits
                             ? kQueuedRepeatInterval
                             : Patience(kResendAfter, kResendAnswers));
}

void PlacementClient::LookAt(QueryId id) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) {
    return;
  }
  Pending& pending = found->second;
  const TimePoint now = clock_();
  if (pending.asked.value.empty()) {
    pending.sent = now;
    if (now - pending.since >= kPlannerSearchTimeout) {
      Resolve(id, PlaceLocally{});
    }
    return;
  }
  if (now < DueOf(pending)) {
    return;
  }
  const Millis silent = Patience(kUnresponsiveAfter, kSilentAnswers) +
                        (pending.waits ? kQueuedRepeatInterval : Millis(0));
  if (now - pending.since < silent) {
    SendAgain(&pending);
    return;
  }
  GiveBack(pending.asked, id);
  ports_.on_silent(pending.asked);
  SendToPlanner(id);
}

void PlacementClient::Arm() {
  if (pending_.empty()) {
    return;
  }
  TimePoint due = TimePoint::max();
  for (const auto& [id, pending] : pending_) {
    due = std::min(due, DueOf(pending));
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
    LookAt(id);
  }
  Arm();
}

void PlacementClient::FlushSoon() {
  if (flushes_) {
    return;
  }
  flushes_ = true;
  flush_timer_.expires_after(kNotesWait);
  flush_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      Flush();
    }
  });
}

void PlacementClient::Flush() {
  flushes_ = false;
  ProgressReport note{self_, incarnation_, std::move(read_), std::move(ended_)};
  read_.clear();
  ended_.clear();
  // Without a planner the next one is told all by this host's word.
  if (const auto planner = ports_.planner()) {
    ports_.send(*planner, std::move(note));
  }
}

}  // namespace harecrank
