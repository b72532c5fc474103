// The process beside one endpoint.

#ifndef HARECRANK_SRC_SIDECAR_SIDECAR_NODE_H_
#define HARECRANK_SRC_SIDECAR_SIDECAR_NODE_H_

#include <Poco/ThreadPool.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <thread>
#include <unordered_map>
#include <vector>

#include "harecrank/core/endpoint_scheduler.h"
#include "harecrank/core/ticket_registry.h"
#include "src/adapters/link_server.h"
#include "src/adapters/settings.h"
#include "src/node/node.h"
#include "src/sidecar/engine_reconciler.h"
#include "src/sidecar/sidecar_stream.h"
#include "src/sidecar/work_runner.h"

namespace harecrank {

// Takes requests from entry hosts, runs them at its endpoint, and keeps the
// endpoint's memory and models in order.
//
// Messages come in on the link server's thread and never wait; each running
// request has a thread of a bounded pool; one thread keeps time.
class SidecarNode {
 public:
  SidecarNode(const SidecarSettings& settings, const MonotonicClock& clock,
              RandomSource random);
  ~SidecarNode();
  SidecarNode(const SidecarNode&) = delete;
  SidecarNode& operator=(const SidecarNode&) = delete;

  // Starts everything and returns.
  void Start();

  // Refuses new work, waits for what is in hand up to the drain limit, and
  // stops.
  void DrainAndStop();

 private:
  struct StreamName {
    ConnectionId connection;
    StreamId stream;
    bool operator<(const StreamName& other) const;
  };
  using StreamPtr = std::shared_ptr<SidecarStream>;
  class RunTask;

  void OnMessage(ConnectionId connection, wire::Message message);
  void OnClose(ConnectionId connection);

  // One overload for each message that an entry host may send.
  void On(ConnectionId connection, const wire::Hello& hello);
  void On(ConnectionId connection, wire::Submit& submit);
  void On(ConnectionId connection, wire::BodyChunk& piece);
  void On(ConnectionId connection, const wire::Revoke& revoke);
  void On(ConnectionId connection, const wire::Cancel& cancel);
  void On(ConnectionId connection, const wire::Credit& credit);
  void On(ConnectionId connection, const wire::TicketRequest& request);
  void On(ConnectionId connection, const wire::TicketRevoke& revoke);
  void On(ConnectionId connection, const wire::Reserve& reserve);
  template <typename Other>
  void On(ConnectionId connection, const Other&) {
    links_->Close(connection);
  }

  // These expect the mutex to be held.
  void OnWhole(const StreamPtr& stream);
  void Queue(const StreamPtr& stream);
  void RunUnderReservation(const StreamPtr& stream);
  bool SpendTicket(const StreamPtr& stream);
  void AttachToLog(const StreamPtr& stream, const Ticket& ticket);
  void StartWaiting();
  void StartThread(const StreamPtr& stream, bool replay);
  void DropOverdue();
  void EndLeases();
  void EndMember(std::uint64_t reservation);
  void Detach(const StreamPtr& stream);
  void Abandon(const StreamPtr& stream);
  void Refuse(const StreamPtr& stream, const wire::Refused& refused);
  void Forget(const StreamPtr& stream);
  void CancelLater(const AllocationId& holding);
  StreamPtr Find(ConnectionId connection, StreamId stream) const;

  void OnRunEnded(const StreamPtr& stream, bool replay);
  void ApplyConfiguration();
  void RunTimer();
  void RunCanceller();
  void SendPulses(bool all);
  void Dump(nlohmann::json* dump);
  SchedulerOptions OptionsFrom(const Configuration& configuration);
  std::set<std::string> LiveHoldings();

  SidecarSettings settings_;
  MonotonicClock clock_;
  RandomSource random_;
  Incarnation incarnation_;
  Node node_;
  std::unique_ptr<EnginePort> engine_;
  WorkRunner runner_;
  EngineReconciler keeper_;
  Poco::ThreadPool pool_;

  std::mutex mutex_;
  std::condition_variable wake_;
  EndpointScheduler scheduler_;
  TicketRegistry tickets_;
  std::map<StreamName, StreamPtr> streams_;
  std::unordered_map<std::uint64_t, StreamPtr> by_key_;
  // Reservations of groups, by the stream that made them.
  std::map<StreamName, std::uint64_t> reservations_;
  std::unordered_map<std::uint64_t, std::shared_ptr<AnswerLog>> logs_;
  // The order in which logs were made, so that the oldest goes first.
  std::deque<std::uint64_t> log_order_;
  std::set<ConnectionId> connections_;
  std::deque<AllocationId> to_cancel_;
  std::uint64_t next_key_ = 1;
  PrefillPolicy prefill_;
  Tokens reported_memory_;
  bool stopping_ = false;
  bool load_changed_ = false;

  std::unique_ptr<LinkServer> links_;
  std::thread timer_;
  std::thread canceller_;
  Counter* accepted_;
  Counter* refused_;
  Counter* started_;
  Counter* replayed_;
  Counter* abandoned_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_SIDECAR_SIDECAR_NODE_H_
