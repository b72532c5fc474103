// Decides whether a block of an event stream is the next event of an answer.
//
// The format is that of HTML's server-sent events. Beyond it, each event must
// have one id, whose number rises from event to event, and data.

#ifndef HARECRANK_CORE_EVENT_CHECK_H_
#define HARECRANK_CORE_EVENT_CHECK_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "harecrank/core/piece_sequence.h"

namespace harecrank {

// The block is the next event of the answer.
struct NextEvent {};
// By the format the block is no event, so that a caller would ignore it: it has
// blank lines, comments or settings of the connection only.
struct NoEvent {};
using EventVerdict = std::variant<NextEvent, NoEvent, PieceFault>;

// The events that make up one answer, across all runs that produce it. Not
// thread-safe.
class EventCheck {
 public:
  // The caller has the events up to `id` from an earlier answer. An id that no
  // event could have is ignored.
  void ResumeAfter(std::string_view id);
  // Returns whether ResumeAfter was called with an id that events can have.
  bool IsResumed() const { return is_resumed_; }

  // Checks a block of lines. If it is the next event, records its id.
  EventVerdict Accept(std::string_view block);

  // Returns the id of the last event, or an empty string.
  const std::string& LastId() const { return last_id_; }
  // Returns the number of events.
  std::size_t Count() const { return count_; }

  // Maximum size of an id in bytes. Callers and endpoints send ids in headers.
  static constexpr std::size_t kMaxIdBytes = 128;

 private:
  EventVerdict AcceptId(std::string_view id);

  PieceSequence sequence_{PieceStep::kAscending};
  std::string last_id_;
  // What stands before the numbers in the ids of this answer, once known.
  std::optional<std::string> id_prefix_;
  bool is_resumed_ = false;
  std::size_t count_ = 0;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_EVENT_CHECK_H_
