// The functions of CallerSession that write responses. The other functions are
// in caller_session.cc.

#include <utility>

#include "src/gateway/caller_session.h"
#include "src/gateway/message_text.h"

namespace harecrank {
namespace {

namespace http = boost::beast::http;

}  // namespace

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
    std::string().swap(body);
  }
  // Before the text is queued, so that the memory is not counted twice.
  FinishResponse();
  Send(std::move(text));
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
  ends_with_connection_ = !chunked_;
  if (!keep_alive_) {
    AppendHeader("Connection", "close", &text);
  }
  text.append("\r\n");
  Send(std::move(text));
}

void CallerSession::SendEvents(std::string bytes) {
  if (state_ != State::kResponding) {
    return;
  }
  if (!chunked_) {
    Send(std::move(bytes));
    return;
  }
  std::string chunk;
  AppendChunk(bytes, &chunk);
  Send(std::move(chunk));
}

void CallerSession::EndStream() {
  if (state_ != State::kResponding) {
    return;
  }
  FinishResponse();
  if (chunked_) {
    Send(std::string(kLastChunk));
  } else if (output_.IsEmpty()) {
    OnFlushed(0);
  }
}

void CallerSession::AbortStream() {
  request_.reset();
  close_after_flush_ = true;
  // Data that is already queued is still sent. The caller recognises the
  // incomplete response by its missing end, or by the reset of Close.
  if (output_.IsEmpty()) {
    Close();
  }
}

void CallerSession::Send(std::string bytes) {
  if (output_.IsEmpty()) {
    pace_.Restart(context_->clock());
  }
  output_.Send(std::move(bytes));
  was_congested_ = was_congested_ || output_.IsCongested();
  UpdateMemory();
}

void CallerSession::OnResponseHeld(const HeldResponse& held) {
  response_ = held;
  UpdateMemory();
}

void CallerSession::OnFlushed(std::size_t bytes) {
  if (state_ == State::kClosed) {
    return;
  }
  pace_.OnBytes(bytes, context_->clock());
  UpdateMemory();
  if (was_congested_ && !output_.IsCongested()) {
    was_congested_ = false;
    if (request_ != nullptr) {
      request_->OnCallerReadOn();
    }
  }
  if (!output_.IsEmpty() || state_ == State::kClosed) {
    return;
  }
  if (close_after_flush_) {
    Close();
  } else if (response_complete_ && state_ == State::kResponding) {
    output_.Shrink();
    AwaitRequest();
  }
}

void CallerSession::FinishResponse() {
  // The caller of this function may be the last to hold the request.
  const auto request = std::move(request_);
  request_bytes_ = 0;
  response_ = {};
  response_complete_ = true;
  close_after_flush_ = !keep_alive_;
  UpdateMemory();
}

}  // namespace harecrank
