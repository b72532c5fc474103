// Sources of time and randomness that are passed to decision logic.

#ifndef HARECRANK_CORE_CLOCK_H_
#define HARECRANK_CORE_CLOCK_H_

#include <chrono>
#include <cstdint>
#include <functional>

namespace harecrank {

// A monotonic clock that continues while the process is stopped and while the
// machine is suspended. std::chrono::steady_clock does not count the time of a
// suspension: after one, a host would use outdated data as if they were fresh,
// and would give endpoints more time for a request than its caller still waits.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;

  // Only timers and adapters call this function; decision logic receives a
  // MonotonicClock instead. The C++ standard's requirements for clocks
  // prescribe the name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static time_point now() noexcept;
};

using TimePoint = BootClock::time_point;

// Returns the current time of a clock that never goes back, such as BootClock.
using MonotonicClock = std::function<TimePoint()>;

// Returns 64 random bits.
using RandomSource = std::function<std::uint64_t()>;

}  // namespace harecrank

#endif  // HARECRANK_CORE_CLOCK_H_
