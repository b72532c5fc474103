// How long an answer is waited for before the request goes to another endpoint.
//
// The load that it answers: endpoints that fall silent, are slow, or stand
// still since a helper has died, before callers who give a silent stream up.

#ifndef HARECRANK_CORE_ATTEMPT_TIMEOUT_H_
#define HARECRANK_CORE_ATTEMPT_TIMEOUT_H_

#include "harecrank/core/clock.h"
#include "harecrank/core/engine_estimate.h"
#include "harecrank/core/routing_table.h"

namespace harecrank {

// How far one sending of a request has come.
struct AttemptProgress {
  TimePoint sent_at{};
  TimePoint last_bytes_at{};
  // Until the first event, as predicted.
  FractionalMillis predicted{0};
  bool has_helpers = false;
  bool first_event_seen = false;
  // Other requests have heard from the endpoint since.
  bool endpoint_is_alive = false;
};

// Returns from when on the answer to a request on `route` is overdue.
TimePoint OverdueAt(const RouteRule& route, const AttemptProgress& progress);

// Returns how much of a caller's patience with a silent stream on `route` may
// be used before a resumption could come too late.
Millis UsableCallerTimeout(const RouteRule& route);

}  // namespace harecrank

#endif  // HARECRANK_CORE_ATTEMPT_TIMEOUT_H_
