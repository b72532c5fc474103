// HTTP server for short requests: readiness checks, metrics, and requests of
// other hosts for snapshots.

#ifndef HARECRANK_SRC_GATEWAY_SIMPLE_HTTP_SERVER_H_
#define HARECRANK_SRC_GATEWAY_SIMPLE_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <utility>

#include "src/adapters/metrics.h"
#include "src/gateway/http_client.h"
#include "src/gateway/timer.h"

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

class SimpleHttpSession;

// Accepts HTTP connections and answers each request with the result of a
// handler. If all connections are in use, a new one takes the place of the one
// that has been idle for longest. Not thread-safe; runs on its io_context.
class SimpleHttpServer {
 public:
  // Throws boost::system::system_error if `address` cannot be bound. `name` is
  // that of the port in metrics. `metrics` must outlive this.
  SimpleHttpServer(boost::asio::io_context* io, const std::string& address,
                   std::string name, std::size_t max_connections,
                   SimpleHttpHandler handler, Metrics* metrics);

  void Start();
  void Stop();

 private:
  void Accept();
  void RetryAccept();
  void OnAccepted(boost::asio::ip::tcp::socket socket);
  // Closes a connection if there is no place for another one.
  void MakePlace();

  boost::asio::io_context* io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  Timer retry_timer_;
  std::string name_;
  std::size_t max_connections_;
  std::shared_ptr<const SimpleHttpHandler> handler_;
  Metrics* metrics_;
  // The oldest first.
  std::list<std::weak_ptr<SimpleHttpSession>> sessions_;
};

// Opens a listening socket. Throws boost::system::system_error if `address`
// cannot be bound or is not of the form "IP:PORT".
boost::asio::ip::tcp::acceptor Listen(boost::asio::io_context* io,
                                      const std::string& address);

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_SIMPLE_HTTP_SERVER_H_
