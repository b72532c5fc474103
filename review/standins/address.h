// Reads addresses of the form IP:PORT.

#ifndef HARECRANK_REVIEW_STANDINS_ADDRESS_H_
#define HARECRANK_REVIEW_STANDINS_ADDRESS_H_

#include <boost/asio.hpp>
#include <string>

namespace harecrank::review {

// Throws std::exception if `text` is not of the form IP:PORT.
inline boost::asio::ip::tcp::endpoint ParseAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  const auto ip = boost::asio::ip::make_address(text.substr(0, colon));
  const int port = std::stoi(text.substr(colon + 1));
  return {ip, static_cast<std::uint16_t>(port)};
}

}  // namespace harecrank::review

#endif  // HARECRANK_REVIEW_STANDINS_ADDRESS_H_
