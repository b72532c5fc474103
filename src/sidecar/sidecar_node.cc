#include "src/sidecar/sidecar_node.h"

#include <Poco/Runnable.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>
#include <utility>

#include "harecrank/core/outcome.h"
#include "src/adapters/logging.h"
#include "src/adapters/system_sources.h"
#include "src/sidecar/http_engine.h"

namespace harecrank {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;

constexpr std::size_t kMaxTickets = 20000;
constexpr std::size_t kMaxAnswerLogs = 2000;
constexpr Millis kTimerInterval{20};
// Number of spare threads in the pool. The pool also has two threads for each
// request that the scheduler may run: one runs the request, the other sends the
// answer log to the caller if the request has a ticket. The spare threads run
// the requests of group members and later replays of answer logs, which run
// beside the scheduled requests.
constexpr int kSpareThreads = 64;
// Maximum number of load updates in one heartbeat interval. They are sent while
// the load changes, and only on connections that carry requests.
constexpr int kLoadUpdatesPerHeartbeat = 5;
// Capacity of a plain service in the scheduler, which counts each call as one
// token of memory.
constexpr std::int64_t kServiceMemory = 1 << 20;
constexpr Millis kDrainPollInterval{20};
constexpr Millis kMaxReservationTtl{30000};
// When a request whose body did not fit may be sent again: by then most bodies
// that were held have been passed to the engine.
constexpr Millis kMemoryRetryDelay{500};

std::string SubmitErrorMessage(const SubmitError& error) {
  if (const auto* larger = std::get_if<LargerThanEngine>(&error)) {
    return "the request needs more than the " +
           std::to_string(larger->memory.value) + " tokens of this engine";
  }
  return "the endpoint does not take it now";
}

}  // namespace

// Runs one request, or one replay of its answer log, on a thread of the pool.
// Deletes itself at the end.
class SidecarNode::RunTask : public Poco::Runnable {
 public:
  RunTask(SidecarNode* node, StreamPtr stream, bool replay,
          PrefillPolicy policy)
      : node_(node),
        stream_(std::move(stream)),
        replay_(replay),
        policy_(policy) {}

  void run() override {
    const std::unique_ptr<RunTask> owned(this);
    if (replay_) {
      node_->runner_.Replay(stream_);
    } else {
      node_->runner_.Run(stream_, policy_);
    }
    node_->OnRunEnded(stream_, replay_);
  }

 private:
  SidecarNode* node_;
  StreamPtr stream_;
  bool replay_;
  PrefillPolicy policy_;
};

bool SidecarNode::StreamKey::operator<(const StreamKey& other) const {
  return std::tie(connection, stream) <
         std::tie(other.connection, other.stream);
}

SidecarNode::SidecarNode(const SidecarSettings& settings,
                         const MonotonicClock& clock, RandomSource random)
    : settings_(settings),
      clock_(clock),
      random_(random),
      incarnation_(DrawIncarnation(random)),
      node_(settings.node, incarnation_, clock, random),
      engine_(std::make_unique<HttpEngine>(settings.endpoint_address)),
      answer_memory_(settings.body_memory_bytes),
      runner_(WorkRunnerPorts{
          engine_.get(), settings.endpoint_address, incarnation_, clock,
          &answer_memory_,
          [this](ConnectionId to, const wire::Message& message) {
            return links_->Send(to, message);
          }}),
      reconciler_(settings,
                  EngineReconcilerPorts{
                      engine_.get(), &node_, incarnation_, clock,
                      [this] { return LiveAllocations(); },
                      [this](Tokens memory) {
                        const std::lock_guard<std::mutex> lock(mutex_);
                        reported_memory_ = memory;
                        const auto now = node_.InForce();
                        if (now != nullptr) {
                          scheduler_.Reconfigure(OptionsFrom(*now));
                        }
                      }}),
      pool_(2, settings.max_running * 2 + kSpareThreads),
      scheduler_(SchedulerOptions{}, clock),
      tickets_(EndpointId{settings.node.node_id.value}, incarnation_,
               kMaxTickets, clock, std::move(random)) {
  Metrics* metrics = node_.GetMetrics();
  accepted_ = metrics->GetCounter("harecrank_sidecar_accepted_total");
  rejected_ = metrics->GetCounter("harecrank_sidecar_refused_total");
  no_memory_ = metrics->GetCounter("harecrank_sidecar_no_memory_total");
  started_ = metrics->GetCounter("harecrank_sidecar_started_total");
  replayed_ = metrics->GetCounter("harecrank_sidecar_replayed_total");
  abandoned_ = metrics->GetCounter("harecrank_sidecar_abandoned_total");
}

