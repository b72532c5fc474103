// Forwards the response to a request from endpoints to the caller, across
// several attempts.

#ifndef HARECRANK_SRC_GATEWAY_RESPONSE_RELAY_H_
#define HARECRANK_SRC_GATEWAY_RESPONSE_RELAY_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

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

  // The caller has the events of the stream up to `id` from an earlier answer.
  void ResumeAfter(std::string_view id) { scanner_.ResumeAfter(id); }

  // Prepares for the response of a new attempt. If a stream to the caller has
  // begun, it continues after the last event that was forwarded.
  void BeginAttempt();

  // Treats the current response as an event stream. Only the head of the first
  // such response is sent to the caller.
  void RelayEvents(const ResponseHead& head);
  // Buffers the current response until it is complete.
  void BufferWhole(ResponseHead head);

  // Maximum size of a response that is not a stream.
  static constexpr std::size_t kMaxResponseBytes = 16U << 20U;

  // What became of bytes of a response.
  struct Relayed {
    // At least one event was forwarded to the caller.
    bool has_events = false;
    // A response that is not a stream exceeds the size limit.
    bool is_too_large = false;
    // What is wrong with the bytes after the forwarded events. Nothing more of
    // the attempt is forwarded.
    std::optional<PieceFault> fault;
  };
  Relayed Accept(std::string_view bytes);

  // Discards the received bytes of an incomplete event.
  void DropPartial() { scanner_.BeginRun(); }
  bool HasPartial() const { return scanner_.HasPartial(); }
  // Returns whether the stream may be complete if the attempt has ended.
  bool MayEndStream() const { return scanner_.MayEnd(); }

  // Ends the stream to the caller.
  void EndStream();
  // Closes the caller's connection without the end of the stream, so that the
  // caller recognises the stream as incomplete.
  void AbortStream();
  // Sends the buffered response to the caller and returns its status.
  unsigned SendBuffered();
  // Returns the status of the buffered response. Requires BufferWhole.
  unsigned BufferedStatus() const { return head_->result_int(); }

  bool IsStream() const { return is_stream_; }
  // Returns whether a part of a response is held whose endpoint may send
  // without end; see HeldResponse.
  bool AwaitsEndless() const { return may_be_endless_ && !body_.empty(); }
  // Returns whether the head of a stream has been sent to the caller.
  bool StreamBegun() const { return stream_begun_; }
  const std::string& LastEventId() const { return scanner_.LastId(); }
  std::size_t EventCount() const { return scanner_.Count(); }
  // Returns the longest time between two forwarded groups of events. Includes
  // the time between the last events of one attempt and the first of the next.
  TimePoint::duration LongestGap() const { return longest_gap_; }

 private:
  // Appends to the buffered response, which grows up to the size limit.
  void Append(std::string_view bytes);
  // Updates `longest_gap_` when events are forwarded.
  void RecordGap();

  std::shared_ptr<ResponseSink> sink_;
  MonotonicClock clock_;
  EventScanner scanner_;
  std::optional<ResponseHead> head_;
  std::string body_;
  bool may_be_endless_ = true;
  bool is_stream_ = false;
  bool stream_begun_ = false;
  TimePoint last_event_at_{};
  TimePoint::duration longest_gap_{0};
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_RESPONSE_RELAY_H_
