#include "src/gateway/response_relay.h"

#include <algorithm>
#include <utility>

namespace harecrank {
namespace {

// Maximum size of one event of a stream. An event is held until it is complete.
constexpr std::size_t kMaxEventBytes = 1U << 20U;

}  // namespace

ResponseRelay::ResponseRelay(std::shared_ptr<ResponseSink> sink,
                             MonotonicClock clock)
    : sink_(std::move(sink)), clock_(std::move(clock)) {}

void ResponseRelay::BeginAttempt() {
  is_stream_ = false;
  std::string().swap(body_);
  head_.reset();
  sink_->OnResponseHeld(0);
}

void ResponseRelay::RelayEvents(const ResponseHead& head) {
  is_stream_ = true;
  if (!stream_begun_) {
    stream_begun_ = true;
    sink_->BeginStream(head);
  }
}

void ResponseRelay::BufferWhole(ResponseHead head) { head_ = std::move(head); }

ResponseRelay::AcceptResult ResponseRelay::Accept(std::string_view bytes) {
  if (!is_stream_) {
    Append(bytes);
    sink_->OnResponseHeld(body_.capacity());
    return body_.size() > kMaxResponseBytes ? AcceptResult::kTooLarge
                                            : AcceptResult::kBuffered;
  }
  std::string events = scanner_.Accept(bytes);
  sink_->OnResponseHeld(scanner_.PartialSize());
  if (events.empty()) {
    return scanner_.PartialSize() > kMaxEventBytes ? AcceptResult::kTooLarge
                                                   : AcceptResult::kBuffered;
  }
  Check(events);
  RecordGap();
  sink_->SendEvents(std::move(events));
  return AcceptResult::kEvents;
}

void ResponseRelay::Append(std::string_view bytes) {
  const std::size_t size = body_.size() + bytes.size();
  if (size > body_.capacity()) {
    // No response that is delivered needs more than the limit.
    body_.reserve(std::max(size, std::min(2 * size, kMaxResponseBytes)));
  }
  body_.append(bytes);
}

void ResponseRelay::Check(std::string_view events) {
  splitter_.Append(events);
  while (const auto block = splitter_.Next()) {
    const EventVerdict verdict = check_.Accept(*block);
    const auto* fault = std::get_if<PieceFault>(&verdict);
    if (fault != nullptr && !fault_.has_value()) {
      fault_ = *fault;
    }
  }
}

void ResponseRelay::RecordGap() {
  const TimePoint now = clock_();
  if (last_event_at_ != TimePoint{}) {
    longest_gap_ = std::max(longest_gap_, now - last_event_at_);
  }
  last_event_at_ = now;
}

void ResponseRelay::EndStream() { sink_->EndStream(); }

void ResponseRelay::AbortStream() { sink_->AbortStream(); }

unsigned ResponseRelay::SendBuffered() {
  const unsigned status = BufferedStatus();
  sink_->SendWhole(*std::move(head_), std::move(body_));
  return status;
}

}  // namespace harecrank
