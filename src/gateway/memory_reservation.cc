#include "src/gateway/memory_reservation.h"

#include <utility>

namespace harecrank {

MemoryReservation::MemoryReservation(boost::asio::io_context* io,
                                     MemoryOrders* orders,
                                     std::vector<MemoryNeed> needs,
                                     OnEndpointResponse on_response)
    : orders_(orders),
      needs_(std::move(needs)),
      on_response_(std::move(on_response)),
      timer_(*io) {}

MemoryOrders::OnResult MemoryReservation::ForwardResponse(
    const EndpointRecord& endpoint, std::function<void(bool done)> then) const {
  return [endpoint, on_response = on_response_,
          then = std::move(then)](const OrderResult& result) {
    if (result.answer.has_value()) {
      on_response(endpoint, *result.answer);
    }
    then(result.done);
  };
}

void MemoryReservation::Reserve(const MemoryNeed& need,
                                std::function<void(bool done)> then) {
  orders_->Reserve(need.endpoint.address, need.ticket, need.amount,
                   kLeaseDuration,
                   ForwardResponse(need.endpoint, std::move(then)));
}

void MemoryReservation::Acquire(std::function<void(bool reserved)> done) {
  done_ = std::move(done);
  pending_responses_ = needs_.size();
  for (const MemoryNeed& need : needs_) {
    Reserve(need, [self = shared_from_this()](bool reserved) {
      self->OnReserved(reserved);
    });
  }
}

void MemoryReservation::OnReserved(bool reserved) {
  failed_ = failed_ || !reserved;
  --pending_responses_;
  if (pending_responses_ > 0 || released_) {
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

void MemoryReservation::Release() {
  if (released_) {
    return;
  }
  released_ = true;
  timer_.cancel();
  for (const MemoryNeed& need : needs_) {
    orders_->Release(need.endpoint.address, need.ticket,
                     ForwardResponse(need.endpoint, [](bool /*done*/) {}));
  }
}

void MemoryReservation::RenewLater() {
  timer_.expires_after(kRenewalInterval);
  timer_.async_wait([weak = weak_from_this()](boost::system::error_code error) {
    const auto self = weak.lock();
    if (!error && self != nullptr && !self->released_) {
      self->Renew();
    }
  });
}

void MemoryReservation::Renew() {
  for (const MemoryNeed& need : needs_) {
    // A failed renewal needs no handling here: the engine then aborts the
    // request, and the gateway sees this on the connection of the request
    // itself.
    Reserve(need, [](bool /*done*/) {});
  }
  RenewLater();
}

}  // namespace harecrank
