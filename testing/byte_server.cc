#include "testing/byte_server.h"

#include <sys/socket.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <sstream>
#include <utility>

namespace harecrank::testing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

tcp::endpoint ParseAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

}  // namespace

bool ByteConnection::ReadHead() {
  boost::system::error_code error;
  const std::size_t size = asio::read_until(
      *socket_, asio::dynamic_buffer(received_), "\r\n\r\n", error);
  head_ = received_.substr(0, size);
  received_.erase(0, size);
  return !error;
}

bool ByteConnection::Send(const std::string& bytes) {
  boost::system::error_code error;
  asio::write(*socket_, asio::buffer(bytes), error);
  return !error;
}

void ByteConnection::SendWithoutEnd(const std::string& bytes) {
  while (Send(bytes)) {
  }
}

void ByteConnection::EndSending() {
  boost::system::error_code ignored;
  socket_->shutdown(tcp::socket::shutdown_send, ignored);
}

void ByteConnection::Reset() {
  boost::system::error_code ignored;
  socket_->set_option(asio::socket_base::linger(true, 0), ignored);
  socket_->close(ignored);
}

ByteServer::ByteServer(Serve serve, const std::string& address)
    : serve_(std::move(serve)), acceptor_(io_, ParseAddress(address)) {
  std::ostringstream text;
  text << acceptor_.local_endpoint();
  address_ = text.str();
  accept_thread_ = std::thread([this] { Accept(); });
}

ByteServer::~ByteServer() {
  StopListening();
  accept_thread_.join();
  for (Connection& connection : connections_) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      boost::system::error_code ignored;
      connection.socket.shutdown(tcp::socket::shutdown_both, ignored);
    }
    connection.thread.join();
  }
}

std::string ByteServer::Address() const { return address_; }

void ByteServer::StopListening() {
  stopping_ = true;
  // Unlike closing the socket, this also wakes the accepting thread.
  ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
}

void ByteServer::Accept() {
  while (!stopping_) {
    boost::system::error_code error;
    tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (error || stopping_) {
      return;
    }
    connections_.push_back(Connection{std::move(socket), {}});
    Connection& connection = connections_.back();
    connection.thread = std::thread([this, &connection] {
      ByteConnection bytes(&connection.socket);
      serve_(bytes);
      ++served_;
      const std::lock_guard<std::mutex> lock(mutex_);
      boost::system::error_code ignored;
      connection.socket.close(ignored);
    });
  }
}

ByteServer::Serve SendAndClose(const std::string& bytes) {
  return [bytes](ByteConnection& connection) {
    if (connection.ReadHead()) {
      connection.Send(bytes);
    }
  };
}

}  // namespace harecrank::testing
