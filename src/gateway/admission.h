// Whether a caller's request may be served, and by which service.

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

// A caller's request that is answered without an endpoint.
struct Rejection {
  unsigned status = 0;
  std::string code;
  // Set where the request has not run and may be sent again after this.
  std::optional<Millis> retry_after;
};

// What is known of a request before it is placed. Of a refused one, as much as
// was found out.
struct AdmittedRequest {
  // Keeps what the pointers point to.
  std::shared_ptr<const RoutingTable> table;
  const RouteRule* route = nullptr;
  const AccountEntry* account = nullptr;
  const ServiceProfile* service = nullptr;
  // The caller's key is not for the endpoint.
  bool strip_key = false;
  TimePoint deadline{};
  PlacementRequest placement;
  std::optional<Rejection> refusal;
};

// A caller that was refused comes back after about as long as short requests
// take; it waits at most a third of what it has left.
inline constexpr Millis kRetryAfterRejection{500};
// A caller of a host that stops goes to another one, at once.
inline constexpr Millis kRetryElsewhere{50};

// Judges `request` by the routing table in force.
AdmittedRequest Admit(const GatewayServices& services,
                      const CallerRequest& request, TimePoint arrived);

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_ADMISSION_H_
