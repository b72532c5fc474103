// What the head of an endpoint's response says about the request and about the
// endpoint itself.

#ifndef HARECRANK_CORE_ENDPOINT_RESPONSE_H_
#define HARECRANK_CORE_ENDPOINT_RESPONSE_H_

#include <string>
#include <variant>

#include "harecrank/core/endpoint_rate_limits.h"
#include "harecrank/core/http_status.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

struct NoBackoff {};
// The value in the response is not a valid time.
struct UnreadableBackoff {};
// How long this host must not send requests to the endpoint, as stated in a
// rejection.
using BackoffHint = std::variant<NoBackoff, Millis, UnreadableBackoff>;

// Whether the endpoint announces that it is about to shut down.
enum class LeavingHint {
  kNone,
  kLeaving,
  // The value is not valid. Treated as kLeaving, since further requests could
  // be lost.
  kUnreadable
};

// The decoded head of a response.
struct EndpointResponse {
  unsigned status = 0;
  // The response carries the endpoint's own signature header, so callers can
  // verify its body.
  bool is_signed = false;
  // The body has a Content-Encoding.
  bool is_encoded = false;
  // The body is a stream of events.
  bool is_event_stream = false;
  // The endpoint has not run the request and will not.
  bool not_run = false;
  // Id or address of the endpoint that caused the failure, if that is not the
  // responding endpoint; empty otherwise.
  std::string at_fault;
  // Requests per second that the endpoint accepts from all hosts together.
  RateLimitHint limit;
  // How long this host must not send requests to the endpoint. Set only in
  // rejections.
  BackoffHint backoff;
  // Whether the endpoint announces its shutdown. Remains valid until the
  // endpoint restarts.
  LeavingHint leaving = LeavingHint::kNone;

  bool IsSuccess() const { return status / 100 == 2; }
  // Another endpoint than the intended one has responded, so the response says
  // nothing about the intended one.
  bool IsMisdirected() const { return status == http_status::kMisdirected; }
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_ENDPOINT_RESPONSE_H_
