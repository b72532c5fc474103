// Sends one request to endpoints, one after the other, and notes how the
// endpoint fares that has it now.

#ifndef HARECRANK_SRC_GATEWAY_REQUEST_SENDER_H_
#define HARECRANK_SRC_GATEWAY_REQUEST_SENDER_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "harecrank/core/endpoint_response.h"
#include "src/gateway/attempt.h"
#include "src/gateway/gateway_services.h"

namespace harecrank {

// Not thread-safe; runs on its io_context.
class RequestSender {
 public:
  // All must outlive this. `observer` hears of each attempt.
  RequestSender(const GatewayServices* services, const RouteRule* route,
                AttemptObserver* observer);

  void Send(const Placement& placement, OutgoingRequest request);
  // Gives the attempt up, which tells the endpoint to stop.
  void Cancel();
  // The attempt has ended by itself.
  void OnEnded() { attempt_.reset(); }

  // What the observer hears.
  void OnSent();
  void OnAnswer(const EndpointResponse& response);
  void OnBytes();
  // Returns how many times as late as predicted the first event of this attempt
  // came, or nothing if it came before.
  std::optional<double> OnFirstEvent();
  void OnErrorAnswer();
  void OnUnreachable();
  void OnOverdue();
  // Marks the helper that a refusal names, if it names one. `fields` name the
  // request in the log.
  void OnRefusal(const EndpointResponse& response, nlohmann::json fields);

  bool IsUnderWay() const { return attempt_ != nullptr; }
  // Whether the endpoint may have the request of the last attempt.
  bool WasSent() const { return was_sent_; }
  bool HasFirstEvent() const { return attempt_first_event_at_.has_value(); }
  // Whether the endpoint has begun to run it only now, if it has at all.
  bool IsStarting() const;
  // Returns when its answer is overdue.
  TimePoint OverdueAt() const;

  int SendCount() const { return send_count_; }
  // Where it was sent last.
  const EndpointRecord& Endpoint() const { return endpoint_; }
  FractionalMillis Predicted() const { return predicted_; }
  // Returns how long ago the first event of this attempt came.
  std::optional<Millis> SinceFirstEvent() const;
  // Of all attempts.
  const std::optional<TimePoint>& FirstEventAt() const {
    return first_event_at_;
  }

 private:
  // On a kept connection if the request may be repeated.
  std::unique_ptr<EndpointConnection> Connection();

  const GatewayServices* services_;
  const RouteRule* route_;
  AttemptObserver* observer_;
  std::shared_ptr<Attempt> attempt_;
  EndpointRecord endpoint_;
  std::vector<EndpointId> helpers_;
  FractionalMillis predicted_{0};
  TimePoint sent_at_{};
  TimePoint last_bytes_at_{};
  bool was_sent_ = false;
  // The first event of the last attempt; unset before it.
  std::optional<TimePoint> attempt_first_event_at_;
  std::optional<TimePoint> first_event_at_;
  int send_count_ = 0;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_REQUEST_SENDER_H_
