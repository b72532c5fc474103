#include "src/gateway/peers_log.h"

#include <algorithm>
#include <utility>

namespace harecrank {

PeersLog::PeersLog(EventLog* log, MonotonicClock clock)
    : log_(log), clock_(std::move(clock)) {}

void PeersLog::Tick(int alive, bool is_planner) {
  const TimePoint now = clock_();
  if (now - looked_at_ < kInterval) {
    return;
  }
  const int lost = std::max(0, alive_ + heard_ - alive);
  if (is_planner && (heard_ > 0 || lost > 0)) {
    log_->Write("peers", {{"heard", heard_}, {"lost", lost}, {"alive", alive}});
  }
  looked_at_ = now;
  heard_ = 0;
  alive_ = alive;
}

}  // namespace harecrank
