// The sources of time and chance that decision logic is given.

#ifndef HARECRANK_CORE_CLOCK_H_
#define HARECRANK_CORE_CLOCK_H_

#include <chrono>
#include <cstdint>
#include <functional>

namespace harecrank {

// Never goes back, and counts on while the process is stopped and while its
// whole machine is suspended. The standard library's steady clock stands still
// during a suspension: a host that slept for five seconds by it took what it
// knew for fresh, and told endpoints five seconds more than callers had left.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;

  // For timers and adapters alone: decision logic is given a MonotonicClock.
  // The standard's requirements for clocks give it this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static time_point now() noexcept;
};

using TimePoint = BootClock::time_point;

// Returns the present on a clock that never goes back, as BootClock does.
using MonotonicClock = std::function<TimePoint()>;

// Returns 64 random bits.
using RandomSource = std::function<std::uint64_t()>;

}  // namespace harecrank

#endif  // HARECRANK_CORE_CLOCK_H_
