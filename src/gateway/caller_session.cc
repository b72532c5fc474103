#include "src/gateway/caller_session.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/beast/http/read.hpp>
#include <exception>
#include <utility>

#include "harecrank/core/http_status.h"
#include "src/gateway/message_text.h"
#include "src/gateway/socket_options.h"

namespace harecrank {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr int kVersion11 = 11;
// Added to the published limit on heads for the size of the read buffer, which
// also holds the line of a chunk's size with its extensions, and trailers.
constexpr std::size_t kFramingBytes = 4096;

}  // namespace

const char* NameOf(CallerFault fault) {
  switch (fault) {
    case CallerFault::kLargeHead:
      return "large_head";
    case CallerFault::kLargeBody:
      return "large_body";
    case CallerFault::kNotHttp:
      return "not_http";
    case CallerFault::kSlowToSend:
      return "slow_to_send";
    case CallerFault::kSlowToRead:
      return "slow_to_read";
    case CallerFault::kHeldMemory:
      return "held_memory";
    case CallerFault::kHeldPlace:
      return "held_place";
    case CallerFault::kException:
      break;
  }
  return "exception";
}

CallerSession::CallerSession(asio::ip::tcp::socket socket,
                             const SessionContext* context)
    : socket_(std::move(socket)),
      context_(context),
      timer_(socket_.get_executor()),
      output_(&socket_, this, [this] { return shared_from_this(); }),
      memory_(*context->bodies, 0) {}

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
  pace_.Restart(context_->clock());
  if (buffer_.size() > 0) {
    ReadHead();
    return;
  }
  buffer_.shrink_to_fit();
  UpdateMemory();
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
  buffer_.max_size(limits.max_header_bytes + kFramingBytes);
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
  pace_.Restart(arrived_);
  keep_alive_ = parser_->keep_alive();
  response_has_no_body_ = parser_->get().method() == http::verb::head;
  chunked_ = parser_->get().version() >= kVersion11;
  request_bytes_ = HeadMemory(parser_->get());
  if (!HasKnownEnd()) {
    return;
  }
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
    Send("HTTP/1.1 100 Continue\r\n\r\n");
  }
  if (parser_->chunked()) {
    head_.emplace(std::move(parser_->get().base()));
    parser_->get().base() = RequestHead();
  }
  StartTimer(context_->limits().idle_timeout, &CallerSession::OnReadTimeout);
  parser_->eager(true);
  ReadBody();
}

bool CallerSession::HasKnownEnd() {
  switch (CheckFraming(parser_->get())) {
    case FramingCheck::kKnown:
      return true;
    case FramingCheck::kUnknownCoding:
      RespondAndClose(CallerFault::kNotHttp, http_status::kNotImplemented,
                      "the only known transfer coding is chunked");
      return false;
    case FramingCheck::kNoEnd:
      RespondAndClose(CallerFault::kNotHttp, http_status::kBadRequest,
                      "the end of the body is not known");
      return false;
  }
  return false;
}

bool CallerSession::ReserveBody() {
  const std::size_t announced = parser_->content_length().value_or(0);
  const bool is_small = announced <= kUncountedBytes;
  if (!is_small && !context_->bodies->Fits(announced) &&
      !context_->make_memory(announced)) {
    return false;
  }
  request_bytes_ += announced;
  UpdateMemory();
  return true;
}

void CallerSession::ReadBody() {
  http::async_read_some(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](const Error& error, std::size_t bytes) {
        self->OnBodyBytes(error, bytes);
      });
}

void CallerSession::OnBodyBytes(const Error& error, std::size_t bytes) {
  if (state_ != State::kReading) {
    // The request was rejected while this read was in progress.
    DropRequestMemory();
    return;
  }
  if (error) {
    RejectUnreadable(error);
    return;
  }
  pace_.OnBytes(bytes, context_->clock());
  if (parser_->is_done()) {
    OnRequest();
    return;
  }
  UpdateMemory();
  ReadBody();
}

void CallerSession::OnRequest() {
  state_ = State::kResponding;
  ++timer_generation_;
  timer_.cancel();
  CallerRequest request = parser_->release();
  parser_.reset();
  if (head_.has_value()) {
    request_bytes_ += request.body().capacity();
    request.base() = *std::move(head_);
    head_.reset();
  }
  UpdateMemory();
  StartRequest(std::move(request));
}

void CallerSession::StartRequest(CallerRequest request) {
  std::shared_ptr<RequestHandle> handle;
  try {
    handle = context_->start_request(std::move(request), arrived_,
                                     shared_from_this());
  } catch (const std::exception&) {
    // Whether the request was sent on is not known.
    RespondAndClose(CallerFault::kException, http_status::kInternalError,
                    "the request could not be handled");
    return;
  }
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
  } else if (error == http::error::header_limit ||
             error == http::error::buffer_overflow) {
    RespondAndClose(CallerFault::kLargeHead, http_status::kHeadTooLarge,
                    "the head, a chunk's extensions or the trailer are larger "
                    "than allowed");
  } else if (error == http::error::body_limit) {
    RespondAndClose(CallerFault::kLargeBody, http_status::kTooLarge,
                    "the body is larger than allowed");
  } else {
    RespondAndClose(CallerFault::kNotHttp, http_status::kBadRequest,
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
  RespondAndClose(CallerFault::kSlowToSend, http_status::kRequestTimeout,
                  "the request did not come in time");
}

void CallerSession::RespondAndClose(CallerFault fault, unsigned status,
                                    const std::string& reason) {
  RecordEnd(fault);
  state_ = State::kResponding;
  keep_alive_ = false;
  ResponseHead head;
  head.result(status);
  head.set(http::field::content_type, "text/plain");
  SendWhole(std::move(head), reason + "\n");
}

void CallerSession::RecordEnd(CallerFault fault) const {
  context_->on_ended(fault, memory_.Bytes());
}

void CallerSession::Close() {
  if (state_ == State::kClosed) {
    return;
  }
  state_ = State::kClosed;
  ++timer_generation_;
  timer_.cancel();
  const bool is_cut =
      ends_with_connection_ && !(response_complete_ && output_.IsEmpty());
  output_.Close();
  memory_.Resize(0);
  // The request handle may hold the last reference to this.
  const auto self = shared_from_this();
  if (const auto request = std::move(request_)) {
    request->OnCallerDisconnected();
  }
  Error ignored;
  if (is_cut) {
    // An orderly end would make the response look whole.
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  } else {
    socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  }
  socket_.close(ignored);
}

}  // namespace harecrank
