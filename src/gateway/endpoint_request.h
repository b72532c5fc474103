// Builds the head of the request that is sent to an endpoint, and parses
// headers of callers' requests.

#ifndef HARECRANK_SRC_GATEWAY_ENDPOINT_REQUEST_H_
#define HARECRANK_SRC_GATEWAY_ENDPOINT_REQUEST_H_

#include <optional>
#include <string>
#include <string_view>

#include "harecrank/core/strong_types.h"
#include "src/gateway/caller_session.h"
#include "src/gateway/protocol_names.h"

namespace harecrank {

// Values of the headers that the gateway sets in or removes from a caller's
// request.
struct HeadChanges {
  Millis time_left{0};
  EndpointId endpoint;
  // Client account that is sent to the endpoint; absent if none is sent.
  std::optional<AccountId> account;
  // Whether the caller's key is removed instead of forwarded to the endpoint.
  bool strip_key = false;
  // Urgency of the request, from 0 (most urgent) to 9. Absent if the endpoint's
  // own default applies.
  std::optional<int> urgency;
  // Addresses of the endpoints that process parts of the prompt, separated by
  // commas, each followed by a slash and its memory ticket if memory is
  // reserved there. Empty if there are none.
  std::string helpers;
  // Id of the event after which the stream is to resume. If empty, the
  // corresponding header of the caller is forwarded unchanged.
  std::string resume_after;
  std::size_t body_bytes = 0;
};

// Returns the head for the endpoint, including the empty line that ends it.
// Headers that concern only the caller's connection and headers that only the
// gateway may set are dropped from the caller's request.
std::string EndpointHead(const CallerRequest& request,
                         const ProtocolNames& names,
                         const HeadChanges& changes);

// Parses the integer at the start of `text`, after spaces. Text after the
// integer is ignored. Returns nothing if there is no integer.
std::optional<std::int64_t> ParseInteger(std::string_view text);

// Returns KEY of "Authorization: Bearer KEY", or an empty string.
std::string BearerKey(std::string_view authorization);

// Returns a request's target without its query.
std::string_view PathOf(std::string_view target);

// Converts a Beast string view to one of the standard library.
inline std::string_view View(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_ENDPOINT_REQUEST_H_
