// Responses that the gateway itself generates.

#ifndef HARECRANK_SRC_GATEWAY_GATEWAY_RESPONSE_H_
#define HARECRANK_SRC_GATEWAY_GATEWAY_RESPONSE_H_

#include <optional>
#include <string>

#include "harecrank/core/strong_types.h"
#include "src/gateway/protocol_names.h"
#include "src/gateway/response_sink.h"

namespace harecrank {

struct GatewayResponse {
  unsigned status = 0;
  // Error code for callers and logs.
  std::string code;
  // Time after which the caller may retry; unset if a retry would not succeed.
  std::optional<Millis> retry_after;
  // True if the request has not run and will not run. If false, it may have
  // run.
  bool not_run = false;
};

// Returns the head of `response` to the request with id `request_id`.
ResponseHead HeadOf(const GatewayResponse& response, const ProtocolNames& names,
                    const std::string& request_id);

// Returns the body of `response`, a JSON object.
std::string BodyOf(const GatewayResponse& response);

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_GATEWAY_RESPONSE_H_
