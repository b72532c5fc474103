#include "src/gateway/attempt.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <charconv>
#include <utility>

#include "harecrank/core/answer_end.h"
#include "src/adapters/answer_facts.h"
#include "src/gateway/http_client.h"
#include "src/gateway/socket_options.h"

namespace harecrank {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

// Maximum size of the head of an endpoint's response. Heads are small; one that
// exceeds this limit is treated as malformed.
constexpr std::uint32_t kMaxHeaderBytes = 64U << 10U;
// Maximum number of stale responses, which belong to earlier requests on the
// connection, that an attempt skips before it fails. An endpoint may send one
// stale response, but not a series.
constexpr int kMaxStaleMessages = 2;
// Maximum size of the read buffer. It holds a head, the line of a chunk's size
// with its extensions, or a trailer.
constexpr std::size_t kMaxBufferedBytes = kMaxHeaderBytes + 4096;

}  // namespace

Attempt::Attempt(asio::io_context* io, EndpointConnectionPool* connections,
                 const ProtocolNames* names, AttemptObserver* observer)
    : io_(io),
      connections_(connections),
      names_(names),
      observer_(observer),
      connect_timer_(*io),
      send_timer_(*io),
      end_timer_(*io) {}

void Attempt::Start(std::unique_ptr<EndpointConnection> connection,
                    const std::string& address, OutgoingRequest request,
                    Millis connect_timeout) {
  connection_ = std::move(connection);
  request_ = std::move(request);
  if (connection_->reused) {
    Send();
  } else {
    Connect(address, connect_timeout);
  }
}

void Attempt::Cancel() {
  ended_ = true;
  connect_timer_.cancel();
  send_timer_.cancel();
  end_timer_.cancel();
  if (connection_ != nullptr) {
    Error ignored;
    connection_->socket.close(ignored);
  }
}

void Attempt::Connect(const std::string& address, Millis timeout) {
  const auto endpoint = ParseTcpEndpoint(address);
  if (!endpoint.has_value()) {
    // Posted, since the observer must not be called before Start returns.
    asio::post(*io_, [self = shared_from_this()] {
      self->Fail(AttemptNotSent{"the endpoint's address cannot be read"});
    });
    return;
  }
  connecting_ = true;
  connect_timer_.expires_after(timeout);
  connect_timer_.async_wait([self = shared_from_this()](const Error& error) {
    // If the process was stalled, the connection and the timer may become ready
    // in the same turn of the event loop. If the connection is handled first,
    // the request is already being sent, but this handler still runs without an
    // error although the timer was cancelled.
    if (!error && self->connecting_) {
      self->Fail(AttemptNotSent{"no connection in time"});
    }
  });
  connection_->socket.async_connect(
      *endpoint, [self = shared_from_this()](const Error& error) {
        self->OnConnected(error);
      });
}

void Attempt::OnConnected(const Error& error) {
  if (ended_) {
    return;
  }
  connecting_ = false;
  connect_timer_.cancel();
  if (error) {
    Fail(AttemptNotSent{"connect: " + error.message()});
    return;
  }
  SetEndpointOptions(&connection_->socket);
  Send();
}

void Attempt::Send() {
  observer_->OnSent();
  const std::array<asio::const_buffer, 2> parts = {
      asio::buffer(request_.head), asio::buffer(*request_.body)};
  asio::async_write(
      connection_->socket, parts,
      [self = shared_from_this()](const Error& error, std::size_t) {
        self->OnWritten(error);
      });
  CheckSendLater();
  ReadHead();
}

void Attempt::CheckSendLater() {
  send_timer_.expires_after(kSendCheckInterval);
  send_timer_.async_wait([weak = weak_from_this()](const Error& error) {
    const auto self = weak.lock();
    if (!error && self != nullptr && !self->ended_) {
      self->CheckSend();
    }
  });
}

void Attempt::CheckSend() {
  const auto state = ReadSendState(&connection_->socket);
  if (!state.has_value()) {
    return;
  }
  const SendVerdict verdict = JudgeSend(*state, kKeepaliveTimeout);
  if (verdict == SendVerdict::kPeerLost) {
    FailBroken("request", asio::error::timed_out);
    return;
  }
  const bool is_unlimited = verdict == SendVerdict::kPeerNotReading;
  if (is_unlimited != is_unlimited_) {
    is_unlimited_ = is_unlimited;
    LimitUnacknowledged(&connection_->socket, !is_unlimited);
  }
  if (verdict != SendVerdict::kDone || (!request_written_ && !write_error_)) {
    CheckSendLater();
  }
}

void Attempt::OnWritten(const Error& error) {
  if (ended_) {
    return;
  }
  // A failed write does not end the attempt: the endpoint may have responded
  // before it read the whole request. The result of reading the response
  // decides, if the response has an end of its own.
  request_written_ = !error;
  write_error_ = error;
}

void Attempt::ReadHead() {
  parser_ = std::make_unique<Parser>();
  parser_->header_limit(kMaxHeaderBytes);
  parser_->body_limit(boost::none);
  connection_->buffer.max_size(kMaxBufferedBytes);
  if (request_.response_has_no_body) {
    parser_->skip(true);
  }
  http::async_read_header(
      connection_->socket, connection_->buffer, *parser_,
      [self = shared_from_this()](const Error& error, std::size_t) {
        self->OnHead(error);
      });
}

