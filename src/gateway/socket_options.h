// Options of the gateway's TCP connections.

#ifndef HARECRANK_SRC_GATEWAY_SOCKET_OPTIONS_H_
#define HARECRANK_SRC_GATEWAY_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>
#include <optional>

#include "harecrank/core/send_state.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// How long sent bytes may stay unacknowledged before the connection is
// considered lost. A peer that has lost power or network access sends no error;
// without this limit a write to it would take minutes to fail.
constexpr Millis kUnacknowledgedTimeout{4000};

// Sets the options of a connection to a caller. Options that the system does
// not support are ignored.
void SetConnectionOptions(boost::asio::ip::tcp::socket* socket);

// Sets the options of a connection to an endpoint, and enables TCP keepalive.
// An endpoint that sends nothing may be busy with the prefill of a long prompt
// or may have lost power; the keepalive probes distinguish the two. A
// connection whose keepalive probes are not answered is closed within
// kKeepaliveTimeout, well before the time at which other engines must have
// freed the memory that they have reserved for its request.
void SetEndpointOptions(boost::asio::ip::tcp::socket* socket);

// Sets whether the time limit for bytes that nobody acknowledges applies to a
// connection to an endpoint. The system also applies it while the endpoint
// reads nothing, although it acknowledges each probe of its closed window.
void LimitUnacknowledged(boost::asio::ip::tcp::socket* socket, bool is_limited);

// Returns the state of the bytes that were written to `socket`, or nothing if
// the system does not tell it.
std::optional<SendState> ReadSendState(boost::asio::ip::tcp::socket* socket);

// Returns whether there is nothing to read from `socket`: neither bytes nor the
// end of the connection. Between two requests, a usable connection is quiet.
bool IsQuiet(boost::asio::ip::tcp::socket* socket);

// Idle time before the first keepalive probe, and interval between probes.
constexpr int kProbeIntervalSeconds = 1;
// Number of unanswered probes after which the connection is closed; a single
// probe may be lost.
constexpr int kUnansweredProbes = 2;
// Time after which a connection to an endpoint that has lost power or network
// access is closed.
constexpr Millis kKeepaliveTimeout{1000 * kProbeIntervalSeconds *
                                   (1 + kUnansweredProbes)};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_SOCKET_OPTIONS_H_
