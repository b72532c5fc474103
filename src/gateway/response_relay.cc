#include "src/gateway/response_relay.h"

#include <algorithm>
#include <utility>

namespace harecrank {
namespace {

// An answer that is not a stream is kept whole before it goes on.
constexpr std::size_t kMostAnswerBytes = 16U << 20U;

}  // namespace

ResponseRelay::ResponseRelay(std::shared_ptr<ResponseSink> answer,
                             MonotonicClock clock)
    : answer_(std::move(answer)), clock_(std::move(clock)) {}

void ResponseRelay::BeginAttempt() {
  is_stream_ = false;
  body_.clear();
  head_.reset();
}

void ResponseRelay::RelayEvents(const ResponseHead& head) {
  is_stream_ = true;
  if (!stream_begun_) {
    stream_begun_ = true;
    answer_->BeginStream(head);
  }
}

void ResponseRelay::BufferWhole(ResponseHead head) { head_ = std::move(head); }

ResponseRelay::Accepted ResponseRelay::Accept(std::string_view bytes) {
  if (!is_stream_) {
    body_.append(bytes);
    return body_.size() > kMostAnswerBytes ? Accepted::kTooLarge
                                           : Accepted::kBuffered;
  }
  std::string events = scanner_.Accept(bytes);
  if (events.empty()) {
    return Accepted::kBuffered;
  }
  NotePause();
  answer_->SendEvents(std::move(events));
  return Accepted::kEvents;
}

void ResponseRelay::NotePause() {
  const TimePoint now = clock_();
  if (last_event_at_ != TimePoint{}) {
    longest_pause_ = std::max(longest_pause_, now - last_event_at_);
  }
  last_event_at_ = now;
}

void ResponseRelay::EndStream() { answer_->EndStream(); }

void ResponseRelay::AbortStream() { answer_->AbortStream(); }

unsigned ResponseRelay::SendBuffered() {
  const unsigned status = BufferedStatus();
  answer_->SendWhole(*std::move(head_), std::move(body_));
  return status;
}

}  // namespace harecrank
