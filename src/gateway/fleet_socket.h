// UDP socket for the messages between the hosts of a fleet.

#ifndef HARECRANK_SRC_GATEWAY_FLEET_SOCKET_H_
#define HARECRANK_SRC_GATEWAY_FLEET_SOCKET_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string>
#include <vector>

#include "harecrank/core/fleet_messages.h"
#include "src/adapters/metrics.h"

namespace harecrank {

// Sends and receives fleet messages. Lost messages are not resent by this
// class; the sender of each type of message recovers from a loss in its own
// way. Not thread-safe.
class FleetSocket {
 public:
  using OnMessage = std::function<void(const FleetMessage& message)>;

  // Throws boost::system::system_error if `address` cannot be bound. All hosts
  // use the same port.
  FleetSocket(boost::asio::io_context* io, const std::string& address,
              Metrics* metrics);

  // Calls `on_message` for each message for the lifetime of this object.
  void Start(OnMessage on_message);

  void Send(const HostAddress& to, const FleetMessage& message);

  // Sends `message` to each of `hosts`; encodes it once. Returns the size of
  // the datagram in bytes.
  std::size_t SendToAll(const std::vector<HostAddress>& hosts,
                        const FleetMessage& message);

 private:
  void SendBytes(const HostAddress& to, const std::string& bytes);
  void Receive();
  void OnDatagram(std::size_t size);

  // Largest datagram of UDP over IPv4, in bytes.
  static constexpr std::size_t kMaxDatagramBytes = 65507;

  boost::asio::ip::udp::socket socket_;
  std::uint16_t port_;
  Metrics* metrics_;
  OnMessage on_message_;
  std::string receive_buffer_;
  boost::asio::ip::udp::endpoint sender_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_FLEET_SOCKET_H_
