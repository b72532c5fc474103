// Decides which connections of callers a host closes when they hold too much.
//
// Callers that keep to no limit may open many connections and send or read
// nothing on them. When the memory or the connections of a host are used up, it
// closes those that hold most, for longest, and on which least happens. A
// caller who sends a small request and reads its answer is the last. Endpoints
// may also send answers without end: these are ended before the connections of
// callers who keep up.

#ifndef HARECRANK_CORE_CONNECTION_RELIEF_H_
#define HARECRANK_CORE_CONNECTION_RELIEF_H_

#include <cstddef>
#include <vector>

#include "harecrank/core/clock.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// Until when a caller has kept a slow pace. The time moves on with the bytes
// that the caller sends or reads, so that single bytes now and then count as
// nothing.
class CallerPace {
 public:
  // The pace in bytes per second: a quarter of what the published limits demand
  // of a caller with a body of the largest size.
  static constexpr std::size_t kBytesPerSecond = 64U << 10U;

  // The caller's next step is due from `now`.
  void Restart(TimePoint now) { kept_until_ = now; }
  // The caller has sent or read `bytes`.
  void OnBytes(std::size_t bytes, TimePoint now);
  TimePoint KeptUntil() const { return kept_until_; }

 private:
  TimePoint kept_until_{};
};

// What one connection holds.
struct ConnectionHolding {
  std::size_t bytes = 0;
  // From when on its caller has been behind its pace.
  TimePoint behind_since{};
  // Whether its request is at an endpoint, so that nothing is due from its
  // caller.
  bool awaits_endpoint = false;
  // Whether the answer that it awaits may be without end: its size is not
  // announced, or far larger than those of ordinary answers.
  bool may_be_endless = false;
};

// All return indices in `holdings` in the order in which the connections are
// to be closed until there is enough room. Connections whose callers have been
// behind for less than `patience` are left out, and so are those that await an
// endpoint, except in the third function.

// To free memory: the most bytes, weighted by the time, come first.
std::vector<std::size_t> OrderForMemory(
    const std::vector<ConnectionHolding>& holdings, TimePoint now,
    Millis patience);
// To make room for new connections: the longest behind come first.
std::vector<std::size_t> OrderForRoom(
    const std::vector<ConnectionHolding>& holdings, TimePoint now,
    Millis patience);
// To free memory at any price: after OrderForMemory come those that await an
// answer that may be endless, then all others whose callers are behind, and at
// last those that await another answer.
std::vector<std::size_t> OrderAllForMemory(
    const std::vector<ConnectionHolding>& holdings, TimePoint now,
    Millis patience);

}  // namespace harecrank

#endif  // HARECRANK_CORE_CONNECTION_RELIEF_H_
