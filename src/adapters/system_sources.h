// The system implementations of the clock and the random source, and helpers
// for hashes and times.

#ifndef HARECRANK_SRC_ADAPTERS_SYSTEM_SOURCES_H_
#define HARECRANK_SRC_ADAPTERS_SYSTEM_SOURCES_H_

#include "harecrank/core/clock.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// Returns the system's monotonic clock, which also advances while the system is
// suspended.
MonotonicClock SystemClock();

// Returns a thread-safe random source that is seeded by the system.
RandomSource SystemRandom();

// Returns a random non-zero incarnation for a process that is starting.
Incarnation DrawIncarnation(const RandomSource& random);

// Returns `time` in milliseconds since the epoch of the monotonic clock.
std::int64_t ToMillis(TimePoint time);

// Returns the SHA-256 of `text` in lower-case hexadecimal.
std::string Sha256Hex(const std::string& text);

}  // namespace harecrank

#endif  // HARECRANK_SRC_ADAPTERS_SYSTEM_SOURCES_H_
