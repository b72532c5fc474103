#include "src/gateway/socket_options.h"

#include <netinet/tcp.h>

namespace harecrank {

namespace {

void SetOptions(boost::asio::ip::tcp::socket* socket, Millis unacknowledged) {
  using UserTimeout =
      boost::asio::detail::socket_option::integer<IPPROTO_TCP,
                                                  TCP_USER_TIMEOUT>;
  // An option that the system does not support delays the detection of faults
  // but does not affect correctness.
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
  // Where TCP_USER_TIMEOUT is set, it also limits the wait for unanswered
  // keepalive probes.
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

}  // namespace harecrank
