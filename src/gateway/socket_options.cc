#include "src/gateway/socket_options.h"

#include <netinet/tcp.h>

namespace harecrank {

void SetConnectionOptions(boost::asio::ip::tcp::socket* socket) {
  using UserTimeout =
      boost::asio::detail::socket_option::integer<IPPROTO_TCP,
                                                  TCP_USER_TIMEOUT>;
  // An option that is not taken costs time under faults, never an answer.
  boost::system::error_code ignored;
  socket->set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket->set_option(
      UserTimeout(static_cast<int>(kUnacknowledgedLimit.count())), ignored);
}

}  // namespace harecrank