SidecarNode::~SidecarNode() = default;

void SidecarNode::Start() {
  NodeRole role;
  role.name = "sidecar";
  role.is_ready = [this] {
    const auto configuration = node_.InForce();
    const auto* self =
        configuration->FindEndpoint(EndpointId{settings_.node.node_id.value});
    return self == nullptr || self->has_service() || reconciler_.IsReconciled();
  };
  role.dump = [this](json* dump) { Dump(dump); };
  role.on_configuration = [this] { ApplyConfiguration(); };
  LinkServer::Handlers handlers;
  handlers.on_message = [this](ConnectionId from, wire::Message message) {
    OnMessage(from, std::move(message));
  };
  handlers.on_close = [this](ConnectionId from) { OnClose(from); };
  links_ =
      std::make_unique<LinkServer>(settings_.link_address, std::move(handlers));
  links_->Start();
  node_.Start(std::move(role));
  timer_ = std::thread([this] { RunTimer(); });
  canceller_ = std::thread([this] { RunCanceller(); });
  reconciler_.Start();
}

void SidecarNode::DrainAndStop() {
  const TimePoint limit = clock_() + settings_.drain_limit;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    scheduler_.Drain();
  }
  SendHeartbeats(true);
  while (clock_() < limit) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (scheduler_.IsIdle() && streams_.empty()) {
        break;
      }
    }
    std::this_thread::sleep_for(kDrainPollInterval);
  }
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
    for (const auto& stream : by_key_) {
      Abandon(stream.second);
    }
  }
  wake_.notify_all();
  reconciler_.Stop();
  timer_.join();
  pool_.joinAll();
  canceller_.join();
  links_->Stop();
  node_.Stop();
}

void SidecarNode::OnMessage(ConnectionId connection, wire::Message message) {
  std::visit([&](auto& typed) { On(connection, typed); }, message);
}

void SidecarNode::OnClose(ConnectionId connection) {
  const std::lock_guard<std::mutex> lock(mutex_);
  connections_.erase(connection);
  std::vector<StreamPtr> lost;
  for (const auto& stream : streams_) {
    if (stream.first.connection == connection) {
      lost.push_back(stream.second);
    }
  }
  for (const StreamPtr& stream : lost) {
    Detach(stream);
  }
  for (auto reservation_entry = reservations_.begin();
       reservation_entry != reservations_.end();) {
    if (reservation_entry->first.connection != connection) {
      ++reservation_entry;
      continue;
    }
    scheduler_.Finish(reservation_entry->second);
    QueueCancel(runner_.AllocationIdFor(reservation_entry->second));
    reservation_entry = reservations_.erase(reservation_entry);
  }
  StartQueued();
}

void SidecarNode::On(ConnectionId connection, const wire::Hello& hello) {
  if (hello.version != wire::kProtocolVersion) {
    links_->Close(connection);
    return;
  }
  links_->Send(connection,
               wire::Welcome{wire::kProtocolVersion, settings_.node.node_id,
                             incarnation_, settings_.pulse_interval});
  const std::lock_guard<std::mutex> lock(mutex_);
  connections_.insert(connection);
  links_->Send(connection, wire::SidecarHeartbeat{
                               RemoteMillis{ToMillis(clock_())},
                               scheduler_.Report(), scheduler_.IsDraining()});
}

