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

// Records the run time of each kind of task in a histogram and logs tasks that
// take long. Not thread-safe.
class EventLoopMonitor {
 public:
  // `log` and `metrics` must outlive this.
  EventLoopMonitor(EventLog* log, Metrics* metrics, MonotonicClock clock);

  // Measures the run time of one task, from construction to destruction of the
  // Span.
  class Span {
   public:
    // `monitor` must outlive the Span. `what` names the kind of task and must
    // be one of a small fixed set, since each name has a histogram of its own.
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

  // Records that a task of the kind `what` has occupied the event loop for
  // `duration`.
  void Record(const char* what, std::chrono::nanoseconds duration);

  // Tasks that take at least this long are logged. This is a fraction of the
  // shortest target for the time between two events of a stream, so that delays
  // are visible in the log before callers see a missed target.
  static constexpr Millis kMinLoggedTime{25};
  // Minimum interval between two log lines about the same kind of task.
  static constexpr Millis kLogInterval{1000};

 private:
  // Run times of one kind of task.
  struct TaskStatistics {
    DurationHistogram* histogram = nullptr;
    TimePoint last_logged_at{};
    bool has_logged = false;
    // Number of runs of at least kMinLoggedTime, and the longest of them, since
    // the last log line.
    int long_runs = 0;
    std::chrono::nanoseconds longest{0};
  };

  EventLog* log_;
  Metrics* metrics_;
  MonotonicClock clock_;
  std::map<std::string, TaskStatistics> tasks_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_EVENT_LOOP_MONITOR_H_
