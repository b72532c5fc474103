// How long a process takes to end.

#ifndef HARECRANK_CORE_PROCESS_ENDING_H_
#define HARECRANK_CORE_PROCESS_ENDING_H_

#include "harecrank/core/strong_types.h"

namespace harecrank {

// Time in which a process that is ending has closed all its sockets. While it
// does so, its address may still accept connections.
inline constexpr Millis kProcessEndingTime{50};

}  // namespace harecrank

#endif  // HARECRANK_CORE_PROCESS_ENDING_H_
