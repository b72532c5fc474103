// Memory of several engines that one request needs: all of it or none.

#ifndef HARECRANK_SRC_GATEWAY_MEMORY_RESERVATION_H_
#define HARECRANK_SRC_GATEWAY_MEMORY_RESERVATION_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "harecrank/core/endpoint_directory.h"
#include "src/gateway/memory_orders.h"
#include "src/gateway/timer.h"

namespace harecrank {

// What is needed at one engine.
struct MemoryNeed {
  EndpointRecord endpoint;
  MemoryTicket ticket;
  Tokens amount;
};

// Never waits for memory, so that holds of several hosts cannot lock each other
// out: what is not free now is given up with the rest. Not thread-safe.
class MemoryReservation
    : public std::enable_shared_from_this<MemoryReservation> {
 public:
  // Told of each answer, also of those that come when this has ended.
  using OnEndpointAnswer = std::function<void(const EndpointRecord& endpoint,
                                              const EndpointResponse& answer)>;

  // `orders` must outlive this.
  MemoryReservation(boost::asio::io_context* io, MemoryOrders* orders,
                    std::vector<MemoryNeed> needs, OnEndpointAnswer on_answer);

  // Calls `done` once with whether all of it is held. Holds are renewed until
  // Release.
  void Acquire(std::function<void(bool reserved)> done);

  // Gives all of it back. `done` is not called any more.
  void Release();

  // How long the memory stays set aside without a word from here: shorter than
  // the time for which engines may keep memory that no request uses, so that a
  // host that died leaves nothing behind for longer.
  static constexpr Millis kLeaseDuration{3000};
  // Several renewals fit in one hold, so that one may be lost.
  static constexpr Millis kRenewalInterval{900};

 private:
  void OnReserved(bool reserved);
  // Returns what tells of the answer of `endpoint`, and then calls `then` with
  // whether the order was carried out.
  MemoryOrders::OnResult ForwardResponse(
      const EndpointRecord& endpoint,
      std::function<void(bool done)> then) const;
  void Reserve(const MemoryNeed& need, std::function<void(bool done)> then);
  void RenewLater();
  void Renew();

  MemoryOrders* orders_;
  std::vector<MemoryNeed> needs_;
  OnEndpointAnswer on_answer_;
  Timer timer_;
  std::function<void(bool)> done_;
  std::size_t unanswered_ = 0;
  bool failed_ = false;
  bool released_ = false;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_MEMORY_RESERVATION_H_
