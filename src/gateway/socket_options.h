// Options of every TCP connection of the gateway.

#ifndef HARECRANK_SRC_GATEWAY_SOCKET_OPTIONS_H_
#define HARECRANK_SRC_GATEWAY_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

#include "harecrank/core/strong_types.h"

namespace harecrank {

// How long bytes may stay unacknowledged before the connection counts as lost.
// A peer that lost power or is cut off says nothing; without this a write to it
// hangs for minutes.
constexpr Millis kUnacknowledgedTimeout{4000};

// Sets them, as far as the system takes them.
void SetConnectionOptions(boost::asio::ip::tcp::socket* socket);

// The same for a connection to an endpoint, and asks the peer's host now and
// then whether it is there: an endpoint that is silent may be reading a long
// prompt, or may have lost power. One that does not answer is given up within
// kKeepaliveTimeout, well before memory that other engines hold for its request
// must be free again.
void SetEndpointOptions(boost::asio::ip::tcp::socket* socket);

// When the first question is asked, and how long after it the next.
constexpr int kProbeIntervalSeconds = 1;
// How many stay unanswered: one may be lost on the way.
constexpr int kUnansweredProbes = 2;
constexpr Millis kKeepaliveTimeout{1000 * kProbeIntervalSeconds *
                                   (1 + kUnansweredProbes)};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_SOCKET_OPTIONS_H_
