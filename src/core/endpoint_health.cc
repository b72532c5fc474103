#include "harecrank/core/endpoint_health.h"

#include <algorithm>
#include <utility>

namespace harecrank {
namespace {

// Weight of the latest result in the failure ratio.
constexpr double kSmoothingFactor = 0.15;

void UpdateMean(double* mean, double newest) {
  *mean += kSmoothingFactor * (newest - *mean);
}

}  // namespace

EndpointHealth::EndpointHealth(MonotonicClock clock, bool judges_groups)
    : clock_(std::move(clock)),
      judges_groups_(judges_groups),
      pace_(clock_, judges_groups) {}

void EndpointHealth::OnSuccess(const EndpointId& id, double slowdown) {
  PrefillObservation observation;
  observation.engines = {id};
  observation.slowdown = slowdown;
  OnFirstEvent(observation);
}

void EndpointHealth::OnFirstEvent(const PrefillObservation& observation) {
  State& state = states_[observation.engines.front()];
  state.failures_in_a_row = 0;
  state.open_until = TimePoint{};
  UpdateMean(&state.failure_ratio, 0);
  pace_.OnFirstEvent(observation);
}

void EndpointHealth::OnGroupTrouble(const std::vector<EndpointId>& engines,
                                    double slowdown, FractionalMillis elapsed) {
  pace_.OnGroupTrouble(engines, slowdown, elapsed);
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
  if (states_.size() >= kMaxEndpoints && states_.count(id) == 0) {
    return;
  }
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
  return pace_.Of(id);
}

bool EndpointHealth::IsFailing(const State& state) const {
  return state.failure_ratio > kFailingRatio &&
         clock_() < state.last_failure_at + kFailingTime;
}

EngineStanding EndpointHealth::StandingOf(const EndpointId& id) const {
  if (!judges_groups_) {
    return EngineStanding::kSound;
  }
  const auto found = states_.find(id);
  const bool fails = found != states_.end() && IsFailing(found->second);
  return fails ? EngineStanding::kFailing : pace_.StandingOf(id);
}

bool EndpointHealth::IsTrialDue(const EndpointId& id) const {
  if (StandingOf(id) == EngineStanding::kSound) {
    return false;
  }
  const auto found = states_.find(id);
  const TimePoint last_failure_at =
      found == states_.end() ? TimePoint{} : found->second.last_failure_at;
  return clock_() >=
         std::max(last_failure_at, pace_.ChargedAt(id)) + kTrialPause;
}

std::map<EndpointId, EngineStanding> EndpointHealth::UnsoundEngines() const {
  std::map<EndpointId, EngineStanding> unsound;
  const auto add = [this, &unsound](const EndpointId& id) {
    const EngineStanding standing = StandingOf(id);
    if (standing != EngineStanding::kSound) {
      unsound[id] = standing;
    }
  };
  for (const auto& [id, state] : states_) {
    add(id);
  }
  for (const EndpointId& id : pace_.Engines()) {
    add(id);
  }
  return unsound;
}

}  // namespace harecrank
