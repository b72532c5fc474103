// Measures how long individual tasks occupy the event loop, whose thread serves
// all streams.

#ifndef HARECRANK_SRC_GATEWAY_EVENT_LOOP_MONITOR_H_
#define HARECRANK_SRC_GATEWAY_EVENT_LOOP_MONITOR_H_

#include <chrono>
#include <map>
#include <string>

#include "harecrank/core/clock.h"
#include "src/adapters/event_log.h"
#include "src/adapters/metrics.h"

namespace harecrank {

// Not thread-safe.
class EventLoopMonitor {
 public:
  // `log` and `metrics` must outlive this.
  EventLoopMonitor(EventLog* log, Metrics* metrics, MonotonicClock clock);

  // Measures one task, from construction to destruction.
  class Span {
   public:
    // `monitor` must outlive this; `what` is one of a small fixed set of names.
    Span(EventLoopMonitor* monitor, const char* what);
    ~Span();
    Span(const Span&) = delete;
    Span& operator=(const Span&) = delete;

    std::chrono::nanoseconds Elapsed() const;

   private:
    EventLoopMonitor* monitor_;
    const char* what_;
    TimePoint started_at_;
  };

  // Records that `what` has occupied the event loop for `duration`.
  void Record(const char* what, std::chrono::nanoseconds duration);

  // Tasks that take at least this long are logged: a fraction of the shortest
  // gap between two events at which callers still count a stream as within its
  // target.
  static constexpr Millis kMinLoggedTime{25};
  // Minimum interval between two log lines about the same task.
  static constexpr Millis kLogInterval{1000};

 private:
  struct Task {
    DurationHistogram* histogram = nullptr;
    TimePoint last_logged_at{};
    bool has_logged = false;
    // Values since the last log line.
    int long_runs = 0;
    std::chrono::nanoseconds longest{0};
  };

  EventLog* log_;
  Metrics* metrics_;
  MonotonicClock clock_;
  std::map<std::string, Task> tasks_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_EVENT_LOOP_MONITOR_H_
