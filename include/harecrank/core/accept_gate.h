// Decides which connections of callers a host takes.

#ifndef HARECRANK_CORE_ACCEPT_GATE_H_
#define HARECRANK_CORE_ACCEPT_GATE_H_

#include <cstddef>
#include <optional>

#include "harecrank/core/body_budget.h"
#include "harecrank/core/clock.h"
#include "harecrank/core/request_share.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// What becomes of a new connection.
enum class AcceptDecision {
  kTaken,
  // Refused since as many connections as possible are open.
  kNoRoom,
  // The bodies of requests occupy most of their memory, so that only small
  // requests can be served.
  kNoMemory,
  // Refused since this host is crowded and its event loop is behind.
  kBehind,
  // Refused since this host is crowded and has used up its part of limits.
  kCrowded
};

// Name of `decision` for metrics.
const char* NameOf(AcceptDecision decision);

// A load balancer may direct most new connections of a data centre or region to
// one host. A connection that the host cannot serve in time is refused at once,
// before anything is read from it: its caller then tries another host, and the
// requests that were read are served as before. Not thread-safe.
class AcceptGate {
 public:
  // At most `max_sessions` connections are open at once. `bodies` and `share`
  // must outlive this.
  AcceptGate(std::size_t max_sessions, const BodyBudget* bodies,
             const RequestShare* share, MonotonicClock clock);

  // Records how late a periodic task of the event loop has run. A request that
  // arrives now is delayed by as much.
  void OnLoopDelay(TimePoint::duration delay);

  // Records that a request waits or was rejected because this host has used up
  // its part of the limits that all hosts share.
  void OnPartUsedUp() { part_used_up_at_ = clock_(); }

  // Decides on a new connection while `open` others are open.
  AcceptDecision Decide(std::size_t open);

  // Returns whether there is room for a connection beside `open` others.
  bool HasRoom(std::size_t open) const { return open < max_sessions_; }

  // Returns whether the event loop is behind, so that a crowd is refused.
  bool IsBehind() const { return is_behind_; }

  // Returns whether this host can serve connections that another one refuses.
  // False until load balancers know of its start. A part of a limit that is
  // used up does not count, since some of it returns within a moment.
  bool HasRoomForOthers() const;

  // Delay from which on connections are refused: a quarter of the time that
  // callers give a new connection, and more than a pause by a limit on CPU
  // time.
  static constexpr Millis kMaxDelay{250};
  // Delay below which they are taken again.
  static constexpr Millis kResumeDelay{100};
  // How long connections are refused after this host's part was used up, if it
  // is crowded: until the part allows a few requests again.
  static constexpr Millis kUsedUpTime{100};
  // A host that has room takes a connection at least this often, since callers
  // may have nowhere else to go.
  static constexpr Millis kMaxRefusalTime{1000};
  // After its start a host gets all the callers that its last process had,
  // which is no crowd, and load balancers do not know it for as long.
  static constexpr Millis kSettleTime{3000};

 private:
  // Returns whether a connection that is taken now would wait for this host's
  // part of limits.
  bool IsPartUsedUp() const;
  bool HasSettled() const { return clock_() - started_at_ >= kSettleTime; }

  std::size_t max_sessions_;
  const BodyBudget* bodies_;
  const RequestShare* share_;
  MonotonicClock clock_;
  TimePoint started_at_;
  bool is_behind_ = false;
  std::optional<TimePoint> part_used_up_at_;
  TimePoint last_taken_at_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_ACCEPT_GATE_H_
