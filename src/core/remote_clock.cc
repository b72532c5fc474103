#include "harecrank/core/remote_clock.h"

namespace harecrank {

void RemoteClock::OnPulse(RemoteMillis remote, TimePoint now) {
  // Of two pulses, the one with the smaller difference between arrival time and
  // remote reading had the shorter delay and gives the better estimate. The
  // latest pulse is used nevertheless, because an older reading would
  // accumulate the drift between the two clocks.
  latest_ = Pulse{remote, now};
}

std::optional<RemoteMillis> RemoteClock::Convert(TimePoint deadline) const {
  if (!latest_) {
    return std::nullopt;
  }
  const auto after_pulse =
      std::chrono::duration_cast<Millis>(deadline - latest_->arrived);
  return RemoteMillis{latest_->remote.value + after_pulse.count()};
}

}  // namespace harecrank
