// The sidecar process, which runs next to one endpoint.

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

// Accepts requests from entry hosts, runs them at its endpoint, and reconciles
// the endpoint's memory and models with the configuration.
//
// Messages arrive on the link server's thread, and their handlers never block.
// Each running request occupies a thread of a bounded pool. One thread handles
// timers, and one sends cancellations to the engine.
class SidecarNode {
 public:
  SidecarNode(const SidecarSettings& settings, const MonotonicClock& clock,
              RandomSource random);
  ~SidecarNode();
  SidecarNode(const SidecarNode&) = delete;
  SidecarNode& operator=(const SidecarNode&) = delete;

  // Starts all servers and threads, and returns.
  void Start();

  // Rejects new work, waits up to the drain limit for requests in flight, and
  // stops.
  void DrainAndStop();

 private:
  // Identifies a stream of this sidecar. A stream ID alone does not, since each
  // entry host numbers its streams itself.
  struct StreamKey {
    ConnectionId connection;
    StreamId stream;
    bool operator<(const StreamKey& other) const;
  };
  using StreamPtr = std::shared_ptr<SidecarStream>;
  class RunTask;

  void OnMessage(ConnectionId connection, wire::Message message);
  void OnClose(ConnectionId connection);

  // One overload for each message that an entry host may send. The link is
  // closed on any other message.
  void On(ConnectionId connection, const wire::Hello& hello);
  void On(ConnectionId connection, wire::Submit& submit);
  void On(ConnectionId connection, wire::BodyChunk& chunk);
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

  // The callers of the following methods, up to Find, must hold `mutex_`.

  // Handles a request whose body has arrived completely. Starts it if it has a
  // reservation; otherwise rejects it or enqueues it.
  void OnBodyComplete(const StreamPtr& stream);
  void Enqueue(const StreamPtr& stream);
  // Starts a group member's request immediately in its reserved memory, and
  // renews the reservation up to the deadline, within kMaxReservationTtl.
  void RunUnderReservation(const StreamPtr& stream);
  // Redeems the ticket of an enqueued request. Returns whether the request may
  // run, which is the case if it has no ticket or an unused one. Otherwise
  // removes the request from the queue and sends its caller the stored answer
  // or an error.
  bool RedeemTicket(const StreamPtr& stream);
  void AttachToLog(const StreamPtr& stream, const Ticket& ticket);
  // Starts the queued requests that the scheduler permits to start now.
  void StartQueued();
  // Runs the request on a thread of the pool or, if `replay` is set, sends the
  // tokens of its answer log to the caller.
  void StartThread(const StreamPtr& stream, bool replay);
  // Rejects queued requests whose deadline has passed.
  void DropOverdue();
  // Cancels requests and reservations whose lease has expired.
  void CancelExpiredLeases();
  // Removes the group reservation with key `reservation`, and cancels the
  // requests that use its memory.
  void CancelMember(std::uint64_t reservation);
  // Handles a request whose caller has disconnected. A running request with a
  // ticket continues; any other request is cancelled.
  void Detach(const StreamPtr& stream);
  // Cancels a request and, if it is running, its allocation on the engine.
  void Abandon(const StreamPtr& stream);
  void Reject(const StreamPtr& stream, const wire::Refused& refused);
  void RemoveStream(const StreamPtr& stream);
  // Queues an allocation for release by the canceller thread.
  void QueueCancel(const AllocationId& allocation);
  StreamPtr Find(ConnectionId connection, StreamId stream) const;
  // Returns the sizes of the bodies of all requests together, in bytes.
  std::size_t BodyBytes() const;

  void OnRunEnded(const StreamPtr& stream, bool replay);
  void ApplyConfiguration();
  void RunTimer();
  void RunCanceller();
  // Sends a heartbeat with the current load on all connections or, if `all` is
  // false, only on connections that have streams.
  void SendHeartbeats(bool all);
  void Dump(nlohmann::json* dump);
  SchedulerOptions OptionsFrom(const Configuration& configuration);
  std::set<std::string> LiveAllocations();

  SidecarSettings settings_;
  MonotonicClock clock_;
  RandomSource random_;
  Incarnation incarnation_;
  Node node_;
  std::unique_ptr<EnginePort> engine_;
  BodyMemory answer_memory_;
  WorkRunner runner_;
  EngineReconciler reconciler_;
  Poco::ThreadPool pool_;

  std::mutex mutex_;
  std::condition_variable wake_;
  EndpointScheduler scheduler_;
  TicketRegistry tickets_;
  std::map<StreamKey, StreamPtr> streams_;
  std::unordered_map<std::uint64_t, StreamPtr> by_key_;
  // Scheduler keys of the group reservations, by the stream on which an entry
  // host made the reservation.
  std::map<StreamKey, std::uint64_t> reservations_;
  // Answer logs of requests with a ticket, by the nonce of the ticket.
  std::unordered_map<std::uint64_t, std::shared_ptr<AnswerLog>> logs_;
  // The ticket nonces in `logs_`, in the order in which the logs were created.
  // The oldest log is evicted first.
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
  Counter* rejected_;
  Counter* no_memory_;
  Counter* started_;
  Counter* replayed_;
  Counter* abandoned_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_SIDECAR_SIDECAR_NODE_H_
