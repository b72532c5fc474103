#include "src/gateway/caller_session.h"

#include <sys/socket.h>

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <utility>

#include "harecrank/core/http_status.h"
#include "src/gateway/message_text.h"
#include "src/gateway/socket_options.h"

namespace harecrank {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

// Time-out of a write to the caller. If the caller does not accept the bytes in
// this time, the connection is closed.
constexpr Millis kFlushTimeout{10000};
// Maximum number of bytes that are buffered for a slow caller. If more are
// queued, the connection is closed. The longest streams of a million-token
// prompt are much smaller.
constexpr std::size_t kMaxQueuedBytes = 4U << 20U;
constexpr int kVersion11 = 11;
// Reserved for a body of unknown length, which most do not exceed.
constexpr std::size_t kUnknownBodyBytes = 64U << 10U;
// When a caller whose body did not fit may return: by then most requests that
// hold memory have ended.
constexpr char kRetryAfterSeconds[] = "1";

}  // namespace

CallerSession::CallerSession(asio::ip::tcp::socket socket,
                             const SessionContext* context)
    : socket_(std::move(socket)),
      context_(context),
      timer_(socket_.get_executor()) {}

void CallerSession::Start() {
  SetConnectionOptions(&socket_);
  AwaitRequest();
}

void CallerSession::CloseIfIdle() {
  if (state_ == State::kIdle) {
    Close();
  }
}

void CallerSession::AwaitRequest() {
  state_ = State::kIdle;
  if (buffer_.size() > 0) {
    ReadHead();
    return;
  }
  buffer_.shrink_to_fit();
  StartTimer(context_->limits().idle_timeout, &CallerSession::OnIdleTimeout);
  WatchSocket();
}

void CallerSession::WatchSocket() {
  if (watching_) {
    return;
  }
  watching_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](const Error& error) {
                       self->watching_ = false;
                       self->OnReadable(error);
                     });
}

void CallerSession::OnReadable(const Error& error) {
  if (error) {
    if (error != asio::error::operation_aborted) {
      Close();
    }
    return;
  }
  if (state_ == State::kIdle) {
    ReadHead();
  } else if (state_ == State::kResponding) {
    CheckCallerConnection();
  }
}

void CallerSession::CheckCallerConnection() {
  char byte = 0;
  const ssize_t received =
      ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (received > 0) {
    // The next request has already arrived, so the caller is still connected.
    // It is read after the current response.
    return;
  }
  if (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
    WatchSocket();
    return;
  }
  Close();
}

void CallerSession::ReadHead() {
  state_ = State::kReading;
  response_complete_ = false;
  const CallerLimits limits = context_->limits();
  StartTimer(limits.header_timeout, &CallerSession::OnReadTimeout);
  parser_.emplace();
  parser_->header_limit(limits.max_header_bytes);
  parser_->body_limit(limits.max_body_bytes);
  http::async_read_header(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](const Error& error, std::size_t) {
        self->OnHead(error);
      });
}

void CallerSession::OnHead(const Error& error) {
  if (state_ != State::kReading) {
    return;
  }
  if (error) {
    RejectUnreadable(error);
    return;
  }
  arrived_ = context_->clock();
  keep_alive_ = parser_->keep_alive();
  response_has_no_body_ = parser_->get().method() == http::verb::head;
  chunked_ = parser_->get().version() >= kVersion11;
  if (parser_->is_done()) {
    OnRequest();
    return;
  }
  if (!ReserveBody()) {
    RejectForMemory();
    return;
  }
  if (boost::beast::iequals(parser_->get()[http::field::expect],
                            "100-continue")) {
    Queue("HTTP/1.1 100 Continue\r\n\r\n");
  }
  ReadBody();
}

bool CallerSession::ReserveBody() {
  const std::uint64_t bytes =
      parser_->content_length().value_or(kUnknownBodyBytes);
  if (!context_->bodies->Fits(bytes)) {
    return false;
  }
  body_.emplace(*context_->bodies, bytes);
  return true;
}

void CallerSession::ReadBody() {
  StartTimer(context_->limits().idle_timeout, &CallerSession::OnReadTimeout);
  http::async_read(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](const Error& error, std::size_t) {
        if (self->state_ != State::kReading) {
          return;
        }
        if (error) {
          self->RejectUnreadable(error);
          return;
        }
        self->OnRequest();
      });
}

void CallerSession::OnRequest() {
  state_ = State::kResponding;
  ++timer_generation_;
  timer_.cancel();
  CallerRequest request = parser_->release();
  parser_.reset();
  std::shared_ptr<RequestHandle> handle =
      context_->start_request(std::move(request), arrived_, shared_from_this());
  if (state_ == State::kResponding && !response_complete_) {
    request_ = std::move(handle);
    WatchSocket();
  }
}

void CallerSession::RejectUnreadable(const Error& error) {
  if (error == http::error::end_of_stream ||
      error.category() == asio::error::get_system_category() ||
      error == asio::error::eof || error == http::error::partial_message) {
    Close();
  } else if (error == http::error::header_limit) {
    RespondAndClose(431, "the head is larger than allowed");
  } else if (error == http::error::body_limit) {
    RespondAndClose(http_status::kTooLarge, "the body is larger than allowed");
  } else {
    RespondAndClose(http_status::kBadRequest,
                    "not a request: " + error.message());
  }
}

