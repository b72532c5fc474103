#include "src/adapters/tcp_endpoint.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace harecrank {

namespace asio = boost::asio;

std::optional<asio::ip::tcp::endpoint> ParseTcpEndpoint(
    const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || text.find('%') != std::string::npos) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(text.substr(0, colon), error);
  std::uint16_t port = 0;
  const char* first = text.data() + colon + 1;
  const char* last = text.data() + text.size();
  const auto [end, number_error] = std::from_chars(first, last, port);
  if (error || number_error != std::errc() || end != last) {
    return std::nullopt;
  }
  return asio::ip::tcp::endpoint(ip, port);
}

}  // namespace harecrank
