#include "harecrank/core/endpoint_health.h"

#include <algorithm>
#include <utility>

namespace harecrank {
namespace {

// Weight of the newest answer in the running means.
constexpr double kNewest = 0.15;
// A single answer's pace is cut to this, so that one outlier cannot dominate.
constexpr double kMostPace = 10;

void Fold(double* mean, double newest) { *mean += kNewest * (newest - *mean); }

}  // namespace

EndpointHealth::EndpointHealth(MonotonicClock clock)
    : clock_(std::move(clock)) {}

void EndpointHealth::OnSuccess(const EndpointId& id, double pace) {
  State& state = states_[id];
  state.failures_in_a_row = 0;
  state.blocked_until = TimePoint{};
  Fold(&state.failure_share, 0);
  Fold(&state.pace, std::min(pace, kMostPace));
}

void EndpointHealth::OnBytesReceived(const EndpointId& id) {
  states_[id].heard = clock_();
}

void EndpointHealth::OnOverdue(const EndpointId& id, TimePoint since) {
  if (!ReceivedBytesAfter(id, since)) {
    OnUnreachable(id);
  }
}

void EndpointHealth::OnReportedAtFault(const EndpointId& id) {
  states_[id].named_until = clock_() + kReportedOpenTime;
}

void EndpointHealth::OnAvoidedByPeer(const EndpointId& id, Millis left) {
  states_[id].avoided_until = clock_() + std::min(left, kMaxOpenTime);
}

std::vector<AvoidedEndpoint> EndpointHealth::Avoided() const {
  const TimePoint now = clock_();
  std::vector<AvoidedEndpoint> avoided;
  for (const auto& [id, state] : states_) {
    const TimePoint until = std::max(state.blocked_until, state.named_until);
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
  return found != states_.end() && found->second.heard >= time + kAliveMargin;
}

void EndpointHealth::NoteFailure(State* state) {
  Fold(&state->failure_share, 1);
  state->failed_at = clock_();
}

void EndpointHealth::OnErrorAnswer(const EndpointId& id) {
  NoteFailure(&states_[id]);
}

void EndpointHealth::OnUnreachable(const EndpointId& id) {
  State& state = states_[id];
  NoteFailure(&state);
  Millis block = kInitialOpenTime;
  for (int i = 0; i < state.failures_in_a_row && block < kMaxOpenTime; ++i) {
    block *= 2;
  }
  ++state.failures_in_a_row;
  state.blocked_until = clock_() + std::min(block, kMaxOpenTime);
}

bool EndpointHealth::IsSuspect(const EndpointId& id) const {
  const auto found = states_.find(id);
  if (found == states_.end()) {
    return false;
  }
  const State& state = found->second;
  const TimePoint until =
      std::max({state.blocked_until, state.named_until, state.avoided_until});
  const TimePoint now = clock_();
  const bool fails = state.failure_share > kSuspectFailureRatio &&
                     now < state.failed_at + kProbeDelay;
  return now < until || fails;
}

double EndpointHealth::Slowdown(const EndpointId& id) const {
  const auto found = states_.find(id);
  return found == states_.end() ? 1 : found->second.pace;
}

}  // namespace harecrank