void SidecarNode::On(ConnectionId connection, wire::Submit& submit) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const StreamKey name{connection, submit.stream};
  if (streams_.count(name) > 0 || submit.body_bytes > wire::kMaxBodyBytes) {
    links_->Send(connection,
                 wire::Refused{submit.stream, "bad_request",
                               "a stream number used twice, or too large"});
    return;
  }
  if (submit.body_bytes + BodyBytes() > settings_.body_memory_bytes &&
      !by_key_.empty()) {
    no_memory_->Add();
    links_->Send(connection,
                 wire::Refused{submit.stream, "overloaded",
                               "the sidecar holds all the bodies it can",
                               kMemoryRetryDelay});
    return;
  }
  const auto stream = std::make_shared<SidecarStream>(next_key_++, connection,
                                                      std::move(submit));
  stream->deadline = TimePoint(Millis(stream->submit.deadline.value));
  streams_.emplace(name, stream);
  by_key_.emplace(stream->key, stream);
  if (stream->submit.body_bytes == 0) {
    OnBodyComplete(stream);
  }
}

std::size_t SidecarNode::BodyBytes() const {
  std::size_t bytes = 0;
  for (const auto& stream : by_key_) {
    bytes += stream.second->submit.body_bytes;
  }
  return bytes;
}

void SidecarNode::On(ConnectionId connection, wire::BodyChunk& chunk) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const StreamPtr stream = Find(connection, chunk.stream);
  if (stream == nullptr || stream->state != StreamState::kReceiving) {
    return;
  }
  stream->body += chunk.bytes;
  if (stream->body.size() > stream->submit.body_bytes) {
    Reject(stream, wire::Refused{chunk.stream, "bad_request",
                                 "more bytes than were announced"});
    return;
  }
  if (stream->body.size() == stream->submit.body_bytes) {
    OnBodyComplete(stream);
  }
}

void SidecarNode::On(ConnectionId connection, const wire::Revoke& revoke) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const StreamPtr stream = Find(connection, revoke.stream);
  if (stream == nullptr || stream->state == StreamState::kRunning) {
    return;
  }
  scheduler_.Revoke(stream->key);
  Reject(stream, wire::Refused{revoke.stream, "revoked", "withdrawn in time"});
}

void SidecarNode::On(ConnectionId connection, const wire::Cancel& cancel) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto reservation_entry =
      reservations_.find(StreamKey{connection, cancel.stream});
  if (reservation_entry != reservations_.end()) {
    scheduler_.Finish(reservation_entry->second);
    QueueCancel(runner_.AllocationIdFor(reservation_entry->second));
    reservations_.erase(reservation_entry);
  }
  const StreamPtr stream = Find(connection, cancel.stream);
  if (stream != nullptr) {
    Detach(stream);
  }
  StartQueued();
}

void SidecarNode::On(ConnectionId connection, const wire::Credit& credit) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const StreamPtr stream = Find(connection, credit.stream);
  if (stream != nullptr) {
    stream->window.Add(credit.tokens);
  }
}

void SidecarNode::On(ConnectionId connection,
                     const wire::TicketRequest& request) {
  wire::TicketAnswer answer;
  answer.call = request.call;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto ticket = scheduler_.IsDraining()
                            ? std::nullopt
                            : tickets_.Issue(request.account, request.ttl);
    if (ticket) {
      answer.ticket = FormatTicket(*ticket);
    }
  }
  links_->Send(connection, answer);
}

void SidecarNode::On(ConnectionId connection,
                     const wire::TicketRevoke& revoke) {
  wire::TicketAnswer answer;
  answer.call = revoke.call;
  Redemption redemption = Redemption::kUnknownTicket;
  const auto ticket = ParseTicket(revoke.ticket);
  if (ticket) {
    const std::lock_guard<std::mutex> lock(mutex_);
    redemption = tickets_.Revoke(*ticket, revoke.account);
  }
  answer.outcome =
      OutcomeName(redemption == Redemption::kEndedUnspent ? Outcome::kNotRun
                                                          : Outcome::kUnknown);
  links_->Send(connection, answer);
}

