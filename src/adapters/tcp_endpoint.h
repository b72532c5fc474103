// Parses the addresses of processes.

#ifndef HARECRANK_SRC_ADAPTERS_TCP_ENDPOINT_H_
#define HARECRANK_SRC_ADAPTERS_TCP_ENDPOINT_H_

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

namespace harecrank {

// Parses "IP:PORT". Returns nothing if `text` is not such an address. Scopes of
// IPv6 addresses, which may be any text, are not taken.
std::optional<boost::asio::ip::tcp::endpoint> ParseTcpEndpoint(
    const std::string& text);

}  // namespace harecrank

#endif  // HARECRANK_SRC_ADAPTERS_TCP_ENDPOINT_H_
