// What a running process uses, as the kernel counts it.

#ifndef HARECRANK_TESTING_PROCESS_USAGE_H_
#define HARECRANK_TESTING_PROCESS_USAGE_H_

#include <sys/types.h>

#include <cstddef>

namespace harecrank::testing {

// Returns the most memory, in bytes, that the process has had resident since
// its start, or 0 if it has ended.
std::size_t PeakMemory(pid_t process);

// Returns the number of descriptors that the process has open, or 0 if it has
// ended.
std::size_t OpenDescriptors(pid_t process);

}  // namespace harecrank::testing

#endif  // HARECRANK_TESTING_PROCESS_USAGE_H_
