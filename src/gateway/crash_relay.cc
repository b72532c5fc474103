#include "src/gateway/crash_relay.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace harecrank {

CrashRelay::CrashRelay(boost::asio::io_context* io, HostAddress self,
                       Membership* membership, FleetSocket* socket,
                       CrashRelayPorts ports)
    : io_(io),
      self_(std::move(self)),
      membership_(membership),
      socket_(socket),
      ports_(std::move(ports)) {}

void CrashRelay::Share(CrashReport report) {
  pending_reports_.push_back(std::move(report));
  if (pending_reports_.size() == 1) {
    boost::asio::post(*io_, [this] { SendPending(); });
  }
}

void CrashRelay::SendPending() {
  const CrashReports message{self_, std::move(pending_reports_)};
  pending_reports_.clear();
  socket_->SendToAll(membership_->OtherAliveHosts(), message);
}

void CrashRelay::OnReports(const CrashReports& received) {
  CrashReports missing{self_, {}};
  std::vector<CrashReport> new_reports =
      ports_.on_reports(received.reports, &missing.reports);
  if (!missing.reports.empty()) {
    socket_->Send(received.from, missing);
  }
  // Only the planner forwards new reports, since only the planner knows all
  // alive hosts.
  if (ports_.is_planner()) {
    for (CrashReport& report : new_reports) {
      Share(std::move(report));
    }
  }
}

void CrashRelay::Repair(const Heartbeat& heartbeat, std::uint64_t own_digest) {
  if (own_digest == heartbeat.crash_digest || own_digest == 0) {
    return;
  }
  socket_->Send(heartbeat.address, CrashReports{self_, ports_.shared()});
}

}  // namespace harecrank
