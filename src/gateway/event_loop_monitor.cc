#include "src/gateway/event_loop_monitor.h"

#include <algorithm>
#include <utility>

namespace harecrank {

EventLoopMonitor::EventLoopMonitor(EventLog* log, Metrics* metrics,
                                   MonotonicClock clock)
    : log_(log), metrics_(metrics), clock_(std::move(clock)) {}

EventLoopMonitor::Span::Span(EventLoopMonitor* holds, const char* what)
    : loop_monitor_(holds), what_(what), began_(holds->clock_()) {}

EventLoopMonitor::Span::~Span() { loop_monitor_->Note(what_, Elapsed()); }

std::chrono::nanoseconds EventLoopMonitor::Span::Elapsed() const {
  return loop_monitor_->clock_() - began_;
}

void EventLoopMonitor::Note(const char* what, std::chrono::nanoseconds held) {
  Work& work = works_[what];
  if (work.held == nullptr) {
    work.held = metrics_->GetHistogram("harecrank_gateway_loop_held_seconds",
                                       "what=\"" + std::string(what) + "\"");
  }
  work.held->Record(held);
  if (held < kToldFrom) {
    return;
  }
  ++work.long_holds;
  work.longest = std::max(work.longest, held);
  const TimePoint now = clock_();
  if (work.was_told && now - work.told < kToldInterval) {
    return;
  }
  log_->Write(
      "loop_held",
      {{"what", what},
       {"longest_ms", std::chrono::duration_cast<Millis>(work.longest).count()},
       {"holds", work.long_holds}},
      LogRateLimit::kExempt);
  work.told = now;
  work.was_told = true;
  work.long_holds = 0;
  work.longest = std::chrono::nanoseconds(0);
}

}  // namespace harecrank
