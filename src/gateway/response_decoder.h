// Reads the heads of endpoints' answers.

#ifndef HARECRANK_SRC_GATEWAY_RESPONSE_DECODER_H_
#define HARECRANK_SRC_GATEWAY_RESPONSE_DECODER_H_

#include <string_view>

#include "harecrank/core/endpoint_response.h"
#include "src/gateway/protocol_names.h"
#include "src/gateway/response_sink.h"

namespace harecrank {

// Returns what `head` says. All that endpoints may say of themselves there is
// read here and nowhere else; docs/design/endpoint-answers.md lists it.
EndpointResponse DecodeResponse(const ResponseHead& head,
                                const ProtocolNames& names);

// Reads the time for which an endpoint wants nothing, as HTTP has it: seconds,
// with a fraction if it likes, or a date. A date counts from `answered`, the
// date of the answer itself: hosts' own time of day may jump.
BackoffHint ParseRetryAfter(std::string_view text,
                            std::string_view response_date);

// Reads whether an endpoint says that it is about to end.
LeavingHint ParseLeavingHint(std::string_view text);

// A longer rest counts as this long.
constexpr Millis kMaxBackoff = std::chrono::hours(24);

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_RESPONSE_DECODER_H_
