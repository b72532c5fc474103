// Logs the hosts that join and leave the fleet, in at most one line per second.

#ifndef HARECRANK_SRC_GATEWAY_PEERS_LOG_H_
#define HARECRANK_SRC_GATEWAY_PEERS_LOG_H_

#include "src/adapters/event_log.h"

namespace harecrank {

// Not thread-safe.
class PeersLog {
 public:
  // `log` must outlive this.
  PeersLog(EventLog* log, MonotonicClock clock);

  // Records a message from a host that was not known to be alive.
  void OnMessageReceived() { ++joined_; }

  // Writes a line if one is due. `alive` is the current number of alive hosts.
  // Only the planner writes: any other host hears from a few hosts at a time,
  // and these change constantly.
  void Tick(int alive, bool is_planner);

  // Changes within this time are reported in the same line.
  static constexpr Millis kInterval{1000};

 private:
  EventLog* log_;
  MonotonicClock clock_;
  int joined_ = 0;
  int alive_ = 1;
  TimePoint last_line_at_{};
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_PEERS_LOG_H_
