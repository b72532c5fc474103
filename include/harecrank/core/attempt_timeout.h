// Time-outs after which a request is sent to another endpoint.
//
// Endpoints may stop responding, be slow, or stall because a helper (another
// endpoint that prefills a part of the prompt for them) has died. The request
// must move to another endpoint before the caller gives up on a silent stream.

#ifndef HARECRANK_CORE_ATTEMPT_TIMEOUT_H_
#define HARECRANK_CORE_ATTEMPT_TIMEOUT_H_

#include "harecrank/core/clock.h"
#include "harecrank/core/engine_estimate.h"
#include "harecrank/core/routing_table.h"

namespace harecrank {

// The progress of one attempt of a request.
struct AttemptProgress {
  TimePoint sent_at{};
  TimePoint last_bytes_at{};
  // Predicted time from sending to the first event.
  FractionalMillis predicted{0};
  // Other endpoints prefill parts of the prompt.
  bool has_helpers = false;
  bool first_event_seen = false;
  // Bytes of other requests have arrived from the endpoint since
  // `last_bytes_at`.
  bool endpoint_is_alive = false;
  // Engines have a standing by their groups (PlacementPolicy::group_pace).
  bool judges_groups = false;
};

// Returns when the response to a request on `route` becomes overdue. A stream
// is overdue when it has been silent for too long since its last bytes. Any
// other response is overdue when too much time has passed since the request was
// sent.
TimePoint OverdueAt(const RouteRule& route, const AttemptProgress& progress);

// Returns when the first event of an attempt with helpers is overdue by far, so
// that one of its engines must be slow or silent. The attempt may go on.
TimePoint GroupTroubleAt(const AttemptProgress& progress);

// Returns the longest silence of a stream on `route` after which another
// endpoint can still resume it before the caller gives up.
Millis UsableCallerTimeout(const RouteRule& route);

}  // namespace harecrank

#endif  // HARECRANK_CORE_ATTEMPT_TIMEOUT_H_
