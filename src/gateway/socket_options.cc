#include "src/gateway/socket_options.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

namespace harecrank {

namespace {

void SetOptions(boost::asio::ip::tcp::socket* socket, Millis unacknowledged) {
  using UserTimeout =
      boost::asio::detail::socket_option::integer<IPPROTO_TCP,
                                                  TCP_USER_TIMEOUT>;
  // Errors are ignored: if the system does not support an option, faults are
  // detected later, but correctness is not affected.
  boost::system::error_code ignored;
  socket->set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket->set_option(UserTimeout(static_cast<int>(unacknowledged.count())),
                     ignored);
}

}  // namespace

void SetConnectionOptions(boost::asio::ip::tcp::socket* socket) {
  SetOptions(socket, kUnacknowledgedTimeout);
}

void SetEndpointOptions(boost::asio::ip::tcp::socket* socket) {
  // On systems with TCP_USER_TIMEOUT, that option also determines how long
  // keepalive probes may stay unanswered, so it is set to kKeepaliveTimeout.
  SetOptions(socket, kKeepaliveTimeout);
  using Idle =
      boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
  using Interval =
      boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
  using Count =
      boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
  boost::system::error_code ignored;
  socket->set_option(boost::asio::socket_base::keep_alive(true), ignored);
  socket->set_option(Idle(kProbeIntervalSeconds), ignored);
  socket->set_option(Interval(kProbeIntervalSeconds), ignored);
  socket->set_option(Count(kUnansweredProbes), ignored);
}

bool IsQuiet(boost::asio::ip::tcp::socket* socket) {
  char byte = 0;
  const ssize_t received =
      ::recv(socket->native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace harecrank
