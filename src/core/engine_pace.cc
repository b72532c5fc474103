#include "harecrank/core/engine_pace.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <utility>

namespace harecrank {
namespace {

// Weight of the latest sample in the exponential moving average.
constexpr double kSmoothingFactor = 0.15;
// Upper limit on a slowdown sample, so that one outlier cannot dominate the
// estimate.
constexpr double kMaxSlowdown = 10;
// Added to both times of a slowdown. It hardly affects the ratio of long times.
constexpr FractionalMillis kNegligible{200};
// A first event at this multiple of the least time or later suits an engine
// that was slow, down to an estimate of kFadedSlowdown.
constexpr double kSlowBound = 3;
constexpr double kFadedSlowdown = 1.25;

// Removes the states for which `keep` is false, unless it is false for all.
template <typename State, typename Predicate>
void KeepIfAny(std::vector<State*>* states, const Predicate& keep) {
  std::vector<State*> kept;
  std::copy_if(states->begin(), states->end(), std::back_inserter(kept),
               [&keep](const State* state) { return keep(*state); });
  if (!kept.empty()) {
    *states = std::move(kept);
  }
}

}  // namespace

double SlowdownOf(FractionalMillis taken, FractionalMillis predicted) {
  return (taken + kNegligible) / (predicted + kNegligible);
}

FractionalMillis TimeTaken(double slowdown, FractionalMillis predicted) {
  return slowdown * (predicted + kNegligible) - kNegligible;
}

EnginePace::EnginePace(MonotonicClock clock, bool judges_groups)
    : clock_(std::move(clock)), judges_groups_(judges_groups) {}

void EnginePace::OnFirstEvent(const PrefillObservation& observation) {
  if (!judges_groups_) {
    double& mean = states_[observation.engines.front()].slowdown;
    mean += kSmoothingFactor *
            (std::min(observation.slowdown, kMaxSlowdown) - mean);
    return;
  }
  const bool knows_part = observation.part > FractionalMillis(0);
  const double bound = knows_part
                           ? std::max(1.0, observation.taken / observation.part)
                           : std::numeric_limits<double>::infinity();
  if (bound <= kSoundBound) {
    for (const EndpointId& id : observation.engines) {
      MarkSound(&states_[id]);
    }
  } else if (observation.engines.size() == 1) {
    Observe(observation, bound);
  } else if (observation.slowdown >= kClearlySlow) {
    Charge(observation.engines, std::min(observation.slowdown, bound),
           clock_() - std::chrono::duration_cast<TimePoint::duration>(
                          observation.taken));
  }
}

void EnginePace::Observe(const PrefillObservation& observation, double bound) {
  State& state = states_[observation.engines.front()];
  const double current = Current(state);
  // The prediction already includes the current estimate.
  const double seen = std::min(
      {observation.slowdown * std::max(1.0, current), bound, kMaxSlowdown});
  const bool is_brief = observation.taken < kNegligible;
  const bool accuses = seen >= current;
  if (accuses && IsDoubted(state) && !is_brief &&
      observation.slowdown >= kClearlySlow) {
    SetSlowdown(&state, seen);
    state.charged_at = clock_();
    state.suspected_until = TimePoint{};
  } else if (bound >= kSlowBound && IsDoubted(state) &&
             (is_brief ? current >= kFadedSlowdown
                       : accuses && current >= kSlow)) {
    // The engine is still slow, so its estimate must not fade.
    SetSlowdown(
        &state,
        current + kSmoothingFactor * (std::min(bound, kMaxSlowdown) - current));
    state.charged_at = clock_();
    state.suspected_until = clock_() + kDoubtTime;
  } else if (accuses && is_brief) {
    // Tells nothing for certain, so that other engines are tried first.
    state.charged_at = clock_();
  } else {
    SetSlowdown(&state, current + kSmoothingFactor * (seen - current));
  }
}

void EnginePace::OnGroupTrouble(const std::vector<EndpointId>& engines,
                                double slowdown, FractionalMillis elapsed) {
  if (judges_groups_) {
    Charge(engines, slowdown,
           clock_() - std::chrono::duration_cast<TimePoint::duration>(elapsed));
  }
}

double EnginePace::Current(const State& state) const {
  if (!judges_groups_) {
    return state.slowdown;
  }
  const double half_lives =
      FractionalMillis(clock_() - state.heard_at) / FractionalMillis(kHalfLife);
  return 1 + (state.slowdown - 1) * std::exp2(-half_lives);
}

bool EnginePace::IsSuspected(const State& state) const {
  return clock_() < state.suspected_until;
}

bool EnginePace::IsDoubted(const State& state) const {
  return clock_() < state.suspected_until + kDoubtTime;
}

void EnginePace::SetSlowdown(State* state, double slowdown) {
  state->slowdown = slowdown;
  state->heard_at = clock_();
}

void EnginePace::MarkSound(State* state) {
  state->sound_at = clock_();
  state->suspected_until = TimePoint{};
  // An engine may be slow for a share of its requests only, so one good request
  // does not clear an engine that was slow.
  SetSlowdown(state, (1 + Current(*state)) / 2);
}

std::vector<EnginePace::State*> EnginePace::Suspects(
    const std::vector<EndpointId>& engines, TimePoint since) {
  std::vector<State*> suspects;
  for (const EndpointId& id : engines) {
    State& state = states_[id];
    if (state.sound_at < since) {
      suspects.push_back(&state);
    }
  }
  // One engine that explains several slow groups is more likely than several
  // slow engines.
  KeepIfAny(&suspects,
            [this](const State& state) { return Current(state) >= kSlow; });
  KeepIfAny(&suspects, [this](const State& state) { return IsDoubted(state); });
  KeepIfAny(&suspects, [since](const State& state) {
    return state.sound_at + kSoundTime <= since;
  });
  return suspects;
}

void EnginePace::Charge(const std::vector<EndpointId>& engines, double slowdown,
                        TimePoint since) {
  const std::vector<State*> suspects = Suspects(engines, since);
  const TimePoint now = clock_();
  if (suspects.size() == 1) {
    State* slow = suspects.front();
    SetSlowdown(slow,
                std::max(Current(*slow), std::min(slowdown, kMaxSlowdown)));
    slow->charged_at = now;
    // Once its estimate has faded, it is tried before groups use it again.
    slow->suspected_until = now + kDoubtTime;
    return;
  }
  if (suspects.empty()) {
    return;
  }
  // The fewer suspects remain, the more groups should come between their
  // returns, so that no group has two of them.
  const auto step = std::max<TimePoint::duration>(
      kSuspectStep, 2 * kSuspectTime / static_cast<int>(suspects.size()));
  TimePoint until = now + kSuspectTime;
  for (State* suspect : suspects) {
    suspect->suspected_until = until;
    until += step;
  }
}

double EnginePace::Of(const EndpointId& id) const {
  const auto found = states_.find(id);
  return found == states_.end() ? 1 : Current(found->second);
}

EngineStanding EnginePace::StandingOf(const EndpointId& id) const {
  const auto found = states_.find(id);
  if (!judges_groups_ || found == states_.end()) {
    return EngineStanding::kSound;
  }
  if (Current(found->second) >= kSlow) {
    return EngineStanding::kSlow;
  }
  return IsSuspected(found->second) ? EngineStanding::kSuspected
                                    : EngineStanding::kSound;
}

TimePoint EnginePace::ChargedAt(const EndpointId& id) const {
  const auto found = states_.find(id);
  return found == states_.end() ? TimePoint{} : found->second.charged_at;
}

std::vector<EndpointId> EnginePace::Engines() const {
  std::vector<EndpointId> engines;
  engines.reserve(states_.size());
  for (const auto& [id, state] : states_) {
    engines.push_back(id);
  }
  return engines;
}

}  // namespace harecrank
