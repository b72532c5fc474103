// When an endpoint may load weights, so that the fleet respects the store.

#ifndef HARECRANK_CORE_WEIGHT_LOADS_H_
#define HARECRANK_CORE_WEIGHT_LOADS_H_

#include <string>
#include <vector>

#include "harecrank/core/strong_types.h"

namespace harecrank {

// Returns how long after a revision came into force the endpoint `self` starts
// to load `what`, if at most `at_once` of `endpoints` may load at a time and
// one load takes about `load_time`.
//
// Every process computes the same waves without a word to the others. The
// waves are apart by time only: loads that take longer than `load_time` overlap
// the next wave, and the store's own refusals and the caller's pause between
// tries carry the rest.
Millis WeightLoadDelay(const std::string& what,
                       std::vector<std::string> endpoints,
                       const EndpointId& self, std::size_t at_once,
                       Millis load_time);

}  // namespace harecrank

#endif  // HARECRANK_CORE_WEIGHT_LOADS_H_
