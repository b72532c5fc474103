#include "harecrank/core/request_share.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace harecrank {

RequestShare::RequestShare(MonotonicClock clock)
    : clock_(std::move(clock)), last_sweep_at_(clock_()) {}

void RequestShare::OnRequest() {
  const TimePoint now = clock_();
  while (!requests_.empty() && requests_.front() <= now - kWindow) {
    requests_.pop_front();
  }
  requests_.push_back(now);
}

void RequestShare::OnOtherHost(const HostAddress& host,
                               std::optional<int> requests) {
  const TimePoint now = clock_();
  if (requests.has_value()) {
    reports_[host] = Report{*requests, now};
  } else {
    reports_.erase(host);
  }
  if (now - last_sweep_at_ < kReportLifetime) {
    return;
  }
  last_sweep_at_ = now;
  for (auto it = reports_.begin(); it != reports_.end();) {
    const bool is_outdated = now - it->second.at >= kReportLifetime;
    it = is_outdated ? reports_.erase(it) : std::next(it);
  }
}

int RequestShare::Recent() const {
  const auto first =
      std::upper_bound(requests_.begin(), requests_.end(), clock_() - kWindow);
  return static_cast<int>(std::distance(first, requests_.end()));
}

bool RequestShare::IsCrowded() const {
  const int own = Recent();
  if (own < kMinCrowd) {
    return false;
  }
  const TimePoint now = clock_();
  int hosts = 0;
  int requests = 0;
  for (const auto& [host, report] : reports_) {
    if (now - report.at < kReportLifetime) {
      ++hosts;
      requests += report.requests;
    }
  }
  if (hosts < kMinHosts) {
    return false;
  }
  const double average = static_cast<double>(requests) / hosts;
  return own >= kCrowdedFactor * average &&
         own >= average + kCrowdedDeviations * std::sqrt(average);
}

}  // namespace harecrank
