#include "harecrank/core/drained_data_centres.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "harecrank/core/rendezvous.h"

namespace harecrank {

DrainedDataCentres::DrainedDataCentres(MonotonicClock clock)
    : clock_(std::move(clock)) {}

bool DrainedDataCentres::Drain(const DrainedDataCentre& order) {
  State& state = states_[order.id];
  if (order.revision < state.revision) {
    return false;
  }
  const bool was_active = !state.is_drained;
  state = State{true, order.revision, std::nullopt};
  return was_active;
}

bool DrainedDataCentres::Restore(const DataCentreId& id,
                                 StoreRevision revision) {
  State& state = states_[id];
  if (revision < state.revision) {
    return false;
  }
  const bool was_drained = state.is_drained;
  SetRestored(&state, revision);
  return was_drained;
}

DrainChange DrainedDataCentres::ReplaceAll(
    const std::vector<DrainedDataCentre>& orders, StoreRevision at) {
  DrainChange change;
  std::set<DataCentreId> listed;
  for (const DrainedDataCentre& order : orders) {
    listed.insert(order.id);
    if (Drain(order)) {
      change.drained.push_back(order);
    }
  }
  for (auto it = states_.begin(); it != states_.end();) {
    State& state = it->second;
    const bool is_current = listed.count(it->first) != 0 || at < state.revision;
    if (!is_current && state.is_drained) {
      SetRestored(&state, at);
      change.restored.push_back(DrainedDataCentre{it->first, at});
    }
    const bool is_obsolete = !is_current && !IsRampingUpNow(state);
    it = is_obsolete ? states_.erase(it) : std::next(it);
  }
  return change;
}

bool DrainedDataCentres::IsDrained(const DataCentreId& id) const {
  const auto found = states_.find(id);
  return found != states_.end() && found->second.is_drained;
}

bool DrainedDataCentres::IsRampingUp(const DataCentreId& id,
                                     const EndpointId& endpoint) const {
  const auto found = states_.find(id);
  if (found == states_.end() || !IsRampingUpNow(found->second)) {
    return false;
  }
  const std::uint64_t offset = RendezvousWeight(id.value, endpoint.value) %
                               static_cast<std::uint64_t>(kRampUpTime.count());
  const Millis wait(static_cast<std::int64_t>(offset));
  return clock_() - *found->second.restored_at < wait;
}

bool DrainedDataCentres::AnyRampingUp() const {
  return std::any_of(states_.begin(), states_.end(), [this](const auto& item) {
    return IsRampingUpNow(item.second);
  });
}

std::size_t DrainedDataCentres::Count() const {
  return static_cast<std::size_t>(
      std::count_if(states_.begin(), states_.end(),
                    [](const auto& item) { return item.second.is_drained; }));
}

void DrainedDataCentres::SetRestored(State* state, StoreRevision revision) {
  if (state->is_drained) {
    state->restored_at = clock_();
  }
  state->is_drained = false;
  state->revision = revision;
}

bool DrainedDataCentres::IsRampingUpNow(const State& state) const {
  return state.restored_at.has_value() &&
         clock_() - *state.restored_at < kRampUpTime;
}

}  // namespace harecrank
