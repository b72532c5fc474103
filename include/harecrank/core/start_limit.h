// A bound on what all hosts together begin at one endpoint.

#ifndef HARECRANK_CORE_START_LIMIT_H_
#define HARECRANK_CORE_START_LIMIT_H_

#include <optional>

#include "harecrank/core/clock.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// What a request does at an endpoint.
enum class StartKind {
  // The endpoint answers it.
  kRequest,
  // The endpoint reads a part of its prompt for another one.
  kPrefillPart
};

struct StartLimit {
  // Starts within `window`.
  double max_starts = 0;
  // Two that are decided on this far apart do not count together.
  Millis window{0};
  // Starts a second in the long run; unset where `max_starts` alone bounds
  // them.
  std::optional<double> per_second;
  // How many times as many are allowed by now: 1, and more once the cause of
  // the bound is over.
  double multiplier = 1;
  // Since when there has been a bound.
  TimePoint since{};
  // Nothing begins before; unset where the bound lets some through at once.
  TimePoint not_before{};
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_START_LIMIT_H_
