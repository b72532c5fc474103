// Cuts a text/event-stream body into whole events.
//
// Only whole events go on to a caller: an endpoint may stop in the middle of
// one, and the stream then goes on elsewhere after the last whole event.

#ifndef HARECRANK_CORE_EVENT_SCANNER_H_
#define HARECRANK_CORE_EVENT_SCANNER_H_

#include <string>
#include <string_view>

namespace harecrank {

// Collects bytes and gives back what has become whole. Not thread-safe.
class EventScanner {
 public:
  // Takes more bytes of the body. Returns the bytes of all events that are
  // now whole and were not returned before.
  std::string Accept(std::string_view bytes);

  // Forgets the beginning of an event that its endpoint never finished.
  void DropPartial() { partial_.clear(); }

  // Returns whether an event has begun and not ended.
  bool HasPartial() const { return !partial_.empty(); }

  // Returns the id of the last whole event that had one, or empty.
  const std::string& LastId() const { return last_id_; }

  // Returns how many whole events there were.
  std::size_t Count() const { return count_; }

 private:
  void NoteEvent(std::string_view event);

  std::string partial_;
  std::string last_id_;
  std::size_t count_ = 0;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_EVENT_SCANNER_H_
