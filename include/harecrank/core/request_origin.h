// Whose a request is, and what tells that it has come before.

#ifndef HARECRANK_CORE_REQUEST_ORIGIN_H_
#define HARECRANK_CORE_REQUEST_ORIGIN_H_

#include "harecrank/core/request_fingerprint.h"

namespace harecrank {

// Decisions between callers that compete for room go by this.
struct RequestOrigin {
  // Names the client account too; the account is empty where none is needed.
  RequestFingerprint request;
  // Zero is the most urgent. The account's, or else its route's.
  int priority = 0;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_REQUEST_ORIGIN_H_
