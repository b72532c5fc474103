// Takes the next events of an answer from the bytes of event streams.
//
// Only complete events that continue the answer are passed on to a caller. If
// an endpoint fails, or sends anything else, another endpoint may resume the
// stream after the last event.

#ifndef HARECRANK_CORE_EVENT_SCANNER_H_
#define HARECRANK_CORE_EVENT_SCANNER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "harecrank/core/event_check.h"
#include "harecrank/core/event_splitter.h"

namespace harecrank {

// What a piece of a stream's body has brought.
struct ScannedEvents {
  // The bytes of all events that it completes, or an empty string.
  std::string events;
  // What is wrong with the bytes after these events. Nothing more is taken from
  // this run.
  std::optional<PieceFault> fault;
};

// Splits the streams of the runs that produce one answer, checks their events
// and buffers an incomplete rest. Not thread-safe.
class EventScanner {
 public:
  // The caller has the events up to `id` from an earlier answer. An id that no
  // event could have is ignored.
  void ResumeAfter(std::string_view id);

  // The next bytes belong to another run. Discards an incomplete event.
  void BeginRun();

  // Takes bytes of the current run. After a fault, bytes are discarded.
  ScannedEvents Accept(std::string_view bytes);

  // Returns whether the answer may be complete after the current run: there is
  // no incomplete event and no fault, and there has been an event, unless the
  // caller resumed and may have had all of them.
  bool MayEnd() const;

  // Returns whether there is an incomplete event.
  bool HasPartial() const { return splitter_.PendingSize() > 0; }
  // Returns the number of bytes of the incomplete event.
  std::size_t PartialSize() const { return splitter_.PendingSize(); }

  // Returns the id of the last event, or an empty string.
  const std::string& LastId() const { return check_.LastId(); }
  // Returns the number of events.
  std::size_t Count() const { return check_.Count(); }

  // Maximum size of one event in bytes. An event is held until it is complete.
  static constexpr std::size_t kMaxEventBytes = 1U << 20U;

 private:
  EventSplitter splitter_;
  EventCheck check_;
  // Whether the next block is the first one of a run.
  bool at_start_ = true;
  bool is_garbled_ = false;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_EVENT_SCANNER_H_
