// Answers that the gateway gives itself.

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
  // Names the cause for callers and logs.
  std::string code;
  // When the caller may come again; unset where that would bring nothing.
  std::optional<Millis> retry_after;
  // Whether the request has not run and never will. Otherwise nothing is
  // promised.
  bool not_run = false;
};

// Returns the head of `answer` to the request called `request_id`.
ResponseHead HeadOf(const GatewayResponse& answer, const ProtocolNames& names,
                    const std::string& request_id);

// Returns its body, a JSON object.
std::string BodyOf(const GatewayResponse& answer);

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_GATEWAY_RESPONSE_H_
