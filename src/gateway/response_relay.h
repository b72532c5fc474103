// Forwards the responses of endpoints to the caller, across several attempts.

#ifndef HARECRANK_SRC_GATEWAY_RESPONSE_RELAY_H_
#define HARECRANK_SRC_GATEWAY_RESPONSE_RELAY_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "harecrank/core/clock.h"
#include "harecrank/core/event_scanner.h"
#include "src/gateway/response_sink.h"

namespace harecrank {

// Forwards an event stream event by event and buffers any other response until
// it is complete. Only complete events are forwarded, so that another endpoint
// can resume the stream after the last of them. Not thread-safe.
class ResponseRelay {
 public:
  ResponseRelay(std::shared_ptr<ResponseSink> sink, MonotonicClock clock);

  // Starts a new attempt. A stream that has begun at the caller continues after
  // the last event that was forwarded.
  void BeginAttempt();

  // Treats the current response as an event stream. The caller gets the head of
  // the first such response only.
  void RelayEvents(const ResponseHead& head);
  // Buffers the current response until it is complete.
  void BufferWhole(ResponseHead head);

  // What Accept has done with the bytes.
  enum class AcceptResult {
    kBuffered,
    // At least one complete event was forwarded.
    kEvents,
    // The response exceeds the size limit.
    kTooLarge
  };
  AcceptResult Accept(std::string_view bytes);

  // Discards an incomplete event.
  void DropPartial() { scanner_.DropPartial(); }
  bool HasPartial() const { return scanner_.HasPartial(); }

  // Ends the stream to the caller.
  void EndStream();
  // Closes the caller's connection, so that the stream does not look complete.
  void AbortStream();
  // Sends the buffered response and returns its status.
  unsigned SendBuffered();
  // Returns the status of the buffered response. Requires BufferWhole.
  unsigned BufferedStatus() const { return head_->result_int(); }

  bool IsStream() const { return is_stream_; }
  // Whether the head of a stream has been sent to the caller.
  bool StreamBegun() const { return stream_begun_; }
  const std::string& LastEventId() const { return scanner_.LastId(); }
  std::size_t EventCount() const { return scanner_.Count(); }
  // Returns the longest time between two forwarded chunks of events, including
  // the gaps between attempts.
  TimePoint::duration LongestGap() const { return longest_gap_; }

 private:
  void RecordGap();

  std::shared_ptr<ResponseSink> sink_;
  MonotonicClock clock_;
  EventScanner scanner_;
  std::optional<ResponseHead> head_;
  std::string body_;
  bool is_stream_ = false;
  bool stream_begun_ = false;
  TimePoint last_event_at_{};
  TimePoint::duration longest_gap_{0};
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_RESPONSE_RELAY_H_
