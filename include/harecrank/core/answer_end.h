// Decides whether an answer that has no length is whole.
//
// Such an answer ends with its connection, and so does one that is cut off by a
// crash, a reset or a time limit. It is whole only if the endpoint closed the
// connection in order, no operation on the connection has failed, the
// connection was not reset, and the same process of the endpoint still runs
// afterwards. While the last is not known, the request may have run; if it
// cannot be found out, the answer is not whole.
//
// An endpoint that closes before it has read the whole request resets the
// connection when more of it arrives. So the connection of an early answer is
// asked again after a time.

#ifndef HARECRANK_CORE_ANSWER_END_H_
#define HARECRANK_CORE_ANSWER_END_H_

#include <optional>
#include <string>

#include "harecrank/core/strong_types.h"

namespace harecrank {

// How a connection ended that carried an answer.
struct ConnectionEnd {
  // The end of the connection was read, not a reset or a time limit.
  bool closed_in_order = false;
  // Another operation on the connection has failed. A socket reports an error
  // only once, so that a read may see an orderly end after a write has failed.
  bool other_operation_failed = false;
  // The connection was reset, by its state after the end. That state remains,
  // also when an operation has taken the error and not told of it yet.
  bool was_reset = false;
  // The whole request has arrived, so that it provokes no reset any more.
  bool request_arrived = true;
};

// Time after which the connection of an early answer is asked again. It covers
// the way to an endpoint and back within a region, with a packet that is lost
// and detected by those after it.
inline constexpr Millis kEarlyEndPause{50};

// What the end of a connection tells of an answer without a length.
enum class EndVerdict {
  kCutOff,
  // To be asked again after kEarlyEndPause; if it is still the same then, the
  // answer may be whole.
  kTooEarly,
  kMayBeWhole
};

// Returns the verdict on an answer that ended with its connection.
EndVerdict JudgeEnd(const ConnectionEnd& end);

// The answer of a process to the question whether it is a certain endpoint.
struct IdentityAnswer {
  unsigned status = 0;
  // The id that the process tells as its own; unset if it tells none.
  std::optional<std::string> id;
};

// Returns whether `answer` comes from the process of `endpoint`. A process that
// tells no id is believed unless it says that it is another one.
bool IsSameProcess(const EndpointId& endpoint, const IdentityAnswer& answer);

}  // namespace harecrank

#endif  // HARECRANK_CORE_ANSWER_END_H_
