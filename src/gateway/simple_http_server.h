// HTTP server for short requests: readiness checks, metrics, and requests of
// other hosts for snapshots.

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

// A reply whose body is either in `reply` or in `shared_body`. A shared body
// may be used by several replies and is kept until it has been sent.
struct SimpleHttpReply {
  // NOLINTNEXTLINE(google-explicit-constructor): the usual case, own body.
  SimpleHttpReply(HttpReply reply_with_body)
      : reply(std::move(reply_with_body)) {}
  SimpleHttpReply(HttpReply head, std::shared_ptr<const std::string> body)
      : reply(std::move(head)), shared_body(std::move(body)) {}

  HttpReply reply;
  std::shared_ptr<const std::string> shared_body;
};

// Returns the reply to a request; must not block.
using SimpleHttpHandler =
    std::function<SimpleHttpReply(const HttpRequest& request)>;

// Returns a reply with the given status, content type and body.
HttpReply MakeReply(unsigned status, const std::string& content_type,
                    std::string body);

// Accepts HTTP connections and answers each request with the result of a
// handler. Not thread-safe; runs on its io_context.
class SimpleHttpServer {
 public:
  // Throws boost::system::system_error if `address` cannot be bound.
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
// cannot be bound or is not of the form "IP:PORT".
boost::asio::ip::tcp::acceptor Listen(boost::asio::io_context* io,
                                      const std::string& address);

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_SIMPLE_HTTP_SERVER_H_
