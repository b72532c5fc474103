// Deadlines on the receiver's clock.
//
// A message can wait for minutes in the socket of a suspended process. If it
// carried a remaining time that the receiver counts from when it reads the
// message, the request would be started long after its sender has given up. The
// sender therefore states the deadline on the receiver's own clock, which it
// knows from the last pulse, the periodic message of a link that carries the
// clock of its sender.

#ifndef HARECRANK_CORE_REMOTE_CLOCK_H_
#define HARECRANK_CORE_REMOTE_CLOCK_H_

#include <cstdint>
#include <optional>

#include "harecrank/core/clock.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// A reading of another process's monotonic clock, in milliseconds. It has no
// meaning for other processes.
using RemoteMillis = StrongNumber<struct RemoteMillisTag, std::int64_t>;

// An estimate of another process's monotonic clock.
//
// The estimate is never ahead of that clock: it lags by the time that the pulse
// spent on the network. A converted deadline is therefore early by that time
// and never later than the sender's own deadline. The two clocks are assumed to
// run at the same rate between two pulses. Not thread-safe.
class RemoteClock {
 public:
  // Records that a pulse with the reading `remote` arrived at `now`.
  void OnPulse(RemoteMillis remote, TimePoint now);

  // Returns `deadline` on the other process's clock, or nothing before the
  // first pulse.
  std::optional<RemoteMillis> Convert(TimePoint deadline) const;

 private:
  struct Pulse {
    RemoteMillis remote;
    TimePoint arrived;
  };
  std::optional<Pulse> latest_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_REMOTE_CLOCK_H_
