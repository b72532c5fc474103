// What one request tells the log and the metrics.

#ifndef HARECRANK_SRC_GATEWAY_EXCHANGE_LOG_H_
#define HARECRANK_SRC_GATEWAY_EXCHANGE_LOG_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "harecrank/core/placement.h"
#include "src/gateway/gateway_services.h"
#include "src/gateway/response_relay.h"

namespace harecrank {

// How a request ended.
struct ExchangeResult {
  // "completed", "refused", "failed", "broken_off" or "caller_left".
  const char* outcome = "";
  // Zero where no answer was given.
  unsigned status = 0;
  std::string reason;
  int sendings = 0;
  Tokens prompt;
  // Where it was sent last.
  EndpointId endpoint;
  std::optional<TimePoint> first_event;
};

// Not thread-safe.
class ExchangeLog {
 public:
  // `services` must outlive this.
  ExchangeLog(const GatewayServices* services, std::string request_id,
              TimePoint arrived);

  // Known once the request has been admitted.
  void SetRoute(std::string route, RoutingVersion configuration);

  // Returns the fields that name the request in every line.
  nlohmann::json Fields() const;

  // It is sent to the endpoint of `placement`. `waited` is unset where it did
  // not wait.
  void LogPlaced(const Placement& placement, Tokens prompt,
                 std::optional<Millis> waited) const;
  // It is sent once more, since `reason`. `more` has further fields.
  void LogRetry(const EndpointId& endpoint, const std::string& reason,
                const nlohmann::json& extra) const;
  void LogEnd(const ExchangeResult& end, const ResponseRelay& relay) const;

 private:
  const GatewayServices* services_;
  std::string request_id_;
  TimePoint arrived_;
  std::string route_;
  RoutingVersion configuration_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_EXCHANGE_LOG_H_
