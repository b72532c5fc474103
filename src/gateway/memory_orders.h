// The port through which a gateway sets engine memory aside.

#ifndef HARECRANK_SRC_GATEWAY_MEMORY_ORDERS_H_
#define HARECRANK_SRC_GATEWAY_MEMORY_ORDERS_H_

#include <functional>
#include <optional>
#include <string>

#include "harecrank/core/endpoint_response.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// Names memory that is set aside at one engine.
using MemoryTicket = StrongString<struct MemoryTicketTag>;

// What came of an order.
struct OrderResult {
  // The engine has carried it out, or it held already.
  bool done = false;
  // What the engine answered; unset if no answer came in time.
  std::optional<EndpointResponse> answer;
};

// Sends orders. An order without an answer may have been taken, or may be taken
// seconds later; whoever sends one must be able to live with either.
class MemoryOrders {
 public:
  using OnResult = std::function<void(const OrderResult& result)>;

  MemoryOrders() = default;
  MemoryOrders(const MemoryOrders&) = delete;
  MemoryOrders& operator=(const MemoryOrders&) = delete;
  virtual ~MemoryOrders() = default;

  // Sets `amount` aside at the engine at `address` for `hold` from now, or
  // renews what stands under `ticket`. Calls `on_result` once.
  virtual void Reserve(const std::string& address, const MemoryTicket& ticket,
                       Tokens amount, Millis hold, OnResult on_result) = 0;

  // Ends what stands under `ticket`. Memory that this does not reach ends by
  // itself when its time is over. Calls `on_result` once.
  virtual void Release(const std::string& address, const MemoryTicket& ticket,
                       OnResult on_result) = 0;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_MEMORY_ORDERS_H_
