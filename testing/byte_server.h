// A TCP server for tests that sends whatever bytes a test wants.

#ifndef HARECRANK_TESTING_BYTE_SERVER_H_
#define HARECRANK_TESTING_BYTE_SERVER_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace harecrank::testing {

// One accepted connection.
class ByteConnection {
 public:
  explicit ByteConnection(boost::asio::ip::tcp::socket* socket)
      : socket_(socket) {}

  // Reads the head of a request. Returns false if the peer has closed.
  bool ReadHead();
  // Returns the head that ReadHead has read.
  const std::string& Head() const { return head_; }
  // Returns false if the peer has closed.
  bool Send(const std::string& bytes);
  // Sends `bytes` again and again until the peer closes.
  void SendWithoutEnd(const std::string& bytes);
  // Ends this side of the connection; the other side stays open.
  void EndSending();
  // Closes the connection by a TCP reset.
  void Reset();

 private:
  boost::asio::ip::tcp::socket* socket_;
  std::string received_;
  std::string head_;
};

// Runs a thread for each connection, which is closed when `serve` returns.
// Listens at `address`; the default is a port of 127.0.0.1 that the operating
// system chooses.
class ByteServer {
 public:
  using Serve = std::function<void(ByteConnection& connection)>;

  explicit ByteServer(Serve serve, const std::string& address = "127.0.0.1:0");
  // Closes all connections.
  ~ByteServer();
  ByteServer(const ByteServer&) = delete;
  ByteServer& operator=(const ByteServer&) = delete;

  std::string Address() const;
  // Stops accepting connections; those that are open go on.
  void StopListening();
  // Number of connections whose `serve` has returned.
  int Served() const { return served_.load(); }

 private:
  struct Connection {
    boost::asio::ip::tcp::socket socket;
    std::thread thread;
  };

  void Accept();

  Serve serve_;
  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::string address_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> served_{0};
  std::mutex mutex_;
  std::list<Connection> connections_;
  std::thread accept_thread_;
};

// Returns a server that answers each request with `bytes` and closes.
ByteServer::Serve SendAndClose(const std::string& bytes);

}  // namespace harecrank::testing

#endif  // HARECRANK_TESTING_BYTE_SERVER_H_
