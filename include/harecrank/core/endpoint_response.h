// What the head of an endpoint's answer says: of the request, and of the
// endpoint itself.

#ifndef HARECRANK_CORE_ENDPOINT_RESPONSE_H_
#define HARECRANK_CORE_ENDPOINT_RESPONSE_H_

#include <string>
#include <variant>

#include "harecrank/core/endpoint_rate_limits.h"
#include "harecrank/core/http_status.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// What a refusal says of when this host may come again.
struct NoBackoff {};
// It names a time that cannot be read.
struct UnreadableBackoff {};
using BackoffHint = std::variant<NoBackoff, Millis, UnreadableBackoff>;

// Whether the endpoint says that it is about to end.
enum class LeavingHint {
  kNone,
  kLeaving,
  // It says something else in that place: it is taken to leave, since more work
  // would be lost there.
  kUnreadable
};

struct EndpointResponse {
  unsigned status = 0;
  // Marked as the endpoint's own, so that callers can check the body.
  bool is_signed = false;
  // It did not run the request and will not.
  bool not_run = false;
  // The endpoint, by id or address, that is at fault where it is not the one
  // that answers; empty if none is named.
  std::string at_fault;
  // How many requests a second it takes from all hosts together.
  RateLimitHint limit;
  // How long it wants nothing from this host. Refusals alone say that.
  BackoffHint backoff;
  // Holds until the endpoint starts anew.
  LeavingHint leaving = LeavingHint::kNone;

  bool IsSuccess() const { return status / 100 == 2; }
  // Another endpoint has answered than the one that was meant: it says nothing
  // of that one.
  bool IsMisdirected() const { return status == http_status::kMisdirected; }
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_ENDPOINT_RESPONSE_H_
