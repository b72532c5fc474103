#include "src/gateway/dispatch_queue.h"

#include <utility>

namespace harecrank {

DispatchQueue::DispatchQueue(boost::asio::io_context* io, MonotonicClock clock)
    : room_(std::move(clock)), timer_(*io) {}

WaiterId DispatchQueue::Add(const Waiter& waiter, Start start) {
  const WaiterId id = room_.Add(waiter);
  starts_.emplace(id, std::move(start));
  Schedule(kInterval);
  return id;
}

void DispatchQueue::Remove(WaiterId id) {
  room_.Remove(id);
  starts_.erase(id);
}

void DispatchQueue::PumpSoon() {
  if (!room_.IsEmpty()) {
    Schedule(Millis(0));
  }
}

void DispatchQueue::Pump() {
  for (const WaiterId id : room_.InOrder(kTried)) {
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
  if (scheduled_ && pause > Millis(0)) {
    return;
  }
  scheduled_ = true;
  timer_.expires_after(pause);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      scheduled_ = false;
      Pump();
    }
  });
}

}  // namespace harecrank
