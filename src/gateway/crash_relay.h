// Shares reports on requests and parts of prompts that crash endpoints with the
// other hosts.

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
  // The same for the evidence on parts of prompts.
  std::function<PartEvidence(const PartEvidence& evidence,
                             PartEvidence* missing)>
      on_parts;
  // Return what is sent to a host that has missed messages.
  std::function<std::vector<CrashReport>()> shared;
  std::function<PartEvidence()> shared_parts;
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

  // Both send something to all other hosts. What is shared in the same turn of
  // the event loop is sent in one message.
  void Share(CrashReport report);
  void Share(PartEvidence evidence);

  void OnReports(const CrashReports& received);

  // Sends everything shared to the sender of `heartbeat` if the digest of the
  // sender's reports differs from `own_digest`, the digest of this host's
  // reports.
  void Repair(const Heartbeat& heartbeat, std::uint64_t own_digest);

 private:
  void SendSoon();
  void SendPending();

  boost::asio::io_context* io_;
  HostAddress self_;
  Membership* membership_;
  FleetSocket* socket_;
  CrashRelayPorts ports_;
  // What is to be sent in the next message.
  std::vector<CrashReport> pending_reports_;
  PartEvidence pending_parts_;
  bool send_scheduled_ = false;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_CRASH_RELAY_H_
