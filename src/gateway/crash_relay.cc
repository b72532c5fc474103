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
  SendSoon();
}

void CrashRelay::Share(PartEvidence evidence) {
  if (!evidence.IsEmpty()) {
    Append(std::move(evidence), &pending_parts_);
    SendSoon();
  }
}

void CrashRelay::SendSoon() {
  if (!send_scheduled_) {
    send_scheduled_ = true;
    boost::asio::post(*io_, [this] { SendPending(); });
  }
}

void CrashRelay::SendPending() {
  send_scheduled_ = false;
  const CrashReports message{self_, std::exchange(pending_reports_, {}),
                             std::exchange(pending_parts_, {})};
  socket_->SendToAll(membership_->OtherAliveHosts(), message);
}

void CrashRelay::OnReports(const CrashReports& received) {
  CrashReports missing{self_, {}};
  std::vector<CrashReport> new_reports =
      ports_.on_reports(received.reports, &missing.reports);
  PartEvidence new_parts = ports_.on_parts(received.parts, &missing.parts);
  if (!missing.reports.empty() || !missing.parts.IsEmpty()) {
    socket_->Send(received.from, missing);
  }
  // Only the planner forwards what is new, since only the planner knows all
  // alive hosts.
  if (ports_.is_planner()) {
    for (CrashReport& report : new_reports) {
      Share(std::move(report));
    }
    Share(std::move(new_parts));
  }
}

void CrashRelay::Repair(const Heartbeat& heartbeat, std::uint64_t own_digest) {
  if (own_digest == heartbeat.crash_digest || own_digest == 0) {
    return;
  }
  // Two messages, since each may fill a datagram.
  socket_->Send(heartbeat.address, CrashReports{self_, ports_.shared()});
  socket_->Send(heartbeat.address,
                CrashReports{self_, {}, ports_.shared_parts()});
}

}  // namespace harecrank
