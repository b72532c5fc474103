// How long single pieces of work hold the thread that carries all streams.

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

  // Measures one piece of work, from its construction to its end.
  class Span {
   public:
    // `holds` must outlive this; `what` is one of a few fixed words.
    Span(EventLoopMonitor* holds, const char* what);
    ~Span();
    Span(const Span&) = delete;
    Span& operator=(const Span&) = delete;

    std::chrono::nanoseconds Elapsed() const;

   private:
    EventLoopMonitor* loop_monitor_;
    const char* what_;
    TimePoint began_;
  };

  // Notes that `what` has held the thread for `held`.
  void Note(const char* what, std::chrono::nanoseconds held);

  // From here on a hold is worth a line: a fraction of the tightest pause
  // between two events for which callers still take a stream as in time.
  static constexpr Millis kToldFrom{25};
  // The pause between two lines about the same work.
  static constexpr Millis kToldInterval{1000};

 private:
  struct Work {
    DurationHistogram* held = nullptr;
    TimePoint told{};
    bool was_told = false;
    // Since the last line.
    int long_holds = 0;
    std::chrono::nanoseconds longest{0};
  };

  EventLog* log_;
  Metrics* metrics_;
  MonotonicClock clock_;
  std::map<std::string, Work> works_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_EVENT_LOOP_MONITOR_H_
