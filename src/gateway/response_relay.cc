#include "src/gateway/response_relay.h"

#include <algorithm>
#include <utility>

#include "src/gateway/endpoint_request.h"

namespace harecrank {
namespace {

namespace http = boost::beast::http;

// Announced size up to which a response is ordinary.
constexpr std::int64_t kOrdinaryResponseBytes = std::int64_t{4} << 20U;

}  // namespace

ResponseRelay::ResponseRelay(std::shared_ptr<ResponseSink> sink,
                             MonotonicClock clock)
    : sink_(std::move(sink)), clock_(std::move(clock)) {}

void ResponseRelay::BeginAttempt() {
  is_stream_ = false;
  std::string().swap(body_);
  head_.reset();
  scanner_.BeginRun();
  may_be_endless_ = true;
  sink_->OnResponseHeld({});
}

void ResponseRelay::RelayEvents(const ResponseHead& head) {
  is_stream_ = true;
  if (!stream_begun_) {
    stream_begun_ = true;
    sink_->BeginStream(head);
  }
}

void ResponseRelay::BufferWhole(ResponseHead head) {
  const auto bytes = ParseInteger(View(head[http::field::content_length]));
  may_be_endless_ = !bytes.has_value() || *bytes > kOrdinaryResponseBytes;
  head_ = std::move(head);
}

ResponseRelay::Relayed ResponseRelay::Accept(std::string_view bytes) {
  Relayed relayed;
  if (!is_stream_) {
    Append(bytes);
    sink_->OnResponseHeld({body_.capacity(), may_be_endless_});
    relayed.is_too_large = body_.size() > kMaxResponseBytes;
    return relayed;
  }
  ScannedEvents scanned = scanner_.Accept(bytes);
  relayed.fault = scanned.fault;
  sink_->OnResponseHeld({scanner_.PartialSize(), true});
  if (!scanned.events.empty()) {
    relayed.has_events = true;
    RecordGap();
    sink_->SendEvents(std::move(scanned.events));
  }
  return relayed;
}

void ResponseRelay::Append(std::string_view bytes) {
  const std::size_t size = body_.size() + bytes.size();
  if (size > body_.capacity()) {
    // No response that is delivered needs more than the limit.
    body_.reserve(std::max(size, std::min(2 * size, kMaxResponseBytes)));
  }
  body_.append(bytes);
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
