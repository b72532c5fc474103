// Server sockets whose connections have limits on how long, and with how many
// bytes, a peer may keep a thread waiting for a request.
//
// POCO's HTTP server has a thread for each connection that it handles, and no
// limit on the time of a head. Peers that send nothing, or a byte now and then,
// would take all threads.

#ifndef HARECRANK_SRC_ADAPTERS_GUARDED_SOCKET_H_
#define HARECRANK_SRC_ADAPTERS_GUARDED_SOCKET_H_

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocketImpl.h>

#include <atomic>
#include <cstddef>
#include <memory>
#include <mutex>
#include <set>

#include "harecrank/core/connection_relief.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// Limits on the connections of one server.
struct ConnectionLimits {
  // Number of connections that are handled at once. Beyond, connections that
  // are behind make room for new ones.
  std::size_t max_handled = 0;
  std::size_t max_head_bytes = 64U << 10U;
  // Time for a head, from its first byte.
  Millis head_timeout{10000};
  // How long a body may be behind the pace of CallerPace.
  Millis body_patience{10000};
};

class GuardedSocket;

// The connections of one server. Thread-safe.
class ConnectionGuard {
 public:
  explicit ConnectionGuard(const ConnectionLimits& limits) : limits_(limits) {}

  const ConnectionLimits& Limits() const { return limits_; }
  // Number of connections that were closed because of their peers.
  std::uint64_t Closed() const { return closed_.load(); }

  void Add(GuardedSocket* socket);
  void Remove(GuardedSocket* socket);
  // A peer was beyond the limits.
  void RecordClosed() { ++closed_; }

 private:
  // Closes connections that are behind if all are handled.
  void MakeRoom();

  ConnectionLimits limits_;
  std::atomic<std::uint64_t> closed_{0};
  std::mutex mutex_;
  std::set<GuardedSocket*> sockets_;
};

// One connection. Its functions are called on the thread that handles it, but
// for Holding and Interrupt.
class GuardedSocket : public Poco::Net::StreamSocketImpl {
 public:
  GuardedSocket(poco_socket_t socket, std::shared_ptr<ConnectionGuard> guard);

  // Throws Poco::TimeoutException or Poco::Net::NetException if the peer is
  // beyond the limits.
  int receiveBytes(void* buffer, int length, int flags) override;
  bool poll(const Poco::Timespan& timeout, int mode) override;

  // What is received from now on belongs to the body of a request, or to the
  // head of the next one.
  void BeginBody();
  void BeginHead();
  // Nothing is due from the peer until the next head.
  void BeginRun();

  ConnectionHolding Holding() const;
  // Lets the handling thread find the connection closed.
  void Interrupt();

 protected:
  ~GuardedSocket() override;

 private:
  enum class Phase { kQueued, kHead, kBody, kRun };

  // A thread waits for the peer now.
  void LeaveQueue();
  void CheckLimits();

  std::shared_ptr<ConnectionGuard> guard_;
  mutable std::mutex mutex_;
  Phase phase_ = Phase::kQueued;
  CallerPace pace_;
  std::size_t head_bytes_ = 0;
  TimePoint head_began_at_{};
};

// A listening socket whose connections are GuardedSockets.
class GuardedServerSocket : public Poco::Net::ServerSocket {
 public:
  explicit GuardedServerSocket(std::shared_ptr<ConnectionGuard> guard);
};

// Returns the connection of a request, or null if its server has no guard.
GuardedSocket* GuardedSocketOf(Poco::Net::HTTPServerRequest& request);

}  // namespace harecrank

#endif  // HARECRANK_SRC_ADAPTERS_GUARDED_SOCKET_H_
