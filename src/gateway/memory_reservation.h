// Reserves memory on several engines for one request, either on all of them or
// on none.

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

// The memory, in tokens, that a request needs on one engine.
struct MemoryNeed {
  EndpointRecord endpoint;
  MemoryTicket ticket;
  Tokens amount;
};

// Reserves memory on all engines of a request and keeps it reserved until
// Release. Never waits for memory to become free, so that reservations of
// several hosts cannot deadlock: if one engine lacks memory, the memory on the
// others is released. Not thread-safe.
class MemoryReservation
    : public std::enable_shared_from_this<MemoryReservation> {
 public:
  // Called with each response of an engine to an order, also after Release.
  using OnEndpointResponse = std::function<void(
      const EndpointRecord& endpoint, const EndpointResponse& response)>;

  // `orders` must outlive this.
  MemoryReservation(boost::asio::io_context* io, MemoryOrders* orders,
                    std::vector<MemoryNeed> needs,
                    OnEndpointResponse on_response);

  // Calls `done` once with whether all memory was reserved. The reservation is
  // renewed until Release.
  void Acquire(std::function<void(bool reserved)> done);

  // Releases all memory. `done` is not called any more.
  void Release();

  // How long an engine keeps the memory without a renewal. Shorter than the
  // time for which an engine may hold memory that no request uses, so that this
  // time is not exceeded when a host crashes without releasing its
  // reservations.
  static constexpr Millis kLeaseDuration{3000};
  // Interval between two renewals. Several renewals fit in one lease, so that
  // one of them may be lost.
  static constexpr Millis kRenewalInterval{900};

 private:
  void OnReserved(bool reserved);
  // Returns a callback that passes the response of `endpoint` to `on_response_`
  // and then calls `then` with whether the order was executed.
  MemoryOrders::OnResult ForwardResponse(
      const EndpointRecord& endpoint,
      std::function<void(bool done)> then) const;
  void Reserve(const MemoryNeed& need, std::function<void(bool done)> then);
  void RenewLater();
  void Renew();

  MemoryOrders* orders_;
  std::vector<MemoryNeed> needs_;
  OnEndpointResponse on_response_;
  Timer timer_;
  std::function<void(bool)> done_;
  std::size_t pending_responses_ = 0;
  bool failed_ = false;
  bool released_ = false;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_MEMORY_RESERVATION_H_
