// Staggers the loading of model weights across endpoints to limit the load on
// the weight store.

#ifndef HARECRANK_CORE_WEIGHT_LOADS_H_
#define HARECRANK_CORE_WEIGHT_LOADS_H_

#include <string>
#include <vector>

#include "harecrank/core/strong_types.h"

namespace harecrank {

// Returns the delay after which the endpoint `self` starts to load the weights
// called `what`, if at most `at_once` of `endpoints` may load at a time and one
// load takes about `load_time`.
//
// The endpoints are divided into waves. Every process computes the same waves
// from the same endpoints, without communication. Waves are separated by time
// only: loads that take longer than `load_time` overlap with the next wave. The
// weight store then rejects the excess loads, and the rejected loads are
// retried after a pause.
Millis WeightLoadDelay(const std::string& what,
                       std::vector<std::string> endpoints,
                       const EndpointId& self, std::size_t at_once,
                       Millis load_time);

}  // namespace harecrank

#endif  // HARECRANK_CORE_WEIGHT_LOADS_H_
