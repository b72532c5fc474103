#include "src/gateway/peers_log.h"

#include <algorithm>
#include <utility>

namespace harecrank {

PeersLog::PeersLog(EventLog* log, MonotonicClock clock)
    : log_(log), clock_(std::move(clock)) {}

void PeersLog::Tick(int alive, bool is_planner) {
  const TimePoint now = clock_();
  if (now - last_line_at_ < kInterval) {
    return;
  }
  const int lost = std::max(0, alive_ + joined_ - alive);
  if (is_planner && (joined_ > 0 || lost > 0)) {
    log_->Write("peers",
                {{"heard", joined_}, {"lost", lost}, {"alive", alive}});
  }
  last_line_at_ = now;
  joined_ = 0;
  alive_ = alive;
}

}  // namespace harecrank
