#include "harecrank/core/connection_share.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace harecrank {

ConnectionShare::ConnectionShare(MonotonicClock clock)
    : clock_(std::move(clock)), last_sweep_at_(clock_()) {}

void ConnectionShare::OnConnection() {
  const TimePoint now = clock_();
  while (!connections_.empty() && connections_.front() <= now - kWindow) {
    connections_.pop_front();
  }
  connections_.push_back(now);
}

void ConnectionShare::OnOtherHost(const HostAddress& host, int connections) {
  const TimePoint now = clock_();
  reports_[host] = Report{connections, now};
  if (now - last_sweep_at_ < kReportLifetime) {
    return;
  }
  last_sweep_at_ = now;
  for (auto it = reports_.begin(); it != reports_.end();) {
    const bool is_outdated = now - it->second.at >= kReportLifetime;
    it = is_outdated ? reports_.erase(it) : std::next(it);
  }
}

int ConnectionShare::Recent() const {
  const auto first = std::upper_bound(connections_.begin(), connections_.end(),
                                      clock_() - kWindow);
  return static_cast<int>(std::distance(first, connections_.end()));
}

bool ConnectionShare::IsCrowded() const {
  const int own = Recent();
  if (own < kMinCrowd) {
    return false;
  }
  const TimePoint now = clock_();
  int hosts = 0;
  int connections = 0;
  for (const auto& [host, report] : reports_) {
    if (now - report.at < kReportLifetime) {
      ++hosts;
      connections += report.connections;
    }
  }
  if (hosts == 0) {
    return false;
  }
  const double average = static_cast<double>(connections) / hosts;
  return own >= kCrowdedFactor * average &&
         own >= average + kCrowdedDeviations * std::sqrt(average);
}

}  // namespace harecrank