void Attempt::OnHead(const Error& error) {
  if (ended_) {
    return;
  }
  if (error) {
    FailBroken("answer", error);
    return;
  }
  const ResponseHead& head = parser_->get();
  const HeadVerdict verdict = heads_.Check(FactsOf(head));
  if (const auto* fault = std::get_if<HeadFault>(&verdict)) {
    Fail(AttemptMalformed{*fault});
    return;
  }
  if (std::get<AnswerStage>(verdict) == AnswerStage::kInterim) {
    ReadHead();
    return;
  }
  is_stale_ = !IsResponseToThisRequest();
  if (is_stale_ && ++stale_messages_ > kMaxStaleMessages) {
    Fail(AttemptBroken{"answers of other requests", false, connection_->reused,
                       false});
    return;
  }
  if (!is_stale_) {
    response_began_ = true;
    NoteKeepAlive(head);
    observer_->OnResponseHead(head);
    if (ended_) {
      return;
    }
  }
  if (parser_->is_done()) {
    OnMessageEnd();
  } else {
    ReadBody();
  }
}

bool Attempt::IsResponseToThisRequest() const {
  const auto& head = parser_->get();
  const auto id = head.find(names_->request_id);
  return id != head.end() && id->value() == request_.request_id;
}

void Attempt::ResumeReading() {
  paused_ = false;
  if (read_is_due_ && !ended_) {
    read_is_due_ = false;
    ReadBody();
  }
}

void Attempt::ReadBody() {
  if (paused_) {
    read_is_due_ = true;
    return;
  }
  auto& body = parser_->get().body();
  body.data = bytes_.data();
  body.size = bytes_.size();
  http::async_read_some(
      connection_->socket, connection_->buffer, *parser_,
      [self = shared_from_this()](const Error& error, std::size_t) {
        self->OnBody(error);
      });
}

void Attempt::OnBody(const Error& error) {
  if (ended_) {
    return;
  }
  const std::size_t received = bytes_.size() - parser_->get().body().size;
  if (!is_stale_ && received > 0) {
    observer_->OnResponseBytes(std::string_view(bytes_.data(), received));
    if (ended_) {
      return;
    }
  }
  if (error && error != http::error::need_buffer) {
    FailBroken("answer's body", error);
    return;
  }
  if (parser_->is_done()) {
    OnMessageEnd();
  } else {
    ReadBody();
  }
}

void Attempt::OnMessageEnd() {
  if (is_stale_) {
    if (parser_->keep_alive()) {
      ReadHead();
    } else {
      FailBroken("another request's answer", asio::error::eof);
    }
    return;
  }
  if (parser_->need_eof()) {
    JudgeConnectionEnd();
  } else {
    Complete();
  }
}

void Attempt::JudgeConnectionEnd() {
  const ConnectionEnd end = AskEnd(
      &connection_->socket, static_cast<bool>(write_error_), request_written_);
  const EndVerdict verdict = JudgeEnd(end);
  if (verdict == EndVerdict::kCutOff) {
    const Error reset = asio::error::connection_reset;
    FailBroken("answer's end", write_error_ ? write_error_ : reset);
  } else if (verdict == EndVerdict::kTooEarly && !end_was_early_) {
    JudgeConnectionEndLater();
  } else {
    Complete();
  }
}

void Attempt::JudgeConnectionEndLater() {
  end_was_early_ = true;
  end_timer_.expires_after(kEarlyEndPause);
  end_timer_.async_wait([weak = weak_from_this()](const Error& error) {
    const auto self = weak.lock();
    if (!error && self != nullptr && !self->ended_) {
      self->JudgeConnectionEnd();
    }
  });
}

void Attempt::Complete() {
  ended_ = true;
  send_timer_.cancel();
  // Bytes after the response belong to no request, so the connection cannot be
  // reused. A connection on which the endpoint responded before the whole
  // request was written cannot be reused either.
  const bool reusable = request_written_ && !is_unlimited_ &&
                        parser_->keep_alive() &&
                        connection_->buffer.size() == 0;
  if (reusable) {
    connections_->PutIdle(std::move(connection_));
  } else {
    Error ignored;
    connection_->socket.close(ignored);
  }
  observer_->OnResponseEnd();
}

void Attempt::NoteKeepAlive(const ResponseHead& head) {
  const auto field = head.find(http::field::keep_alive);
  if (field == head.end()) {
    return;
  }
  constexpr std::string_view kTimeout = "timeout=";
  const std::string_view value(field->value().data(), field->value().size());
  const std::size_t at = value.find(kTimeout);
  if (at == std::string_view::npos) {
    return;
  }
  const std::string_view digits = value.substr(at + kTimeout.size());
  int seconds = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  connection_->idle_limit =
      std::max(Millis(1), Millis(std::chrono::seconds(seconds)) -
                              EndpointConnectionPool::kIdleMargin);
}

void Attempt::Fail(const AttemptFailure& failure) {
  if (ended_) {
    return;
  }
  Cancel();
  observer_->OnFailure(failure);
}

void Attempt::FailBroken(const std::string& step, const Error& error) {
  const bool closed_by_endpoint = error == asio::error::eof ||
                                  error == asio::error::connection_reset ||
                                  error == asio::error::broken_pipe ||
                                  error == http::error::end_of_stream ||
                                  error == http::error::partial_message;
  Fail(AttemptBroken{step + ": " + error.message(), response_began_,
                     connection_->reused, closed_by_endpoint});
}

}  // namespace harecrank
