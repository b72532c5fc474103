// Accepts the connections of callers and keeps track of their sessions.

#ifndef HARECRANK_SRC_GATEWAY_CALLER_LISTENER_H_
#define HARECRANK_SRC_GATEWAY_CALLER_LISTENER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

#include "harecrank/core/accept_gate.h"
#include "src/adapters/event_log.h"
#include "src/adapters/metrics.h"
#include "src/gateway/caller_session.h"
#include "src/gateway/timer.h"

namespace harecrank {

// Accepts callers' connections, creates a CallerSession for each and counts the
// open ones. Not thread-safe; runs on its io_context.
class CallerListener {
 public:
  // Throws boost::system::system_error if `address` cannot be bound. `gate`,
  // `share` and `metrics` must outlive this.
  // The callbacks on memory and ended connections in `context` are set here.
  CallerListener(boost::asio::io_context* io, const std::string& address,
                 AcceptGate* gate, RequestShare* share, SessionContext context,
                 EventLog* log, Metrics* metrics);

  void Start();

  // Closes the connections that have no request in progress.
  void CloseIdle();

  // Stops accepting connections. Open sessions continue.
  void Stop();

  // Returns the number of connections with a request in progress.
  std::size_t BusyCount();

  std::size_t Count() const { return sessions_.size(); }

 private:
  void Accept();
  void OnAccepted(boost::asio::ip::tcp::socket socket);
  void RetryAccept();
  // Decides on a new connection. Ended sessions do not count as open.
  AcceptDecision Decide();
  // Makes room for a new connection that `decision` refuses, where others are
  // behind. At most once in kReliefInterval.
  void Relieve(AcceptDecision decision);
  // Closes the connections that are longest behind.
  void MakePlaces();
  // Closes connections that are behind until `is_enough`.
  void MakeMemory(const std::function<bool()>& is_enough);
  // Closes connections until no more memory is held than allowed.
  void EndExcess();
  void EndExcessSoon();
  void RecordEnd(CallerFault fault, std::size_t held_bytes);
  std::vector<std::shared_ptr<CallerSession>> OpenSessions() const;
  void RemoveClosed();

  boost::asio::io_context* io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  Timer retry_timer_;
  AcceptGate* gate_;
  RequestShare* share_;
  SessionContext context_;
  EventLog* log_;
  Metrics* metrics_;
  std::vector<std::weak_ptr<CallerSession>> sessions_;
  // Whether EndExcess is about to run.
  bool ends_excess_ = false;
  TimePoint last_relief_at_{};
  std::size_t sweep_threshold_;
  TimePoint last_sweep_at_{};
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_CALLER_LISTENER_H_
