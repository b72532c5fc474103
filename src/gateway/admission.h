// Decides whether a caller's request is admitted: finds its route,
// authenticates the caller and chooses the service.

#ifndef HARECRANK_SRC_GATEWAY_ADMISSION_H_
#define HARECRANK_SRC_GATEWAY_ADMISSION_H_

#include <memory>
#include <optional>
#include <string>

#include "harecrank/core/placement.h"
#include "harecrank/core/routing_table.h"
#include "src/gateway/caller_session.h"
#include "src/gateway/gateway_services.h"

namespace harecrank {

// The error response to a request that the gateway rejects without sending it
// to an endpoint.
struct Rejection {
  unsigned status = 0;
  std::string code;
  // Time after which the caller may send the request again; set only if the
  // request has not run.
  std::optional<Millis> retry_after;
};

// The result of Admit: what is known of a request before an endpoint is chosen
// for it. If the request is rejected, only the properties found before the
// rejecting check are set.
struct AdmittedRequest {
  // The routing table that owns the objects to which `route`, `account` and
  // `service` point.
  std::shared_ptr<const RoutingTable> table;
  const RouteRule* route = nullptr;
  const AccountEntry* account = nullptr;
  const ServiceProfile* service = nullptr;
  // Whether the caller's key must be removed from the request before it is sent
  // to an endpoint.
  bool strip_key = false;
  TimePoint deadline{};
  PlacementRequest placement;
  std::optional<Rejection> rejection;
};

// Retry-After of a request that is rejected because there is no configuration
// or no service for it, and minimum Retry-After of a request that is given up
// before an endpoint has run it. About the time that short requests take.
// Callers honour a Retry-After of up to a third of their remaining time.
inline constexpr Millis kRetryAfterRejection{500};
// Retry-After of a request that is rejected because this host is shutting down.
// The caller's retry reaches another host, so it need not wait.
inline constexpr Millis kRetryElsewhere{50};

// Checks `request` against the active routing table. `arrived` is the time at
// which the request's header was complete.
AdmittedRequest Admit(const GatewayServices& services,
                      const CallerRequest& request, TimePoint arrived);

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_ADMISSION_H_
