// One line a second in the log for all hosts that came and went.

#ifndef HARECRANK_SRC_GATEWAY_PEERS_LOG_H_
#define HARECRANK_SRC_GATEWAY_PEERS_LOG_H_

#include "src/adapters/event_log.h"

namespace harecrank {

// Not thread-safe.
class PeersLog {
 public:
  // `log` must outlive this.
  PeersLog(EventLog* log, MonotonicClock clock);

  // A host was heard that was not known as alive.
  void OnMessageReceived() { ++heard_; }

  // Looks whether a line is due. `alive` hosts are known now. Only the host
  // that plans writes: others hear few hosts at a time, and always other ones.
  void Tick(int alive, bool is_planner);

  // Hosts that came or went within this share a line.
  static constexpr Millis kInterval{1000};

 private:
  EventLog* log_;
  MonotonicClock clock_;
  int heard_ = 0;
  int alive_ = 1;
  TimePoint looked_at_{};
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_PEERS_LOG_H_
