#include "src/gateway/event_loop_monitor.h"

#include <algorithm>
#include <utility>

namespace harecrank {

EventLoopMonitor::EventLoopMonitor(EventLog* log, Metrics* metrics,
                                   MonotonicClock clock)
    : log_(log), metrics_(metrics), clock_(std::move(clock)) {}

EventLoopMonitor::Span::Span(EventLoopMonitor* monitor, const char* what)
    : monitor_(monitor), what_(what), started_at_(monitor->clock_()) {}

EventLoopMonitor::Span::~Span() { monitor_->Record(what_, Elapsed()); }

std::chrono::nanoseconds EventLoopMonitor::Span::Elapsed() const {
  return monitor_->clock_() - started_at_;
}

void EventLoopMonitor::Record(const char* what,
                              std::chrono::nanoseconds duration) {
  TaskStatistics& task = tasks_[what];
  if (task.histogram == nullptr) {
    task.histogram =
        metrics_->GetHistogram("harecrank_gateway_loop_held_seconds",
                               "what=\"" + std::string(what) + "\"");
  }
  task.histogram->Record(duration);
  if (duration < kMinLoggedTime) {
    return;
  }
  ++task.long_runs;
  task.longest = std::max(task.longest, duration);
  const TimePoint now = clock_();
  if (task.has_logged && now - task.last_logged_at < kLogInterval) {
    return;
  }
  log_->Write(
      "loop_held",
      {{"what", what},
       {"longest_ms", std::chrono::duration_cast<Millis>(task.longest).count()},
       {"holds", task.long_runs}},
      LogRateLimit::kExempt);
  task.last_logged_at = now;
  task.has_logged = true;
  task.long_runs = 0;
  task.longest = std::chrono::nanoseconds(0);
}

}  // namespace harecrank
