// A server of small answers: readiness, metrics, and what peers ask.

#ifndef HARECRANK_SRC_GATEWAY_SIMPLE_HTTP_SERVER_H_
#define HARECRANK_SRC_GATEWAY_SIMPLE_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "src/gateway/http_client.h"

namespace harecrank {

// An answer. Its body stands in `reply`, or is shared with other answers and
// held until it has gone out.
struct SimpleHttpReply {
  // NOLINTNEXTLINE(google-explicit-constructor): most answers are their own.
  SimpleHttpReply(HttpReply own) : reply(std::move(own)) {}
  SimpleHttpReply(HttpReply head, std::shared_ptr<const std::string> body)
      : reply(std::move(head)), shared_body(std::move(body)) {}

  HttpReply reply;
  std::shared_ptr<const std::string> shared_body;
};

// Answers one request at once.
using SimpleHttpHandler =
    std::function<SimpleHttpReply(const HttpRequest& request)>;

// Makes an answer of `status` with `body`.
HttpReply MakeReply(unsigned status, const std::string& content_type,
                    std::string body);

// Not thread-safe; runs on its io_context.
class SimpleHttpServer {
 public:
  // Throws boost::system::system_error if `address` cannot be had.
  SimpleHttpServer(boost::asio::io_context* io, const std::string& address,
                   SimpleHttpHandler handler);

  void Start();
  void Stop();

 private:
  void Accept();

  boost::asio::io_context* io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::shared_ptr<const SimpleHttpHandler> handler_;
};

// Opens a listening socket. Throws boost::system::system_error if `address`
// cannot be had or is no "IP:PORT".
boost::asio::ip::tcp::acceptor Listen(boost::asio::io_context* io,
                                      const std::string& address);

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_SIMPLE_HTTP_SERVER_H_
