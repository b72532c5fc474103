// Loopback addresses that are unique among running test processes.
//
// Tests don't let the system choose a free port, since that is not safe for a
// server that binds later: until then the system may give the same port to
// another process, also for an outgoing connection.

#ifndef HARECRANK_TESTING_LOOPBACK_H_
#define HARECRANK_TESTING_LOOPBACK_H_

#include <unistd.h>

#include <string>

namespace harecrank::testing {

// Below the system's range of ephemeral ports.
constexpr int kFirstTestPort = 20000;

// Returns a loopback address that is derived from the process id, so that no
// other running process gets the same one.
inline std::string UniqueLoopbackAddress() {
  constexpr int kByte = 256;
  constexpr int kFirstBytes = 100;
  const int pid = static_cast<int>(getpid());
  return "127." + std::to_string(1 + (pid / kByte / kByte) % kFirstBytes) +
         "." + std::to_string((pid / kByte) % kByte) + "." +
         std::to_string(pid % kByte);
}

// Returns the first three bytes of an address range with a trailing dot, such
// as "127.130.7.". The range is derived from the process id as well and is
// disjoint from the addresses of UniqueLoopbackAddress.
inline std::string UniqueLoopbackPrefix() {
  constexpr int kByte = 256;
  constexpr int kFirstByte = 120;
  constexpr int kFirstBytes = 100;
  const int pid = static_cast<int>(getpid());
  return "127." + std::to_string(kFirstByte + (pid / kByte) % kFirstBytes) +
         "." + std::to_string(pid % kByte) + ".";
}

}  // namespace harecrank::testing

#endif  // HARECRANK_TESTING_LOOPBACK_H_
