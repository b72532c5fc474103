#include "src/gateway/answer_relay.h"

#include <algorithm>
#include <utility>

namespace harecrank {
namespace {

// An answer that is not a stream is kept whole before it goes on.
constexpr std::size_t kMostAnswerBytes = 16U << 20U;

}  // namespace

AnswerRelay::AnswerRelay(std::shared_ptr<ResponseSink> answer,
                         MonotonicClock clock)
    : answer_(std::move(answer)), clock_(std::move(clock)) {}

void AnswerRelay::BeginAttempt() {
  is_stream_ = false;
  body_.clear();
  head_.reset();
}

void AnswerRelay::RelayEvents(const ResponseHead& head) {
  is_stream_ = true;
  if (!stream_begun_) {
    stream_begun_ = true;
    answer_->BeginStream(head);
  }
}

void AnswerRelay::KeepWhole(ResponseHead head) { head_ = std::move(head); }

AnswerRelay::Accepted AnswerRelay::Accept(std::string_view bytes) {
  if (!is_stream_) {
    body_.append(bytes);
    return body_.size() > kMostAnswerBytes ? Accepted::kTooLarge
                                           : Accepted::kKept;
  }
  std::string events = scanner_.Accept(bytes);
  if (events.empty()) {
    return Accepted::kKept;
  }
  NotePause();
  answer_->SendEvents(std::move(events));
  return Accepted::kEvents;
}

void AnswerRelay::NotePause() {
  const TimePoint now = clock_();
  if (last_event_at_ != TimePoint{}) {
    longest_pause_ = std::max(longest_pause_, now - last_event_at_);
  }
  last_event_at_ = now;
}

void AnswerRelay::EndStream() { answer_->EndStream(); }

void AnswerRelay::AbortStream() { answer_->AbortStream(); }

unsigned AnswerRelay::SendKept() {
  const unsigned status = KeptStatus();
  answer_->SendWhole(*std::move(head_), std::move(body_));
  return status;
}

}  // namespace harecrank
