// Options of every TCP connection of the gateway.

#ifndef HARECRANK_SRC_GATEWAY_SOCKET_OPTIONS_H_
#define HARECRANK_SRC_GATEWAY_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

#include "harecrank/core/strong_types.h"

namespace harecrank {

// How long bytes may stay unacknowledged before the connection counts as lost.
// A peer that lost power or is cut off says nothing; without this a write to it
// hangs for minutes.
constexpr Millis kUnacknowledgedLimit{4000};

// Sets them, as far as the system takes them.
void SetConnectionOptions(boost::asio::ip::tcp::socket* socket);

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_SOCKET_OPTIONS_H_
