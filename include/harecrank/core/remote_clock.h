// Converts deadlines to the clock of the receiving process.
//
// A message can wait for minutes in the socket of a suspended process. If it
// carried a remaining time that the receiver counts from when it reads the
// message, the receiver would start the request long after the sender has given
// it up. The sender therefore states the deadline as a time of the receiver's
// own clock. It estimates this clock from the last pulse: a message that a
// process sends periodically on each link and that contains a reading of its
// clock.

#ifndef HARECRANK_CORE_REMOTE_CLOCK_H_
#define HARECRANK_CORE_REMOTE_CLOCK_H_

#include <cstdint>
#include <optional>

#include "harecrank/core/clock.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// A reading of another process's monotonic clock, in milliseconds. It cannot be
// compared with readings of the clocks of other processes.
using RemoteMillis = StrongNumber<struct RemoteMillisTag, std::int64_t>;

// Estimates another process's monotonic clock and converts deadlines to it.
//
// The estimate is never ahead of that clock: it lags by the time that the pulse
// spent on the network. A converted deadline is therefore early by that time
// and never later than the sender's own deadline. The two clocks are assumed to
// run at the same rate between two pulses. Not thread-safe.
class RemoteClock {
 public:
  // Records that a pulse with the reading `remote` arrived at `now`.
  void OnPulse(RemoteMillis remote, TimePoint now);

  // Returns `deadline` as a time of the other process's clock, or nothing if no
  // pulse has arrived yet.
  std::optional<RemoteMillis> Convert(TimePoint deadline) const;

 private:
  // A clock reading of the other process, and when it arrived here.
  struct Pulse {
    RemoteMillis remote;
    TimePoint arrived;
  };
  std::optional<Pulse> latest_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_REMOTE_CLOCK_H_
