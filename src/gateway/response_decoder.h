// Decodes the heads of endpoints' HTTP responses.

#ifndef HARECRANK_SRC_GATEWAY_RESPONSE_DECODER_H_
#define HARECRANK_SRC_GATEWAY_RESPONSE_DECODER_H_

#include <string_view>

#include "harecrank/core/endpoint_response.h"
#include "src/gateway/protocol_names.h"
#include "src/gateway/response_sink.h"

namespace harecrank {

// Decodes `head`. This is the only function that reads the headers in which
// endpoints report their own state; docs/design/endpoint-answers.md lists them.
EndpointResponse DecodeResponse(const ResponseHead& head,
                                const ProtocolNames& names);

// Parses the value of a Retry-After header: seconds, with or without a
// fraction, or an HTTP date. A date is converted to the time after
// `response_date`, the Date header of the same response, since the wall clock
// of this host may jump.
BackoffHint ParseRetryAfter(std::string_view text,
                            std::string_view response_date);

// Parses the header in which an endpoint announces that it is about to shut
// down.
LeavingHint ParseLeavingHint(std::string_view text);

// Maximum back-off. Longer ones are reduced to this value.
constexpr Millis kMaxBackoff = std::chrono::hours(24);

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_RESPONSE_DECODER_H_
