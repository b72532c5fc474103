#include "src/gateway/memory_hold.h"

#include <utility>

namespace harecrank {

MemoryHold::MemoryHold(boost::asio::io_context* io, MemoryOrders* orders,
                       std::vector<MemoryNeed> needs)
    : orders_(orders), needs_(std::move(needs)), timer_(*io) {}

void MemoryHold::Acquire(std::function<void(bool held)> done) {
  done_ = std::move(done);
  unanswered_ = needs_.size();
  for (const MemoryNeed& need : needs_) {
    orders_->Reserve(
        need.address, need.ticket, need.amount, kHold,
        [self = shared_from_this()](bool held) { self->OnAnswer(held); });
  }
}

void MemoryHold::OnAnswer(bool held) {
  failed_ = failed_ || !held;
  --unanswered_;
  if (unanswered_ > 0 || released_) {
    return;
  }
  const auto done = std::move(done_);
  if (failed_) {
    Release();
  } else {
    RenewLater();
  }
  done(!failed_);
}

void MemoryHold::Release() {
  if (released_) {
    return;
  }
  released_ = true;
  timer_.cancel();
  for (const MemoryNeed& need : needs_) {
    orders_->Release(need.address, need.ticket);
  }
}

void MemoryHold::RenewLater() {
  timer_.expires_after(kRenewal);
  timer_.async_wait([weak = weak_from_this()](boost::system::error_code error) {
    const auto self = weak.lock();
    if (!error && self != nullptr && !self->released_) {
      self->Renew();
    }
  });
}

void MemoryHold::Renew() {
  for (const MemoryNeed& need : needs_) {
    // A renewal that fails needs no answer here: the engine cuts the request,
    // and that is told on the request's own connection.
    orders_->Reserve(need.address, need.ticket, need.amount, kHold,
                     [](bool) {});
  }
  RenewLater();
}

}  // namespace harecrank
