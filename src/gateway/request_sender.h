// Sends one request to endpoints, one attempt at a time, and records the
// results in the endpoints' health.

#ifndef HARECRANK_SRC_GATEWAY_REQUEST_SENDER_H_
#define HARECRANK_SRC_GATEWAY_REQUEST_SENDER_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "harecrank/core/attempt_timeout.h"
#include "harecrank/core/endpoint_response.h"
#include "src/gateway/attempt.h"
#include "src/gateway/gateway_services.h"

namespace harecrank {

// Runs the attempts of one request and records their times and results. Not
// thread-safe; runs on its io_context.
class RequestSender {
 public:
  // All pointers must outlive this. `observer` receives the events of each
  // attempt.
  RequestSender(const GatewayServices* services, const RouteRule* route,
                AttemptObserver* observer);

  void Send(const Placement& placement, OutgoingRequest request);
  // Cancels the attempt by closing its connection, which makes the endpoint
  // stop processing the request.
  void Cancel();
  // Pauses the current attempt while the caller does not read its response.
  void PauseReading();
  // Ends the pause. The endpoint is not blamed for it.
  void ResumeReading();
  // Returns whether the endpoint waits for the caller.
  bool IsPaused() const { return attempt_ != nullptr && attempt_->IsPaused(); }
  // Records that the current attempt has ended by itself, not by Cancel.
  void OnEnded() { attempt_.reset(); }

  // The observer reports the events of the attempt with the functions below. It
  // calls OnErrorAnswer if the response is an error, invalid or aborted,
  // OnUnreachable if the endpoint could not be reached, and OnOverdue if the
  // response is overdue.
  void OnSent();
  void OnAnswer(const EndpointResponse& response);
  void OnBytes();
  // Records that the first event of the response has arrived. Returns the ratio
  // of its actual to its predicted latency (SlowdownOf), or nothing if an event
  // had already arrived in this attempt.
  std::optional<double> OnFirstEvent();
  // Records that the engines of the attempt are in trouble: the first event is
  // overdue by far, or the attempt broke before it. Returns the slowdown until
  // now, or nothing if it is not clear, if a single engine or no engine
  // prefills the prompt, if the first event has arrived, or if engines have no
  // standing.
  std::optional<double> OnGroupTrouble();
  void OnErrorAnswer();
  void OnUnreachable();
  void OnOverdue();
  // Handles a rejection: if it names a helper of the placement as its cause,
  // marks this helper as at fault. `fields` identify the request in the log
  // line.
  void OnRejection(const EndpointResponse& response, nlohmann::json fields);

  // Returns whether the last attempt used a connection that had carried a
  // request before.
  bool UsesKeptConnection() const { return uses_kept_connection_; }
  bool IsUnderWay() const { return attempt_ != nullptr; }
  // Returns whether the last attempt has begun to write the request to the
  // connection, so that the endpoint may have received it.
  bool WasSent() const { return was_sent_; }
  bool HasFirstEvent() const { return attempt_first_event_at_.has_value(); }
  // Returns whether the endpoint is still starting the request: it has not sent
  // the first event of the attempt yet, or sent it less than kStartPeriod ago.
  bool IsStarting() const;
  // Returns the time at which the response of the current attempt becomes
  // overdue if no more of it arrives.
  TimePoint OverdueAt() const;

  // Returns the time at which the engines of the current attempt are in trouble
  // (OnGroupTrouble) unless its first event arrives before. Nothing if this was
  // already recorded or cannot be.
  std::optional<TimePoint> GroupTroubleAt() const;

  // Returns whether an overdue response counts as a failure of the engine, also
  // if bytes of other requests have arrived from it.
  bool JudgesOverdue() const;
  // Returns the least time left with which an overdue request should be sent to
  // other engines.
  Millis TimeForRetry() const;

  int SendCount() const { return send_count_; }
  // Returns the endpoint of the last attempt.
  const EndpointRecord& Endpoint() const { return endpoint_; }
  FractionalMillis Predicted() const { return predicted_; }
  // Returns the time since the first event of this attempt, or nothing before
  // it.
  std::optional<Millis> SinceFirstEvent() const;
  // Returns the time since the last attempt was begun.
  Millis SinceSent() const;
  // Returns the time of the first event of the last attempt.
  const std::optional<TimePoint>& AttemptFirstEventAt() const {
    return attempt_first_event_at_;
  }
  // Returns the time of the first event in any of the attempts.
  const std::optional<TimePoint>& FirstEventAt() const {
    return first_event_at_;
  }

 private:
  // Returns an idle connection if the request may be repeated, otherwise a new
  // one.
  std::unique_ptr<EndpointConnection> Connection();
  // Returns the endpoint and the helpers of the last attempt.
  std::vector<EndpointId> Engines() const;
  // Returns whether the standing of the engines depends on when the first event
  // arrives.
  bool AwaitsGroup() const;
  AttemptProgress Progress() const;

  const GatewayServices* services_;
  const RouteRule* route_;
  AttemptObserver* observer_;
  std::shared_ptr<Attempt> attempt_;
  EndpointRecord endpoint_;
  std::vector<EndpointId> helpers_;
  FractionalMillis predicted_{0};
  FractionalMillis part_{0};
  TimePoint sent_at_{};
  TimePoint last_bytes_at_{};
  bool was_sent_ = false;
  bool uses_kept_connection_ = false;
  bool trouble_recorded_ = false;
  // Time of the first event of the last attempt; unset before it has arrived.
  std::optional<TimePoint> attempt_first_event_at_;
  std::optional<TimePoint> first_event_at_;
  int send_count_ = 0;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_REQUEST_SENDER_H_