void SidecarNode::On(ConnectionId connection, const wire::Reserve& reserve) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const StreamKey name{connection, reserve.stream};
  const Millis ttl = std::min(reserve.ttl, kMaxReservationTtl);
  const auto reservation_entry = reservations_.find(name);
  bool reserved = false;
  if (reservation_entry != reservations_.end()) {
    reserved =
        static_cast<bool>(scheduler_.Renew(reservation_entry->second, ttl));
  } else if (reconciler_.HasModel(reserve.model)) {
    const std::uint64_t key = next_key_++;
    reserved = static_cast<bool>(scheduler_.Reserve(key, reserve.amount, ttl));
    if (reserved) {
      reservations_.emplace(name, key);
    }
  }
  if (reserved) {
    links_->Send(connection, wire::Reserved{reserve.stream});
  } else {
    links_->Send(connection, wire::Refused{reserve.stream, "overloaded",
                                           "no room for this part"});
  }
}

void SidecarNode::OnBodyComplete(const StreamPtr& stream) {
  if (stream->submit.reservation.value != 0) {
    RunUnderReservation(stream);
    return;
  }
  if (!node_.IsReady()) {
    // The sidecar accepts no requests while it has no configuration or while
    // the engine still has allocations of an earlier sidecar process.
    Reject(stream, wire::Refused{stream->submit.stream, "not_ready",
                                 "the sidecar has just begun", Millis(500)});
    return;
  }
  if (stream->submit.work == wire::Work::kGenerate &&
      !reconciler_.HasModel(stream->submit.model)) {
    Reject(stream, wire::Refused{stream->submit.stream, "model_not_loaded",
                                 "the engine does not hold this model yet",
                                 Millis(1000)});
    return;
  }
  Enqueue(stream);
}

void SidecarNode::Enqueue(const StreamPtr& stream) {
  const wire::Submit& submit = stream->submit;
  QueuedRequest request;
  request.key = stream->key;
  request.account = submit.account;
  request.account_weight = submit.account_weight;
  request.length = submit.length;
  request.cost = submit.work == wire::Work::kCall
                     ? Tokens{1}
                     : submit.prompt + submit.answer;
  request.start_by = stream->deadline;
  const bool queued = leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(scheduler_.Submit(request));
        return true;
      },
      [&](const SubmitError& error) {
        const auto after = RetryAfterOf(error);
        Reject(stream, wire::Refused{submit.stream, SubmitErrorCode(error),
                                     SubmitErrorMessage(error),
                                     after ? *after : Millis(-1)});
        return false;
      },
      [&] { return false; });
  if (!queued || !RedeemTicket(stream)) {
    return;
  }
  stream->state = StreamState::kQueued;
  accepted_->Add();
  load_changed_ = true;
  links_->Send(stream->connection, wire::Accepted{submit.stream});
  StartQueued();
}

void SidecarNode::RunUnderReservation(const StreamPtr& stream) {
  const auto reservation_entry = reservations_.find(
      StreamKey{stream->connection, stream->submit.reservation});
  if (reservation_entry == reservations_.end()) {
    Reject(stream, wire::Refused{stream->submit.stream, "reservation_ended",
                                 "the memory for this part is gone"});
    return;
  }
  const auto left =
      std::chrono::duration_cast<Millis>(stream->deadline - clock_());
  if (left <= Millis(0) ||
      !scheduler_.Renew(reservation_entry->second,
                        std::min(left, kMaxReservationTtl))) {
    Reject(stream, wire::Refused{stream->submit.stream, "deadline_exceeded",
                                 "the memory for this part is gone"});
    return;
  }
  stream->reservation_key = reservation_entry->second;
  stream->state = StreamState::kRunning;
  accepted_->Add();
  links_->Send(stream->connection, wire::Accepted{stream->submit.stream});
  StartThread(stream, false);
}

