// The account and fingerprint of a request, and its priority.

#ifndef HARECRANK_CORE_REQUEST_ORIGIN_H_
#define HARECRANK_CORE_REQUEST_ORIGIN_H_

#include "harecrank/core/request_fingerprint.h"

namespace harecrank {

// Determines which caller is served first when requests compete for capacity.
struct RequestOrigin {
  // Includes the client account, which is empty on routes that need none.
  RequestFingerprint request;
  // The account's priority, or else that of its route. Zero is the most urgent.
  int priority = 0;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_REQUEST_ORIGIN_H_
