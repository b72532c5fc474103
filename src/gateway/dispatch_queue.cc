#include "src/gateway/dispatch_queue.h"

#include <utility>

namespace harecrank {

DispatchQueue::DispatchQueue(boost::asio::io_context* io, MonotonicClock clock,
                             std::size_t max_tried, bool shares_by_account)
    : queue_(clock, {}, shares_by_account),
      max_tried_(max_tried),
      timer_(*io),
      clock_(std::move(clock)) {}

WaitingRequestId DispatchQueue::Add(const WaitingRequest& request,
                                    Start start) {
  const WaitingRequestId id = queue_.Add(request);
  starts_.emplace(id, std::move(start));
  PumpSoon();
  return id;
}

void DispatchQueue::Remove(WaitingRequestId id) {
  queue_.Remove(id);
  starts_.erase(id);
}

void DispatchQueue::PumpSoon() {
  if (!queue_.IsEmpty()) {
    Schedule(Millis(0));
  }
}

void DispatchQueue::Pump() {
  for (const WaitingRequestId id : queue_.InOrder(max_tried_)) {
    const auto found = starts_.find(id);
    if (found == starts_.end()) {
      continue;
    }
    // Copied, since the call may remove the entry.
    const Start start = found->second;
    if (start()) {
      Remove(id);
    }
  }
  if (!queue_.IsEmpty()) {
    Schedule(kRetryInterval);
  }
}

void DispatchQueue::Schedule(Millis delay) {
  const TimePoint next_pump = clock_() + delay;
  if (next_pump >= next_pump_) {
    return;
  }
  next_pump_ = next_pump;
  timer_.expires_at(next_pump);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      next_pump_ = TimePoint::max();
      Pump();
    }
  });
}

}  // namespace harecrank
