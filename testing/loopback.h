// Addresses of the loopback range that no other running test has.
//
// The system's own choice of a free port is not safe for a server that binds
// later: until then another process may get the same port, for a connection of
// its own too.

#ifndef HARECRANK_TESTING_LOOPBACK_H_
#define HARECRANK_TESTING_LOOPBACK_H_

#include <unistd.h>

#include <string>

namespace harecrank::testing {

// Below the ports that the system hands out by itself.
constexpr int kFirstTestPort = 20000;

// Returns an address that no other process has while this one lives.
inline std::string UniqueLoopbackAddress() {
  constexpr int kByte = 256;
  constexpr int kFirstBytes = 100;
  const int pid = static_cast<int>(getpid());
  return "127." + std::to_string(1 + (pid / kByte / kByte) % kFirstBytes) +
         "." + std::to_string((pid / kByte) % kByte) + "." +
         std::to_string(pid % kByte);
}

// Returns the first three bytes of addresses, with the point behind them, of
// which the same holds. They never meet those of UniqueLoopbackAddress.
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
