#include "src/gateway/crash_relay.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace harecrank {

CrashRelay::CrashRelay(boost::asio::io_context* io, HostAddress self,
                       Membership* book, FleetSocket* socket,
                       CrashRelayPorts ports)
    : io_(io),
      self_(std::move(self)),
      book_(book),
      socket_(socket),
      ports_(std::move(ports)) {}

void CrashRelay::Tell(CrashReport report) {
  untold_.push_back(std::move(report));
  if (untold_.size() == 1) {
    boost::asio::post(*io_, [this] { TellAll(); });
  }
}

void CrashRelay::TellAll() {
  const CrashReports told{self_, std::move(untold_)};
  untold_.clear();
  socket_->SendToAll(book_->OtherAliveHosts(), told);
}

void CrashRelay::OnReports(const CrashReports& told) {
  CrashReports missing{self_, {}};
  std::vector<CrashReport> news =
      ports_.on_reports(told.reports, &missing.reports);
  if (!missing.reports.empty()) {
    socket_->Send(told.from, missing);
  }
  // Other hosts do not know all that are alive; the planner does.
  if (ports_.is_planner()) {
    for (CrashReport& report : news) {
      Tell(std::move(report));
    }
  }
}

void CrashRelay::Repair(const Heartbeat& word, std::uint64_t own_digest) {
  if (own_digest == word.crash_digest || own_digest == 0) {
    return;
  }
  socket_->Send(word.address, CrashReports{self_, ports_.shared()});
}

}  // namespace harecrank
