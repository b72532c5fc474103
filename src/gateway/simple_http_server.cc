#include "src/gateway/simple_http_server.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>
#include <utility>

namespace harecrank {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

// How long an idle connection is kept. Other hosts, the load balancer and
// operators send short requests repeatedly, so they can reuse their
// connections.
constexpr Millis kIdleLimit{30000};
constexpr unsigned kHttp11 = 11;
constexpr int kBacklog = 1024;

// Reads the requests of one connection and writes the handler's replies.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(asio::ip::tcp::socket socket,
              std::shared_ptr<const SimpleHttpHandler> handler)
      : stream_(std::move(socket)), handler_(std::move(handler)) {}

  void Read() {
    request_ = {};
    stream_.expires_after(kIdleLimit);
    http::async_read(stream_, buffer_, request_,
                     [self = shared_from_this()](
                         boost::system::error_code error, std::size_t) {
                       if (!error) {
                         self->Handle();
                       }
                     });
  }

 private:
  void Handle() {
    SimpleHttpReply response = (*handler_)(request_);
    reply_ = std::move(response.reply);
    keeps_alive_ = request_.keep_alive();
    reply_.keep_alive(keeps_alive_);
    if (response.shared_body != nullptr) {
      WriteShared(std::move(response.shared_body));
      return;
    }
    reply_.prepare_payload();
    http::async_write(
        stream_, reply_,
        [self = shared_from_this()](boost::system::error_code error,
                                    std::size_t) { self->OnWritten(error); });
  }

  void WriteShared(std::shared_ptr<const std::string> body) {
    shared_reply_.emplace(std::move(reply_.base()));
    shared_reply_->body() = {body->data(), body->size()};
    shared_reply_->prepare_payload();
    http::async_write(stream_, *shared_reply_,
                      [self = shared_from_this(), body = std::move(body)](
                          boost::system::error_code error, std::size_t) {
                        self->shared_reply_.reset();
                        self->OnWritten(error);
                      });
  }

  void OnWritten(const boost::system::error_code& error) {
    if (!error && keeps_alive_) {
      Read();
    }
  }

  beast::tcp_stream stream_;
  std::shared_ptr<const SimpleHttpHandler> handler_;
  beast::flat_buffer buffer_;
  HttpRequest request_;
  HttpReply reply_;
  bool keeps_alive_ = false;
  std::optional<http::response<http::span_body<const char>>> shared_reply_;
};

}  // namespace

HttpReply MakeReply(unsigned status, const std::string& content_type,
                    std::string body) {
  HttpReply reply(http::int_to_status(status), kHttp11);
  reply.set(http::field::content_type, content_type);
  reply.body() = std::move(body);
  return reply;
}

asio::ip::tcp::acceptor Listen(asio::io_context* io,
                               const std::string& address) {
  const auto endpoint = ParseTcpEndpoint(address);
  if (!endpoint.has_value()) {
    throw boost::system::system_error(
        asio::error::invalid_argument,
        "'" + address + "' is not of the form IP:PORT");
  }
  asio::ip::tcp::acceptor acceptor(*io, endpoint->protocol());
  acceptor.set_option(asio::socket_base::reuse_address(true));
  acceptor.bind(*endpoint);
  acceptor.listen(kBacklog);
  return acceptor;
}

SimpleHttpServer::SimpleHttpServer(asio::io_context* io,
                                   const std::string& address,
                                   SimpleHttpHandler handler)
    : io_(io),
      acceptor_(Listen(io, address)),
      handler_(std::make_shared<const SimpleHttpHandler>(std::move(handler))) {}

void SimpleHttpServer::Start() { Accept(); }

void SimpleHttpServer::Stop() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
}

void SimpleHttpServer::Accept() {
  acceptor_.async_accept(*io_, [this](boost::system::error_code error,
                                      asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted) {
      return;
    }
    if (!error) {
      std::make_shared<HttpSession>(std::move(socket), handler_)->Read();
    }
    Accept();
  });
}

}  // namespace harecrank
