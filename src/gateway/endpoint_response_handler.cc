#include "src/gateway/endpoint_response_handler.h"

#include <utility>

namespace harecrank {

EndpointResponseHandler::EndpointResponseHandler(
    const EndpointDirectory* directory, EndpointHealth* health,
    EndpointUpdater* endpoint_updater, StartLimiter* start_limiter,
    BackoffNotifier* backoff_notifier, std::function<void()> on_change)
    : directory_(directory),
      health_(health),
      endpoint_updater_(endpoint_updater),
      start_limiter_(start_limiter),
      backoff_notifier_(backoff_notifier),
      on_change_(std::move(on_change)) {}

void EndpointResponseHandler::OnAnswer(const EndpointRecord& endpoint,
                                       const EndpointResponse& response,
                                       TimePoint sent_at) {
  const EndpointRecord* known = directory_->Find(endpoint.id);
  const bool is_of_earlier_incarnation =
      known != nullptr && known->incarnation != endpoint.incarnation;
  if (response.IsMisdirected() || is_of_earlier_incarnation) {
    return;
  }
  ApplyRateLimit(endpoint.id, response, sent_at);
  start_limiter_->OnBackoffHint(endpoint, response.backoff);
  if (!std::holds_alternative<NoBackoff>(response.backoff)) {
    backoff_notifier_->NotifyBackoff();
  }
  ApplyLeavingHint(endpoint, response.leaving);
}

void EndpointResponseHandler::ApplyLeavingHint(const EndpointRecord& endpoint,
                                               LeavingHint hint) {
  const bool is_readable = hint == LeavingHint::kLeaving;
  if (hint == LeavingHint::kNone ||
      !endpoint_updater_->OnLeaveAnnounced(endpoint, is_readable)) {
    return;
  }
  // Marks the endpoint as at fault. This is reported to the other hosts, which
  // then avoid the endpoint for a while, too.
  health_->OnReportedAtFault(endpoint.id);
  on_change_();
}

void EndpointResponseHandler::ApplyRateLimit(const EndpointId& endpoint,
                                             const EndpointResponse& response,
                                             TimePoint sent_at) {
  const bool has_no_limit = std::holds_alternative<NoRateLimit>(response.limit);
  if (has_no_limit && !(response.IsSuccess() && response.is_signed)) {
    // An endpoint may reject or fail a request before it checks its own load,
    // so the absence of a rate limit in such a response does not mean that the
    // limit has ended.
    return;
  }
  if (start_limiter_->OnAnswer(endpoint, response.limit, sent_at)) {
    on_change_();
  }
}

}  // namespace harecrank
