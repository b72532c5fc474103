#include "src/gateway/socket_options.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cerrno>

namespace harecrank {

namespace {

using UserTimeout =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

void SetOptions(boost::asio::ip::tcp::socket* socket, Millis unacknowledged) {
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

void LimitUnacknowledged(boost::asio::ip::tcp::socket* socket,
                         bool is_limited) {
  const Millis limit = is_limited ? kKeepaliveTimeout : Millis(0);
  boost::system::error_code ignored;
  socket->set_option(UserTimeout(static_cast<int>(limit.count())), ignored);
}

std::optional<SendState> ReadSendState(boost::asio::ip::tcp::socket* socket) {
  const int descriptor = socket->native_handle();
  tcp_info info{};
  socklen_t size = sizeof(info);
  int unsent = 0;
  if (::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
      ::ioctl(descriptor, SIOCOUTQNSD, &unsent) != 0) {
    return std::nullopt;
  }
  SendState state;
  state.in_flight = info.tcpi_unacked;
  state.unsent_bytes = static_cast<std::uint32_t>(unsent);
  state.unanswered_probes = info.tcpi_probes;
  state.since_acknowledged = Millis(info.tcpi_last_ack_recv);
  return state;
}

bool IsQuiet(boost::asio::ip::tcp::socket* socket) {
  char byte = 0;
  const ssize_t received =
      ::recv(socket->native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace harecrank
