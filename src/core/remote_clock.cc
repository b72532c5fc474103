#include "harecrank/core/remote_clock.h"

namespace harecrank {

void RemoteClock::OnPulse(RemoteMillis remote, TimePoint now) {
  // Of two estimates the one with the larger remote reading for the same local
  // time spent less on the way. The latest is kept all the same: a later pulse
  // bounds the drift of the two clocks.
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