bool SidecarNode::RedeemTicket(const StreamPtr& stream) {
  const wire::Submit& submit = stream->submit;
  if (submit.ticket.empty()) {
    return true;
  }
  const auto ticket = ParseTicket(submit.ticket);
  const Redemption redemption = ticket
                                    ? tickets_.Redeem(*ticket, submit.account)
                                    : Redemption::kUnknownTicket;
  if (redemption == Redemption::kGranted) {
    stream->log = std::make_shared<AnswerLog>();
    logs_.emplace(ticket->nonce, stream->log);
    log_order_.push_back(ticket->nonce);
    if (log_order_.size() > kMaxAnswerLogs) {
      logs_.erase(log_order_.front());
      log_order_.pop_front();
    }
    return true;
  }
  // The ticket does not permit a run, so the request leaves the queue before
  // StartQueued can start it.
  scheduler_.Revoke(stream->key);
  if (redemption == Redemption::kAlreadySpent) {
    AttachToLog(stream, *ticket);
  } else if (redemption == Redemption::kEndedUnspent) {
    Reject(stream, wire::Refused{submit.stream, "ticket_ended",
                                 "the ticket ended before it was used"});
  } else {
    links_->Send(
        stream->connection,
        wire::Failed{submit.stream, "ticket_unknown",
                     "this endpoint has no memory of the ticket", false});
    RemoveStream(stream);
  }
  return false;
}

void SidecarNode::AttachToLog(const StreamPtr& stream, const Ticket& ticket) {
  const auto found = logs_.find(ticket.nonce);
  if (found == logs_.end()) {
    links_->Send(stream->connection,
                 wire::Failed{stream->submit.stream, "ticket_spent",
                              "the ticket was used and its answer is no "
                              "longer kept",
                              false});
    RemoveStream(stream);
    return;
  }
  stream->log = found->second;
  stream->state = StreamState::kRunning;
  replayed_->Add();
  links_->Send(stream->connection, wire::Accepted{stream->submit.stream});
  StartThread(stream, true);
}

void SidecarNode::StartQueued() {
  for (const std::uint64_t key : scheduler_.TakeStarts()) {
    const auto found = by_key_.find(key);
    if (found == by_key_.end()) {
      scheduler_.Finish(key);
      continue;
    }
    const StreamPtr stream = found->second;
    stream->state = StreamState::kRunning;
    started_->Add();
    StartThread(stream, false);
    if (stream->log != nullptr) {
      StartThread(stream, true);
    }
  }
  load_changed_ = true;
}

void SidecarNode::StartThread(const StreamPtr& stream, bool replay) {
  auto* task = new RunTask(this, stream, replay, prefill_);
  try {
    pool_.start(*task);
  } catch (const Poco::NoThreadAvailableException&) {
    delete task;
    scheduler_.Finish(stream->key);
    Reject(stream, wire::Refused{stream->submit.stream, "overloaded",
                                 "no thread is free", Millis(1000)});
  }
}

void SidecarNode::DropOverdue() {
  for (const QueuedRequest& request : scheduler_.DropOverdue()) {
    const auto found = by_key_.find(request.key);
    if (found != by_key_.end()) {
      const StreamPtr stream = found->second;
      Reject(stream, wire::Refused{stream->submit.stream, "deadline_exceeded",
                                   "it could not start in time"});
    }
  }
}

void SidecarNode::CancelExpiredLeases() {
  for (const std::uint64_t key : scheduler_.DropExpiredLeases()) {
    QueueCancel(runner_.AllocationIdFor(key));
    const auto stream = by_key_.find(key);
    if (stream != by_key_.end()) {
      stream->second->cancelled = true;
      stream->second->window.Close();
    }
    CancelMember(key);
  }
}

