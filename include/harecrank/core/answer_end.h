// Decides whether an answer that has no length is whole.
//
// Such an answer ends with its connection, and so does one that is cut off by a
// crash, a reset or a time limit. It is whole only if the endpoint closed the
// connection in order, no operation on the connection has failed, and the same
// process of the endpoint still runs afterwards. While the last is not known,
// the request may have run; if it cannot be found out, the answer is not whole.

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
};

// Returns whether an answer may be whole that ended with its connection.
inline bool MayBeWhole(const ConnectionEnd& end) {
  return end.closed_in_order && !end.other_operation_failed;
}

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