void CallerSession::StartTimer(Millis limit, void (CallerSession::*expired)()) {
  const std::uint64_t generation = ++timer_generation_;
  timer_.expires_after(limit);
  timer_.async_wait(
      [self = weak_from_this(), generation, expired](const Error& error) {
        const auto session = self.lock();
        if (!error && session != nullptr &&
            session->timer_generation_ == generation) {
          ((*session).*expired)();
        }
      });
}

void CallerSession::OnIdleTimeout() { Close(); }

void CallerSession::OnReadTimeout() {
  RespondAndClose(408, "the request did not come in time");
}

void CallerSession::RespondAndClose(unsigned status,
                                    const std::string& reason) {
  state_ = State::kResponding;
  keep_alive_ = false;
  ResponseHead head;
  head.result(status);
  head.set(http::field::content_type, "text/plain");
  SendWhole(std::move(head), reason + "\n");
}

void CallerSession::RejectForMemory() {
  state_ = State::kResponding;
  keep_alive_ = false;
  ResponseHead head;
  head.result(http_status::kUnavailable);
  head.set(http::field::content_type, "text/plain");
  head.set(http::field::retry_after, kRetryAfterSeconds);
  SendWhole(std::move(head), "no memory for the body\n");
}

void CallerSession::SendWhole(ResponseHead head, std::string body) {
  if (state_ != State::kResponding) {
    return;
  }
  keep_alive_ = keep_alive_ && !context_->is_draining();
  std::string text;
  AppendAnswerHead(head, &text);
  const unsigned status = head.result_int();
  const bool may_have_body = status != 204 && status != 304;
  if (may_have_body && !(response_has_no_body_ && body.empty())) {
    AppendHeader("Content-Length", std::to_string(body.size()), &text);
  } else if (response_has_no_body_) {
    const auto length = head.find(http::field::content_length);
    if (length != head.end()) {
      AppendHeader(
          "Content-Length",
          std::string_view(length->value().data(), length->value().size()),
          &text);
    }
  }
  if (!keep_alive_) {
    AppendHeader("Connection", "close", &text);
  }
  text.append("\r\n");
  if (may_have_body && !response_has_no_body_) {
    text.append(body);
  }
  Queue(text);
  FinishResponse();
}

void CallerSession::BeginStream(ResponseHead head) {
  if (state_ != State::kResponding) {
    return;
  }
  keep_alive_ = keep_alive_ && chunked_ && !context_->is_draining();
  std::string text;
  AppendAnswerHead(head, &text);
  if (chunked_) {
    AppendHeader("Transfer-Encoding", "chunked", &text);
  }
  if (!keep_alive_) {
    AppendHeader("Connection", "close", &text);
  }
  text.append("\r\n");
  Queue(text);
}

void CallerSession::SendEvents(std::string bytes) {
  if (state_ != State::kResponding) {
    return;
  }
  if (!chunked_) {
    Queue(bytes);
    return;
  }
  std::string chunk;
  AppendChunk(bytes, &chunk);
  Queue(chunk);
}

void CallerSession::EndStream() {
  if (state_ != State::kResponding) {
    return;
  }
  if (chunked_) {
    Queue(kLastChunk);
  }
  FinishResponse();
}

void CallerSession::AbortStream() {
  request_.reset();
  close_after_flush_ = true;
  // Data that is already queued is still sent. The caller recognises the
  // incomplete response by its missing end.
  if (in_flight_.empty() && queued_.empty()) {
    Close();
  }
}

void CallerSession::Queue(std::string_view bytes) {
  if (state_ == State::kClosed) {
    return;
  }
  queued_.append(bytes);
  if (queued_.size() > kMaxQueuedBytes) {
    Close();
    return;
  }
  if (in_flight_.empty()) {
    Flush();
  }
}

void CallerSession::Flush() {
  in_flight_.swap(queued_);
  StartTimer(kFlushTimeout, &CallerSession::Close);
  asio::async_write(
      socket_, asio::buffer(in_flight_),
      [self = shared_from_this()](const Error& error, std::size_t) {
        self->OnFlushed(error);
      });
}

void CallerSession::OnFlushed(const Error& error) {
  if (state_ == State::kClosed) {
    return;
  }
  if (error) {
    Close();
    return;
  }
  in_flight_.clear();
  if (!queued_.empty()) {
    Flush();
    return;
  }
  ++timer_generation_;
  if (close_after_flush_) {
    Close();
  } else if (response_complete_) {
    std::string().swap(in_flight_);
    std::string().swap(queued_);
    AwaitRequest();
  }
}

void CallerSession::FinishResponse() {
  request_.reset();
  body_.reset();
  response_complete_ = true;
  close_after_flush_ = !keep_alive_;
}

void CallerSession::Close() {
  if (state_ == State::kClosed) {
    return;
  }
  state_ = State::kClosed;
  ++timer_generation_;
  timer_.cancel();
  body_.reset();
  // The request handle may hold the last reference to this.
  const auto self = shared_from_this();
  if (const auto request = std::move(request_)) {
    request->OnCallerDisconnected();
  }
  Error ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  socket_.close(ignored);
}

}  // namespace harecrank