void SidecarNode::CancelMember(std::uint64_t reservation) {
  for (const auto& stream : by_key_) {
    if (stream.second->reservation_key == reservation) {
      stream.second->cancelled = true;
      stream.second->window.Close();
      QueueCancel(runner_.AllocationIdFor(stream.first));
    }
  }
  for (auto reservation_entry = reservations_.begin();
       reservation_entry != reservations_.end();) {
    reservation_entry = reservation_entry->second == reservation
                            ? reservations_.erase(reservation_entry)
                            : std::next(reservation_entry);
  }
}

void SidecarNode::Detach(const StreamPtr& stream) {
  // A running request with a ticket continues without its caller, because the
  // caller may request the answer again with the same ticket.
  if (stream->log == nullptr || stream->state != StreamState::kRunning) {
    Abandon(stream);
    return;
  }
  stream->window.Close();
}

void SidecarNode::Abandon(const StreamPtr& stream) {
  stream->cancelled = true;
  stream->window.Close();
  abandoned_->Add();
  if (stream->state != StreamState::kRunning) {
    scheduler_.Revoke(stream->key);
    if (stream->log != nullptr) {
      stream->log->End(wire::Refused{stream->submit.stream, "cancelled",
                                     "withdrawn before its start"});
    }
    RemoveStream(stream);
    return;
  }
  QueueCancel(runner_.AllocationIdFor(stream->key));
}

void SidecarNode::Reject(const StreamPtr& stream,
                         const wire::Refused& refused) {
  rejected_->Add();
  if (stream->log != nullptr) {
    stream->log->End(refused);
  }
  links_->Send(stream->connection, refused);
  RemoveStream(stream);
}

void SidecarNode::RemoveStream(const StreamPtr& stream) {
  streams_.erase(StreamKey{stream->connection, stream->submit.stream});
  by_key_.erase(stream->key);
}

void SidecarNode::QueueCancel(const AllocationId& allocation) {
  to_cancel_.push_back(allocation);
  wake_.notify_all();
}

SidecarNode::StreamPtr SidecarNode::Find(ConnectionId connection,
                                         StreamId stream) const {
  const auto found = streams_.find(StreamKey{connection, stream});
  return found == streams_.end() ? nullptr : found->second;
}

void SidecarNode::OnRunEnded(const StreamPtr& stream, bool replay) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!replay) {
    scheduler_.Finish(stream->key);
    // A request that ended before its answer was complete may still have memory
    // allocated on the engine.
    if (stream->cancelled || clock_() >= stream->deadline) {
      QueueCancel(runner_.AllocationIdFor(stream->key));
    }
  }
  // If the request has a ticket, the entry host receives the answer from the
  // replay of the answer log. The stream is then removed when the replay ends.
  if (replay || stream->log == nullptr) {
    RemoveStream(stream);
  } else {
    by_key_.erase(stream->key);
  }
  StartQueued();
  wake_.notify_all();
}

void SidecarNode::ApplyConfiguration() {
  const auto configuration = node_.InForce();
  if (configuration == nullptr) {
    return;
  }
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    scheduler_.Reconfigure(OptionsFrom(*configuration));
    prefill_.long_weight_percent = static_cast<int>(
        configuration->GetDocument().policy().long_weight_percent());
  }
  reconciler_.Wake();
}

SchedulerOptions SidecarNode::OptionsFrom(const Configuration& configuration) {
  const v1::Policy& policy = configuration.GetDocument().policy();
  SchedulerOptions options;
  options.queue_limit = settings_.queue_limit;
  options.max_running = static_cast<std::size_t>(settings_.max_running);
  options.long_weight_percent = static_cast<int>(policy.long_weight_percent());
  options.short_headroom_percent =
      static_cast<int>(policy.short_headroom_percent());
  const v1::Endpoint* self =
      configuration.FindEndpoint(EndpointId{settings_.node.node_id.value});
  if (self != nullptr && self->has_service()) {
    options.memory = Tokens{kServiceMemory};
  } else if (reported_memory_.value > 0) {
    options.memory = reported_memory_;
  } else if (self != nullptr) {
    options.memory = Tokens{self->engine().memory_tokens()};
  }
  return options;
}

