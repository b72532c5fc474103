// Admission of callers' requests: routing, authentication and choice of the
// service.

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

// A response to a request that is sent to no endpoint.
struct Rejection {
  unsigned status = 0;
  std::string code;
  // Time after which the caller may send the request again; set only if the
  // request has not run.
  std::optional<Millis> retry_after;
};

// The properties of a request that are determined before its placement. If the
// request is rejected, only those that were determined until then are set.
struct AdmittedRequest {
  // Owns the objects that `route`, `account` and `service` point to.
  std::shared_ptr<const RoutingTable> table;
  const RouteRule* route = nullptr;
  const AccountEntry* account = nullptr;
  const ServiceProfile* service = nullptr;
  // The caller's key must not be forwarded to the endpoint.
  bool strip_key = false;
  TimePoint deadline{};
  PlacementRequest placement;
  std::optional<Rejection> rejection;
};

// Retry-After of a rejected request: about the time that short requests take.
// Callers wait at most a third of their remaining time.
inline constexpr Millis kRetryAfterRejection{500};
// Retry-After of a request that is rejected because this host is shutting down.
// The caller reaches another host, so it can retry almost at once.
inline constexpr Millis kRetryElsewhere{50};

// Checks `request` against the routing table in force. `arrived` is the time at
// which the request's header was complete.
AdmittedRequest Admit(const GatewayServices& services,
                      const CallerRequest& request, TimePoint arrived);

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_ADMISSION_H_
