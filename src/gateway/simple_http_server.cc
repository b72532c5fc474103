#include "src/gateway/simple_http_server.h"

#include <algorithm>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>
#include <utility>

#include "src/gateway/request_framing.h"

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
// Limits on one request. The requests that these ports answer are far smaller.
constexpr std::uint32_t kMaxHeadBytes = 8U << 10U;
constexpr std::uint64_t kMaxBodyBytes = 16U << 10U;
constexpr std::size_t kMaxBufferedBytes = std::size_t{2} * kMaxHeadBytes;
// Delay before the next connection is accepted after an accept has failed, for
// example for lack of file descriptors.
constexpr Millis kAcceptRetryDelay{50};

}  // namespace

// Reads the requests of one connection and writes the handler's replies.
class SimpleHttpSession
    : public std::enable_shared_from_this<SimpleHttpSession> {
 public:
  SimpleHttpSession(asio::ip::tcp::socket socket,
                    std::shared_ptr<const SimpleHttpHandler> handler)
      : stream_(std::move(socket)), handler_(std::move(handler)) {
    buffer_.max_size(kMaxBufferedBytes);
  }

  void Read() {
    is_reading_ = true;
    parser_.emplace();
    parser_->header_limit(kMaxHeadBytes);
    parser_->body_limit(kMaxBodyBytes);
    stream_.expires_after(kIdleLimit);
    http::async_read(stream_, buffer_, *parser_,
                     [self = shared_from_this()](
                         boost::system::error_code error, std::size_t) {
                       if (!error) {
                         self->Handle();
                       }
                     });
  }

  // Returns whether no reply is being sent.
  bool IsReading() const { return is_reading_; }
  void Close() { stream_.close(); }

 private:
  using Parser = http::request_parser<http::string_body>;

  void Handle() {
    is_reading_ = false;
    const HttpRequest request = parser_->release();
    parser_.reset();
    SimpleHttpReply response = (*handler_)(request);
    reply_ = std::move(response.reply);
    keeps_alive_ = request.keep_alive() && IsUnambiguous(request);
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

  // Returns whether the end of the request is certain.
  static bool IsUnambiguous(const HttpRequest& request) {
    return CheckFraming(request.base()) == FramingCheck::kKnown;
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
    reply_ = {};
    if (!error && keeps_alive_) {
      Read();
    }
  }

  beast::tcp_stream stream_;
  std::shared_ptr<const SimpleHttpHandler> handler_;
  beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  HttpReply reply_;
  bool is_reading_ = true;
  bool keeps_alive_ = false;
  std::optional<http::response<http::span_body<const char>>> shared_reply_;
};

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
                                   const std::string& address, std::string name,
                                   std::size_t max_connections,
                                   SimpleHttpHandler handler, Metrics* metrics)
    : io_(io),
      acceptor_(Listen(io, address)),
      retry_timer_(*io),
      name_(std::move(name)),
      max_connections_(max_connections),
      handler_(std::make_shared<const SimpleHttpHandler>(std::move(handler))),
      metrics_(metrics) {}

void SimpleHttpServer::Start() { Accept(); }

void SimpleHttpServer::Stop() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  retry_timer_.cancel();
}

void SimpleHttpServer::Accept() {
  acceptor_.async_accept(*io_, [this](boost::system::error_code error,
                                      asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted) {
      return;
    }
    if (error) {
      RetryAccept();
      return;
    }
    OnAccepted(std::move(socket));
    Accept();
  });
}

void SimpleHttpServer::RetryAccept() {
  retry_timer_.expires_after(kAcceptRetryDelay);
  retry_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      Accept();
    }
  });
}

void SimpleHttpServer::OnAccepted(asio::ip::tcp::socket socket) {
  MakePlace();
  const auto session =
      std::make_shared<SimpleHttpSession>(std::move(socket), handler_);
  sessions_.push_back(session);
  session->Read();
}

void SimpleHttpServer::MakePlace() {
  if (sessions_.size() < max_connections_) {
    return;
  }
  sessions_.remove_if([](const auto& session) { return session.expired(); });
  if (sessions_.size() < max_connections_) {
    return;
  }
  metrics_
      ->GetCounter("harecrank_gateway_short_connections_closed_total",
                   "port=\"" + name_ + "\"")
      ->Add();
  // Idle ones go before those whose reply is being sent.
  auto oldest = std::find_if(
      sessions_.begin(), sessions_.end(),
      [](const auto& session) { return session.lock()->IsReading(); });
  oldest = oldest == sessions_.end() ? sessions_.begin() : oldest;
  oldest->lock()->Close();
  sessions_.erase(oldest);
}

}  // namespace harecrank
