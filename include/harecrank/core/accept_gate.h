// Decides which connections of callers a host takes.

#ifndef HARECRANK_CORE_ACCEPT_GATE_H_
#define HARECRANK_CORE_ACCEPT_GATE_H_

#include <cstddef>

#include "harecrank/core/clock.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// A load balancer may direct most new connections of a data centre or region to
// one host. A connection that the host cannot serve in time is refused at once,
// before anything is read from it: its caller then tries another host, and the
// requests that were read are served as before. Not thread-safe.
class AcceptGate {
 public:
  // At most `max_sessions` connections are open at once.
  explicit AcceptGate(std::size_t max_sessions);

  // Records how late a periodic task of the event loop has run. A request that
  // arrives now is delayed by as much.
  void OnLoopDelay(TimePoint::duration delay);

  // Returns whether a new connection is taken while `open` others are open.
  bool Admits(std::size_t open) const {
    return open < max_sessions_ && !is_behind_;
  }

  // Returns whether new connections are refused because the event loop is
  // behind.
  bool IsBehind() const { return is_behind_; }

  // Delay from which on connections are refused: a quarter of the time that
  // callers give a new connection, and more than a pause by a limit on CPU
  // time.
  static constexpr Millis kMaxDelay{250};
  // Delay below which they are taken again.
  static constexpr Millis kResumeDelay{100};

 private:
  std::size_t max_sessions_;
  bool is_behind_ = false;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_ACCEPT_GATE_H_
