// Logs the hosts that join and leave the fleet, in at most one line per second.

#ifndef HARECRANK_SRC_GATEWAY_PEERS_LOG_H_
#define HARECRANK_SRC_GATEWAY_PEERS_LOG_H_

#include "src/adapters/event_log.h"

namespace harecrank {

// Counts the hosts that join the fleet and logs changes of its size. Not
// thread-safe.
class PeersLog {
 public:
  // `log` must outlive this.
  PeersLog(EventLog* log, MonotonicClock clock);

  // Records a message from a host that was not known to be alive.
  void OnMessageReceived() { ++joined_; }

  // Writes a line if one is due. `alive` is the current number of alive hosts.
  // Only the planner writes lines: any other host receives heartbeats from only
  // a few hosts at a time, and these change constantly.
  void Tick(int alive, bool is_planner);

  // Minimum interval between two lines. All changes within it are reported in
  // one line.
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
