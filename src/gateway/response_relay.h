// Passes an endpoint's answer on to its caller, across several attempts.

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

// Events go on as they come, and only whole ones; other answers are kept until
// they are whole. Not thread-safe.
class ResponseRelay {
 public:
  ResponseRelay(std::shared_ptr<ResponseSink> sink, MonotonicClock clock);

  // A new attempt begins. A stream that has begun goes on where it stands.
  void BeginAttempt();

  // The answer under way is a series of events. The caller gets the head of the
  // first such answer only.
  void RelayEvents(const ResponseHead& head);
  // The answer under way is kept whole.
  void BufferWhole(ResponseHead head);

  // What became of bytes of the body.
  enum class AcceptResult {
    kBuffered,
    // At least one whole event went on.
    kEvents,
    // The answer is larger than may be kept.
    kTooLarge
  };
  AcceptResult Accept(std::string_view bytes);

  // Drops the beginning of an event that its endpoint never finished.
  void DropPartial() { scanner_.DropPartial(); }
  bool HasPartial() const { return scanner_.HasPartial(); }

  // Ends the stream at its caller.
  void EndStream();
  // Closes the caller's connection, so that the stream does not look complete.
  void AbortStream();
  // Sends the answer that was kept, and returns its status.
  unsigned SendBuffered();
  // Returns the status of the answer that is kept.
  unsigned BufferedStatus() const { return head_->result_int(); }

  bool IsStream() const { return is_stream_; }
  // Whether the caller has been sent the head of a stream.
  bool StreamBegun() const { return stream_begun_; }
  const std::string& LastEventId() const { return scanner_.LastId(); }
  std::size_t EventCount() const { return scanner_.Count(); }
  // Returns the longest time between two events, also across a resumption.
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
