// A limit on the requests that all hosts together start at one endpoint.

#ifndef HARECRANK_CORE_START_LIMIT_H_
#define HARECRANK_CORE_START_LIMIT_H_

#include <optional>

#include "harecrank/core/clock.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// Why a host starts a request at an endpoint.
enum class StartKind {
  // The endpoint answers the request.
  kRequest,
  // The endpoint prefills a part of a long prompt for the endpoint that answers
  // the request.
  kPrefillPart
};

// Limit on the requests that all hosts together start at one endpoint.
// `max_starts` and `per_second` are each multiplied by `multiplier`.
struct StartLimit {
  // Maximum number of starts within `window`.
  double max_starts = 0;
  // Length of the sliding window in which starts are counted, by the time at
  // which a host decides on them.
  Millis window{0};
  // Maximum long-term rate in starts per second; unset if only `max_starts`
  // applies.
  std::optional<double> per_second;
  // Factor by which the limit is raised: 1 while the cause of the limit lasts,
  // then growing until the limit is lifted.
  double multiplier = 1;
  // Time from which the limit has applied.
  TimePoint since{};
  // No request starts before this time. The default, a time in the past, means
  // that requests may start at once.
  TimePoint not_before{};
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_START_LIMIT_H_
