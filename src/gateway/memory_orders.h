// Interface through which a gateway reserves engine memory.

#ifndef HARECRANK_SRC_GATEWAY_MEMORY_ORDERS_H_
#define HARECRANK_SRC_GATEWAY_MEMORY_ORDERS_H_

#include <functional>
#include <optional>
#include <string>

#include "harecrank/core/endpoint_response.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// Identifies a reservation of memory at one engine.
using MemoryTicket = StrongString<struct MemoryTicketTag>;

// Result of an order, which is a request to an engine to reserve or release
// memory.
struct OrderResult {
  // Whether the engine has executed the order or its effect was in place
  // already.
  bool done = false;
  // The engine's response; unset if none came within the time-out.
  std::optional<EndpointResponse> answer;
};

// Sends orders to reserve or release memory to engines. An order without a
// response may have been executed, or may be executed seconds later; callers
// must handle both cases.
class MemoryOrders {
 public:
  using OnResult = std::function<void(const OrderResult& result)>;

  MemoryOrders() = default;
  MemoryOrders(const MemoryOrders&) = delete;
  MemoryOrders& operator=(const MemoryOrders&) = delete;
  virtual ~MemoryOrders() = default;

  // Reserves memory for `amount` tokens on the engine at `address` for
  // `duration` from now. If `ticket` has a reservation there already, renews
  // it. Calls `on_result` once.
  virtual void Reserve(const std::string& address, const MemoryTicket& ticket,
                       Tokens amount, Millis duration, OnResult on_result) = 0;

  // Releases the reservation of `ticket`. If the order is lost, the reservation
  // expires at the end of the duration given to Reserve. Calls `on_result`
  // once.
  virtual void Release(const std::string& address, const MemoryTicket& ticket,
                       OnResult on_result) = 0;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_MEMORY_ORDERS_H_
