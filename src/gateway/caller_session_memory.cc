// The functions of CallerSession that concern the memory of its connection. The
// other functions are in caller_session.cc and caller_session_response.cc.

#include <algorithm>

#include "harecrank/core/http_status.h"
#include "src/gateway/caller_session.h"

namespace harecrank {
namespace {

namespace http = boost::beast::http;

// When a caller whose body did not fit may return: by then most requests that
// hold memory have ended.
constexpr char kRetryAfterSeconds[] = "1";

}  // namespace

ConnectionHolding CallerSession::Holding() const {
  const bool awaits_endpoint =
      state_ == State::kResponding && output_.IsEmpty();
  return {memory_.Bytes(), pace_.KeptUntil(), awaits_endpoint,
          response_.may_be_endless && response_.bytes > 0};
}

void CallerSession::EndFor(CallerFault fault) {
  if (state_ == State::kReading && fault == CallerFault::kHeldMemory) {
    // Ends the read in progress, which then frees its memory.
    Error ignored;
    socket_.cancel(ignored);
    RejectForMemory();
    return;
  }
  if (request_ != nullptr && output_.IsEmpty() &&
      fault == CallerFault::kHeldMemory) {
    // The call may release the request.
    const auto request = request_;
    request->OnMemoryNeeded();
    if (request_ == nullptr) {
      return;
    }
  }
  RecordEnd(fault);
  Close();
}

void CallerSession::RejectForMemory() {
  RecordEnd(CallerFault::kHeldMemory);
  state_ = State::kResponding;
  keep_alive_ = false;
  ResponseHead head;
  head.result(http_status::kUnavailable);
  head.set(http::field::content_type, "text/plain");
  head.set(http::field::retry_after, kRetryAfterSeconds);
  SendWhole(std::move(head), "no memory for the body\n");
}

void CallerSession::UpdateMemory() {
  if (state_ == State::kClosed) {
    return;
  }
  // A body without an announced length is counted as it comes.
  const bool is_growing = parser_.has_value() && head_.has_value();
  const std::size_t body =
      is_growing ? parser_->get().body().capacity() : std::size_t{0};
  const std::size_t before = memory_.Bytes();
  const std::size_t bytes = request_bytes_ + response_.bytes + body +
                            buffer_.capacity() + output_.Memory();
  memory_.Resize(bytes - std::min(bytes, kUncountedBytes));
  if (memory_.Bytes() > before && context_->bodies->IsExceeded()) {
    context_->on_memory_exceeded();
  }
}

void CallerSession::DropRequestMemory() {
  parser_.reset();
  head_.reset();
  request_bytes_ = 0;
  buffer_.clear();
  buffer_.shrink_to_fit();
  UpdateMemory();
}

}  // namespace harecrank
