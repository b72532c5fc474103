#include "src/gateway/dispatch_queue.h"

#include <utility>

namespace harecrank {

DispatchQueue::DispatchQueue(boost::asio::io_context* io, MonotonicClock clock,
                             std::size_t tried, bool shares_by_account)
    : room_(clock, {}, shares_by_account),
      tried_(tried),
      timer_(*io),
      clock_(std::move(clock)) {}

WaitingRequestId DispatchQueue::Add(const WaitingRequest& waiter, Start start) {
  const WaitingRequestId id = room_.Add(waiter);
  starts_.emplace(id, std::move(start));
  PumpSoon();
  return id;
}

void DispatchQueue::Remove(WaitingRequestId id) {
  room_.Remove(id);
  starts_.erase(id);
}

void DispatchQueue::PumpSoon() {
  if (!room_.IsEmpty()) {
    Schedule(Millis(0));
  }
}

void DispatchQueue::Pump() {
  for (const WaitingRequestId id : room_.InOrder(tried_)) {
    const auto found = starts_.find(id);
    if (found == starts_.end()) {
      continue;
    }
    // A copy, since what it starts may remove it.
    const Start start = found->second;
    if (start()) {
      Remove(id);
    }
  }
  if (!room_.IsEmpty()) {
    Schedule(kInterval);
  }
}

void DispatchQueue::Schedule(Millis pause) {
  const TimePoint due = clock_() + pause;
  if (due >= due_) {
    return;
  }
  due_ = due;
  timer_.expires_at(due);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      due_ = TimePoint::max();
      Pump();
    }
  });
}

}  // namespace harecrank