void SidecarNode::RunTimer() {
  TimePoint next_heartbeat = clock_();
  TimePoint next_load_update = clock_();
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    wake_.wait_for(lock, kTimerInterval);
    DropOverdue();
    CancelExpiredLeases();
    StartQueued();
    const TimePoint now = clock_();
    const bool heartbeat_due = now >= next_heartbeat;
    const bool load_update_due = load_changed_ && now >= next_load_update;
    if (!heartbeat_due && !load_update_due) {
      continue;
    }
    lock.unlock();
    SendHeartbeats(heartbeat_due);
    lock.lock();
    next_load_update =
        now + settings_.pulse_interval / kLoadUpdatesPerHeartbeat;
    next_heartbeat =
        heartbeat_due ? now + settings_.pulse_interval : next_heartbeat;
  }
}

void SidecarNode::RunCanceller() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_ || !to_cancel_.empty()) {
    if (to_cancel_.empty()) {
      wake_.wait_for(lock, kTimerInterval);
      continue;
    }
    const AllocationId allocation = to_cancel_.front();
    to_cancel_.pop_front();
    lock.unlock();
    // An allocation that could not be cancelled is released by the reconciler
    // later.
    const auto ignored = engine_->Cancel(allocation);
    static_cast<void>(ignored);
    lock.lock();
  }
}

void SidecarNode::SendHeartbeats(bool all) {
  std::set<ConnectionId> to;
  wire::SidecarHeartbeat heartbeat;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    load_changed_ = false;
    heartbeat.load = scheduler_.Report();
    heartbeat.draining = scheduler_.IsDraining();
    if (all) {
      to = connections_;
    } else {
      for (const auto& stream : streams_) {
        to.insert(stream.first.connection);
      }
    }
  }
  heartbeat.draining =
      heartbeat.draining || node_.IsLeaving(settings_.node.node_id);
  for (const ConnectionId connection : to) {
    heartbeat.clock = RemoteMillis{ToMillis(clock_())};
    links_->Send(connection, heartbeat);
  }
}

std::set<std::string> SidecarNode::LiveAllocations() {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::set<std::string> live;
  for (const auto& stream : by_key_) {
    live.insert(runner_.AllocationIdFor(stream.first).value);
  }
  for (const auto& reservation_entry : reservations_) {
    live.insert(runner_.AllocationIdFor(reservation_entry.second).value);
  }
  return live;
}

void SidecarNode::Dump(json* dump) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const LoadReport load = scheduler_.Report();
  json streams = json::array();
  for (const auto& stream : by_key_) {
    const SidecarStream& entry = *stream.second;
    streams.push_back(
        {{"key", entry.key},
         {"account", entry.submit.account.value},
         {"state", entry.state == StreamState::kRunning  ? "running"
                   : entry.state == StreamState::kQueued ? "queued"
                                                         : "receiving"},
         {"length", LengthClassName(entry.submit.length)},
         {"left_ms", ToMillis(entry.deadline) - ToMillis(clock_())}});
  }
  (*dump)["sidecar"] = {{"draining", scheduler_.IsDraining()},
                        {"links", connections_.size()},
                        {"queue", scheduler_.QueueSize()},
                        {"leases", scheduler_.LeaseCount()},
                        {"reservations", reservations_.size()},
                        {"tickets", tickets_.Count()},
                        {"answer_logs", logs_.size()},
                        {"cancels_waiting", to_cancel_.size()},
                        {"load",
                         {{"short_backlog", load.short_backlog.value},
                          {"long_backlog", load.long_backlog.value},
                          {"free_memory", load.free_memory.value},
                          {"memory", load.memory.value},
                          {"running", load.running}}},
                        {"streams", streams}};
}

}  // namespace harecrank
