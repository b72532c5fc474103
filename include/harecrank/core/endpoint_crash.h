// The crash of one incarnation of an endpoint.

#ifndef HARECRANK_CORE_ENDPOINT_CRASH_H_
#define HARECRANK_CORE_ENDPOINT_CRASH_H_

#include <tuple>

#include "harecrank/core/endpoint_directory.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// The crash of one incarnation of an endpoint. Equal values denote the same
// crash, however many hosts and requests observed it.
struct EndpointCrash {
  EndpointId endpoint;
  // Zero on platforms that do not publish incarnations.
  EndpointIncarnation incarnation;

  friend bool operator==(const EndpointCrash& a, const EndpointCrash& b) {
    return std::tie(a.endpoint, a.incarnation.value) ==
           std::tie(b.endpoint, b.incarnation.value);
  }
  friend bool operator<(const EndpointCrash& a, const EndpointCrash& b) {
    return std::tie(a.endpoint, a.incarnation.value) <
           std::tie(b.endpoint, b.incarnation.value);
  }
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_ENDPOINT_CRASH_H_
