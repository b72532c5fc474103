// The account and fingerprint of a request, and its priority.

#ifndef HARECRANK_CORE_REQUEST_ORIGIN_H_
#define HARECRANK_CORE_REQUEST_ORIGIN_H_

#include "harecrank/core/request_fingerprint.h"

namespace harecrank {

// Identifies a request, its client account and its priority. Determines which
// request is served first when requests compete for capacity.
struct RequestOrigin {
  // Includes the client account, which is empty on routes that need no API key.
  RequestFingerprint request;
  // Priority of the account, or of the route if the account has none. Zero is
  // the most urgent.
  int priority = 0;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_REQUEST_ORIGIN_H_
