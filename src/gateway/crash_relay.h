// Tells other hosts of requests that end endpoints.

#ifndef HARECRANK_SRC_GATEWAY_CRASH_RELAY_H_
#define HARECRANK_SRC_GATEWAY_CRASH_RELAY_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <vector>

#include "harecrank/core/membership.h"
#include "src/gateway/fleet_socket.h"

namespace harecrank {

// What the relay asks of its owner.
struct CrashRelayPorts {
  // Takes what another host told. Returns what was news, and fills `missing`
  // with what that host does not know.
  std::function<std::vector<CrashReport>(
      const std::vector<CrashReport>& reports,
      std::vector<CrashReport>* missing)>
      on_reports;
  // What hosts that have missed such words need.
  std::function<std::vector<CrashReport>()> shared;
  std::function<bool()> is_planner;
};

// Not thread-safe; runs on its io_context.
class CrashRelay {
 public:
  // All pointers must outlive this.
  CrashRelay(boost::asio::io_context* io, HostAddress self, Membership* book,
             FleetSocket* socket, CrashRelayPorts ports);

  // Tells all others what this host knows of a request.
  void Tell(CrashReport report);

  void OnReports(const CrashReports& told);

  // Sends what it has missed to a host whose digest is another than this one's,
  // `own_digest`.
  void Repair(const Heartbeat& word, std::uint64_t own_digest);

 private:
  void TellAll();

  boost::asio::io_context* io_;
  HostAddress self_;
  Membership* book_;
  FleetSocket* socket_;
  CrashRelayPorts ports_;
  // What ended together is told together.
  std::vector<CrashReport> untold_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_CRASH_RELAY_H_
