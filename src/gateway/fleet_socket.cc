#include "src/gateway/fleet_socket.h"

#include <boost/asio/buffer.hpp>
#include <utility>

#include "src/gateway/http_client.h"

namespace harecrank {
namespace {

namespace asio = boost::asio;

asio::ip::udp::endpoint UdpEndpoint(const std::string& address) {
  const auto endpoint = ParseTcpEndpoint(address);
  if (!endpoint.has_value()) {
    throw boost::system::system_error(
        asio::error::invalid_argument,
        "'" + address + "' is not of the form IP:PORT");
  }
  return {endpoint->address(), endpoint->port()};
}

}  // namespace

FleetSocket::FleetSocket(asio::io_context* io, const std::string& address,
                         Metrics* metrics)
    : socket_(*io, UdpEndpoint(address)),
      port_(socket_.local_endpoint().port()),
      metrics_(metrics) {
  // Non-blocking, so that a full send buffer drops datagrams instead of
  // blocking the event loop. Errors are expected, too: sending to a host that
  // has stopped causes ICMP errors.
  socket_.non_blocking(true);
}

void FleetSocket::Start(OnMessage on_message) {
  on_message_ = std::move(on_message);
  receive_buffer_.resize(kMaxDatagramBytes);
  Receive();
}

void FleetSocket::Receive() {
  socket_.async_receive_from(
      asio::buffer(receive_buffer_), sender_,
      [this](boost::system::error_code error, std::size_t size) {
        if (error == asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          OnDatagram(size);
        }
        Receive();
      });
}

void FleetSocket::OnDatagram(std::size_t size) {
  const auto message = DecodeFleetMessage(receive_buffer_.substr(0, size));
  if (!message.has_value()) {
    metrics_->GetCounter("harecrank_gateway_bad_fleet_messages_total")->Add();
    return;
  }
  on_message_(*message);
}

void FleetSocket::Send(const HostAddress& to, const FleetMessage& message) {
  SendBytes(to, EncodeFleetMessage(message));
}

std::size_t FleetSocket::SendToAll(const std::vector<HostAddress>& hosts,
                                   const FleetMessage& message) {
  const std::string bytes = EncodeFleetMessage(message);
  for (const HostAddress& host : hosts) {
    SendBytes(host, bytes);
  }
  return bytes.size();
}

void FleetSocket::SendBytes(const HostAddress& to, const std::string& bytes) {
  const auto target = ParseTcpEndpoint(to.value);
  if (!target.has_value()) {
    metrics_->GetCounter("harecrank_gateway_bad_host_addresses_total")->Add();
    return;
  }
  boost::system::error_code error;
  socket_.send_to(asio::buffer(bytes), {target->address(), port_}, 0, error);
  if (error) {
    // Failed sends are counted but not logged, since they recur with each
    // heartbeat to a host that has stopped.
    metrics_->GetCounter("harecrank_gateway_unsent_fleet_messages_total")
        ->Add();
  }
}

}  // namespace harecrank
