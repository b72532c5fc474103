// Shares reports on requests that crash endpoints with the other hosts.

#ifndef HARECRANK_SRC_GATEWAY_CRASH_RELAY_H_
#define HARECRANK_SRC_GATEWAY_CRASH_RELAY_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <vector>

#include "harecrank/core/membership.h"
#include "src/gateway/fleet_socket.h"

namespace harecrank {

// Callbacks through which CrashRelay accesses this host's crash reports.
struct CrashRelayPorts {
  // Merges the reports of another host. Returns the updated reports on those
  // requests for which `reports` contained new data. Adds to `missing` this
  // host's reports that contain data which the sender lacks.
  std::function<std::vector<CrashReport>(
      const std::vector<CrashReport>& reports,
      std::vector<CrashReport>* missing)>
      on_reports;
  // Returns the reports that are sent to a host that has missed messages.
  std::function<std::vector<CrashReport>()> shared;
  std::function<bool()> is_planner;
};

// Sends this host's crash reports to the other hosts, merges the reports
// received from them and, on the planner, forwards new ones. Not thread-safe;
// runs on its io_context.
class CrashRelay {
 public:
  // All pointers must outlive this.
  CrashRelay(boost::asio::io_context* io, HostAddress self,
             Membership* membership, FleetSocket* socket,
             CrashRelayPorts ports);

  // Sends `report` to all other hosts. Reports that are shared in the same turn
  // of the event loop are sent in one message.
  void Share(CrashReport report);

  void OnReports(const CrashReports& received);

  // Sends all shared reports to the sender of `heartbeat` if the digest of the
  // sender's reports differs from `own_digest`, the digest of this host's
  // reports.
  void Repair(const Heartbeat& heartbeat, std::uint64_t own_digest);

 private:
  void SendPending();

  boost::asio::io_context* io_;
  HostAddress self_;
  Membership* membership_;
  FleetSocket* socket_;
  CrashRelayPorts ports_;
  // Reports to be sent in the next message.
  std::vector<CrashReport> pending_reports_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_CRASH_RELAY_H_
