#include "harecrank/core/endpoint_health.h"

#include <algorithm>
#include <utility>

namespace harecrank {
namespace {

// Weight of the latest sample in the exponential moving averages.
constexpr double kSmoothingFactor = 0.15;
// Upper limit on a single slowdown sample, so that one outlier cannot dominate
// the mean.
constexpr double kMaxSlowdown = 10;

void UpdateMean(double* mean, double newest) {
  *mean += kSmoothingFactor * (newest - *mean);
}

}  // namespace

EndpointHealth::EndpointHealth(MonotonicClock clock)
    : clock_(std::move(clock)) {}

void EndpointHealth::OnSuccess(const EndpointId& id, double slowdown) {
  State& state = states_[id];
  state.failures_in_a_row = 0;
  state.open_until = TimePoint{};
  UpdateMean(&state.failure_ratio, 0);
  UpdateMean(&state.slowdown, std::min(slowdown, kMaxSlowdown));
}

void EndpointHealth::OnBytesReceived(const EndpointId& id) {
  states_[id].last_bytes_at = clock_();
}

void EndpointHealth::OnOverdue(const EndpointId& id, TimePoint since) {
  if (!ReceivedBytesAfter(id, since)) {
    OnUnreachable(id);
  }
}

void EndpointHealth::OnReportedAtFault(const EndpointId& id) {
  states_[id].reported_until = clock_() + kReportedOpenTime;
}

void EndpointHealth::OnAvoidedByPeer(const EndpointId& id, Millis left) {
  states_[id].peer_avoids_until = clock_() + std::min(left, kMaxOpenTime);
}

std::vector<AvoidedEndpoint> EndpointHealth::Avoided() const {
  const TimePoint now = clock_();
  std::vector<AvoidedEndpoint> avoided;
  for (const auto& [id, state] : states_) {
    const TimePoint until = std::max(state.open_until, state.reported_until);
    if (now < until) {
      avoided.push_back(
          AvoidedEndpoint{id, std::chrono::duration_cast<Millis>(until - now)});
    }
  }
  return avoided;
}

bool EndpointHealth::ReceivedBytesAfter(const EndpointId& id,
                                        TimePoint time) const {
  const auto found = states_.find(id);
  return found != states_.end() &&
         found->second.last_bytes_at >= time + kAliveMargin;
}

void EndpointHealth::RecordFailure(State* state) {
  UpdateMean(&state->failure_ratio, 1);
  state->last_failure_at = clock_();
}

void EndpointHealth::OnErrorAnswer(const EndpointId& id) {
  RecordFailure(&states_[id]);
}

void EndpointHealth::OnUnreachable(const EndpointId& id) {
  State& state = states_[id];
  RecordFailure(&state);
  Millis open_time = kInitialOpenTime;
  for (int i = 0; i < state.failures_in_a_row && open_time < kMaxOpenTime;
       ++i) {
    open_time *= 2;
  }
  ++state.failures_in_a_row;
  state.open_until = clock_() + std::min(open_time, kMaxOpenTime);
}

bool EndpointHealth::IsSuspect(const EndpointId& id) const {
  const auto found = states_.find(id);
  if (found == states_.end()) {
    return false;
  }
  const State& state = found->second;
  const TimePoint until = std::max(
      {state.open_until, state.reported_until, state.peer_avoids_until});
  const TimePoint now = clock_();
  const bool fails_often = state.failure_ratio > kSuspectFailureRatio &&
                           now < state.last_failure_at + kProbeDelay;
  return now < until || fails_often;
}

double EndpointHealth::Slowdown(const EndpointId& id) const {
  const auto found = states_.find(id);
  return found == states_.end() ? 1 : found->second.slowdown;
}

}  // namespace harecrank
