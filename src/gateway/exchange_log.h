// Log lines and metrics of one request.

#ifndef HARECRANK_SRC_GATEWAY_EXCHANGE_LOG_H_
#define HARECRANK_SRC_GATEWAY_EXCHANGE_LOG_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "harecrank/core/placement.h"
#include "src/gateway/gateway_services.h"
#include "src/gateway/response_relay.h"

namespace harecrank {

// Outcome of a request, for its last log line and the metrics.
struct ExchangeResult {
  // "completed", "refused", "failed", "broken_off" or "caller_left".
  const char* outcome = "";
  // HTTP status that was sent to the caller; zero if no response was sent.
  unsigned status = 0;
  std::string reason;
  int send_count = 0;
  Tokens prompt;
  // The endpoint of the last attempt.
  EndpointId endpoint;
  std::optional<TimePoint> first_event;
};

// Writes the log lines and metrics of one request. Not thread-safe.
class ExchangeLog {
 public:
  // `services` must outlive this.
  ExchangeLog(const GatewayServices* services, const std::string& request_id,
              TimePoint arrived);

  // Sets the route and the configuration version to log. Called once the
  // request has been admitted or rejected.
  void SetRoute(std::string route, RoutingVersion configuration);

  // Returns the fields that identify the request in every log line.
  nlohmann::json Fields() const;

  // Logs that the request is sent to the endpoint of `placement`. `waited` is
  // unset if the request did not wait, and `repeat_decided_at`, the time at
  // which its repeat was permitted, if it is sent for the first time.
  void LogPlaced(const Placement& placement, Tokens prompt,
                 std::optional<Millis> waited,
                 std::optional<TimePoint> repeat_decided_at) const;
  // Logs that no byte of the request was sent to `endpoint`.
  void LogNotSent(const EndpointId& endpoint, const std::string& reason) const;
  // Logs and counts whether a repeat to `service` was permitted.
  void LogRepeatDecision(const ServiceName& service, RepeatCause cause,
                         const RepeatDecision& decision) const;
  // Logs that the request is retried after an attempt at `endpoint`. `extra`
  // contains further fields.
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
