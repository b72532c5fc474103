// Sends one request to endpoints, one attempt at a time, and updates the health
// of the endpoint that processes it.

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
  // All pointers must outlive this. `observer` receives the events of each
  // attempt.
  RequestSender(const GatewayServices* services, const RouteRule* route,
                AttemptObserver* observer);

  void Send(const Placement& placement, OutgoingRequest request);
  // Cancels the attempt, which tells the endpoint to stop.
  void Cancel();
  // The attempt has ended without Cancel.
  void OnEnded() { attempt_.reset(); }

  // The observer forwards the events of the attempt here.
  void OnSent();
  void OnAnswer(const EndpointResponse& response);
  void OnBytes();
  // Notes that the first event has arrived. Returns the ratio of its actual to
  // its predicted latency, or nothing if an event had arrived before in this
  // attempt.
  std::optional<double> OnFirstEvent();
  void OnErrorAnswer();
  void OnUnreachable();
  void OnOverdue();
  // Marks the helper as at fault that a rejection names, if it names one.
  // `fields` identify the request in the log line.
  void OnRejection(const EndpointResponse& response, nlohmann::json fields);

  bool IsUnderWay() const { return attempt_ != nullptr; }
  // Whether the last attempt has written to the connection, so that the
  // endpoint may have the request.
  bool WasSent() const { return was_sent_; }
  bool HasFirstEvent() const { return attempt_first_event_at_.has_value(); }
  // Whether the endpoint has not sent the first event of the attempt yet, or
  // has sent it less than kStartPeriod ago.
  bool IsStarting() const;
  // Returns the time from which the response of the current attempt is overdue.
  TimePoint OverdueAt() const;

  int SendCount() const { return send_count_; }
  // The endpoint of the last attempt.
  const EndpointRecord& Endpoint() const { return endpoint_; }
  FractionalMillis Predicted() const { return predicted_; }
  // Returns the time since the first event of this attempt, or nothing before
  // it.
  std::optional<Millis> SinceFirstEvent() const;
  // Time of the first event over all attempts.
  const std::optional<TimePoint>& FirstEventAt() const {
    return first_event_at_;
  }

 private:
  // Returns an idle connection if the request may be repeated, otherwise a new
  // one.
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
  // First event of the last attempt; unset before it.
  std::optional<TimePoint> attempt_first_event_at_;
  std::optional<TimePoint> first_event_at_;
  int send_count_ = 0;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_REQUEST_SENDER_H_
