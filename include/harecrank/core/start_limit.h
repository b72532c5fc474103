// A limit on the requests that all hosts together start at one endpoint.

#ifndef HARECRANK_CORE_START_LIMIT_H_
#define HARECRANK_CORE_START_LIMIT_H_

#include <optional>

#include "harecrank/core/clock.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// What a request is started for at an endpoint.
enum class StartKind {
  // The endpoint answers the request.
  kRequest,
  // The endpoint prefills a part of the prompt for another endpoint.
  kPrefillPart
};

// All hosts together keep to `max_starts` and `per_second`, each scaled by
// `multiplier`.
struct StartLimit {
  // Maximum number of starts within `window`.
  double max_starts = 0;
  // Two starts that are decided on at least this far apart do not count
  // together.
  Millis window{0};
  // Long-term rate of starts per second; unset if only `max_starts` applies.
  std::optional<double> per_second;
  // Factor by which the limit is raised: 1 while its cause lasts, growing
  // afterwards until the limit is lifted.
  double multiplier = 1;
  // Time at which the limit came into force.
  TimePoint since{};
  // No request starts before this time. Unset if the limit admits some at once.
  TimePoint not_before{};
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_START_LIMIT_H_
