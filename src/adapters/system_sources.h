// The real clock and the real random numbers.

#ifndef HARECRANK_SRC_ADAPTERS_SYSTEM_SOURCES_H_
#define HARECRANK_SRC_ADAPTERS_SYSTEM_SOURCES_H_

#include "harecrank/core/clock.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// Returns the system's monotonic clock.
MonotonicClock SystemClock();

// Returns a thread-safe source seeded by the system.
RandomSource SystemRandom();

// Returns a new incarnation for a process that has just begun.
Incarnation DrawIncarnation(const RandomSource& random);

// Returns `time` in milliseconds since the clock's own beginning.
std::int64_t ToMillis(TimePoint time);

// Returns the SHA-256 of `text` in lower-case hexadecimal.
std::string Sha256Hex(const std::string& text);

}  // namespace harecrank

#endif  // HARECRANK_SRC_ADAPTERS_SYSTEM_SOURCES_H_
