// Splits a text/event-stream body into complete events.
//
// Only complete events are forwarded to a caller: if an endpoint fails in the
// middle of an event, another endpoint resumes the stream after the last
// complete one.

#ifndef HARECRANK_CORE_EVENT_SCANNER_H_
#define HARECRANK_CORE_EVENT_SCANNER_H_

#include <string>
#include <string_view>

namespace harecrank {

// Splits the bytes of one event stream into complete events and buffers the
// incomplete rest. Not thread-safe.
class EventScanner {
 public:
  // Appends bytes of the body. Returns the bytes of all events that these bytes
  // complete, or an empty string.
  std::string Accept(std::string_view bytes);

  // Discards the incomplete event at the end of the bytes accepted so far.
  void DropPartial();

  // Returns whether there is an incomplete event.
  bool HasPartial() const { return !partial_.empty(); }
  // Returns the number of bytes of the incomplete event.
  std::size_t PartialSize() const { return partial_.size(); }

  // Returns the id of the last complete event with an "id" field, or an empty
  // string.
  const std::string& LastId() const { return last_id_; }

  // Returns the number of complete events.
  std::size_t Count() const { return count_; }

 private:
  // Counts a complete event and records its id.
  void RecordEvent(std::string_view event);

  std::string partial_;
  // No blank line begins before this position in `partial_`.
  std::size_t scanned_ = 0;
  std::string last_id_;
  std::size_t count_ = 0;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_EVENT_SCANNER_H_
