// Deadlines on the receiver's clock.
//
// A message can sit for minutes in the socket of a frozen process. A remaining
// time that the receiver counts from when it reads the message would then
// begin anew, and the request would start long after its sender gave up. So
// the sender states the deadline on the receiver's own clock, which it knows
// from the latest pulse.

#ifndef HARECRANK_CORE_REMOTE_CLOCK_H_
#define HARECRANK_CORE_REMOTE_CLOCK_H_

#include <cstdint>
#include <optional>

#include "harecrank/core/clock.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// A reading of another process's monotonic clock. Means nothing elsewhere.
using RemoteMillis = StrongNumber<struct RemoteMillisTag, std::int64_t>;

// What one process knows of another's monotonic clock.
//
// The estimate is never late: a pulse was sent before it arrived, so a deadline
// converted through it ends early by the pulse's time on the way, and never
// after the sender's own deadline. Two monotonic clocks are taken to run at one
// rate between two pulses. Not thread-safe.
class RemoteClock {
 public:
  // Notes that a pulse with the reading `remote` arrived at `now`.
  void OnPulse(RemoteMillis remote, TimePoint now);

  // Returns `deadline` on the other's clock, or nothing before the first pulse.
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
