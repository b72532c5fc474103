#include "src/gateway/http_client.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

#include "src/adapters/answer_facts.h"
#include "src/gateway/socket_options.h"

namespace harecrank {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

// Maximum size of a reply. Values in the platform's store are at most a
// megabyte, and a page of several values is a few megabytes.
constexpr std::uint64_t kMaxReplyBytes = 16U << 20U;
// Maximum size of the read buffer, which holds a head, the line of a chunk's
// size, a trailer, or a piece of the body.
constexpr std::size_t kMaxBufferedBytes = 128U << 10U;
constexpr unsigned kHttp11 = 11;

}  // namespace

HttpClient::HttpClient(asio::io_context* io, std::string address)
    : io_(io), address_(std::move(address)) {}

void HttpClient::Get(const std::string& target, Millis timeout,
                     Handler handler) {
  Start(HttpRequest(http::verb::get, target, kHttp11), timeout,
        std::move(handler));
}

void HttpClient::Post(const std::string& target, std::string json,
                      Millis timeout, Handler handler) {
  HttpRequest request(http::verb::post, target, kHttp11);
  request.set(http::field::content_type, "application/json");
  request.body() = std::move(json);
  Start(std::move(request), timeout, std::move(handler));
}

void HttpClient::Start(HttpRequest request, Millis timeout, Handler handler) {
  request_ = std::move(request);
  request_.set(http::field::host, address_);
  request_.prepare_payload();
  handler_ = std::move(handler);
  DropUnusable();
  reused_ = stream_ != nullptr;
  if (stream_ == nullptr) {
    stream_ = std::make_unique<beast::tcp_stream>(*io_);
  }
  stream_->expires_after(timeout);
  if (reused_) {
    Send();
  } else {
    Connect();
  }
}

void HttpClient::DropUnusable() {
  if (stream_ != nullptr && !IsQuiet(&stream_->socket())) {
    Close();
  }
}

void HttpClient::Close() {
  stream_.reset();
  buffer_.clear();
}

void HttpClient::Connect() {
  const auto endpoint = ParseTcpEndpoint(address_);
  if (!endpoint.has_value()) {
    Fail("address", asio::error::invalid_argument);
    return;
  }
  stream_->async_connect(*endpoint, [self = shared_from_this()](
                                        boost::system::error_code error) {
    if (error) {
      self->Fail("connect", error);
      return;
    }
    boost::system::error_code ignored;
    self->stream_->socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    self->Send();
  });
}

void HttpClient::Send() {
  http::async_write(*stream_, request_,
                    [self = shared_from_this()](boost::system::error_code error,
                                                std::size_t) {
                      if (error) {
                        self->Fail("write", error);
                        return;
                      }
                      self->heads_ = {};
                      self->ReceiveHead();
                    });
}

void HttpClient::ReceiveHead() {
  parser_.emplace();
  parser_->body_limit(kMaxReplyBytes);
  buffer_.max_size(kMaxBufferedBytes);
  http::async_read_header(
      *stream_, buffer_, *parser_,
      [self = shared_from_this()](boost::system::error_code error,
                                  std::size_t) { self->OnHead(error); });
}

void HttpClient::OnHead(const boost::system::error_code& error) {
  if (error) {
    Fail("read", error);
    return;
  }
  const HeadVerdict verdict = heads_.Check(FactsOf(parser_->get()));
  if (const auto* fault = std::get_if<HeadFault>(&verdict)) {
    FailWith(std::string("no answer: ") + NameOf(*fault));
  } else if (std::get<AnswerStage>(verdict) == AnswerStage::kInterim) {
    ReceiveHead();
  } else {
    ReceiveBody();
  }
}

void HttpClient::ReceiveBody() {
  http::async_read(
      *stream_, buffer_, *parser_,
      [self = shared_from_this()](boost::system::error_code error,
                                  std::size_t) { self->OnReceived(error); });
}

void HttpClient::OnReceived(const boost::system::error_code& error) {
  if (error) {
    Fail("read", error);
    return;
  }
  const bool is_cut_off =
      parser_->need_eof() &&
      JudgeEnd(AskEnd(&stream_->socket(), false, true)) == EndVerdict::kCutOff;
  if (is_cut_off) {
    Fail("end", asio::error::connection_reset);
    return;
  }
  const bool keep = parser_->keep_alive() && buffer_.size() == 0;
  HttpReply reply = parser_->release();
  if (!keep) {
    Close();
  }
  Finish(std::move(reply));
}

void HttpClient::Fail(const std::string& step,
                      const boost::system::error_code& error) {
  FailWith(step + ": " + error.message() +
           (reused_ ? " on a kept connection" : ""));
}

void HttpClient::FailWith(const std::string& reason) {
  Close();
  Finish(CallFailure{reason});
}

void HttpClient::Finish(CallResult result) {
  // Moves the handler out before calling it, since it may start the next call,
  // which sets `handler_`.
  Handler handler = std::move(handler_);
  handler_ = nullptr;
  parser_.reset();
  if (handler) {
    handler(std::move(result));
  }
}

}  // namespace harecrank
