// What a caller's request becomes on its way to an endpoint.

#ifndef HARECRANK_SRC_GATEWAY_ENDPOINT_REQUEST_H_
#define HARECRANK_SRC_GATEWAY_ENDPOINT_REQUEST_H_

#include <optional>
#include <string>
#include <string_view>

#include "harecrank/core/strong_types.h"
#include "src/gateway/caller_session.h"
#include "src/gateway/protocol_names.h"

namespace harecrank {

// What the gateway adds to a caller's head, and what it takes out.
struct HeadChanges {
  Millis time_left{0};
  EndpointId endpoint;
  // Absent: no account is named.
  std::optional<AccountId> account;
  // The caller's key is not shown to the endpoint.
  bool strip_key = false;
  // 0 to 9; absent: the endpoint's own default.
  std::optional<int> urgency;
  // Others that read parts of the prompt; empty if there are none.
  std::string helpers;
  // A stream goes on after this event; empty: as the caller asked.
  std::string resume_after;
  std::size_t body_bytes = 0;
};

// Returns the head for the endpoint, with the empty line that ends it. All that
// concerns the caller's connection only, or that only the gateway may say, is
// left out of the caller's headers.
std::string EndpointHead(const CallerRequest& request,
                         const ProtocolNames& names,
                         const HeadChanges& changes);

// Reads a whole number at the start of `text`, after spaces.
std::optional<std::int64_t> ParseInteger(std::string_view text);

// Returns the key of an "Authorization: Bearer KEY", or empty.
std::string BearerKey(std::string_view authorization);

// Returns a request's target without its query.
std::string_view PathOf(std::string_view target);

// Returns the same text as the standard library's view.
inline std::string_view View(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_ENDPOINT_REQUEST_H_
