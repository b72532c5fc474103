// The sources of time and chance that decision logic is given.

#ifndef HARECRANK_CORE_CLOCK_H_
#define HARECRANK_CORE_CLOCK_H_

#include <chrono>
#include <cstdint>
#include <functional>

namespace harecrank {

using TimePoint = std::chrono::steady_clock::time_point;

// Returns the present on a clock that never goes back and that runs on while
// the process is frozen.
using MonotonicClock = std::function<TimePoint()>;

// Returns 64 random bits.
using RandomSource = std::function<std::uint64_t()>;

}  // namespace harecrank

#endif  // HARECRANK_CORE_CLOCK_H_
