#include "src/gateway/endpoint_response_handler.h"

#include <utility>

namespace harecrank {

EndpointResponseHandler::EndpointResponseHandler(
    const EndpointDirectory* directory, EndpointHealth* health,
    EndpointUpdater* endpoint_updater, StartLimiter* start_limiter,
    BackoffNotifier* backoff_notifier, std::function<void()> on_endpoint_fault)
    : directory_(directory),
      health_(health),
      endpoint_updater_(endpoint_updater),
      start_limiter_(start_limiter),
      backoff_notifier_(backoff_notifier),
      on_news_(std::move(on_endpoint_fault)) {}

void EndpointResponseHandler::OnAnswer(const EndpointRecord& endpoint,
                                       const EndpointResponse& answer,
                                       TimePoint sent_at) {
  const EndpointRecord* held = directory_->Find(endpoint.id);
  const bool is_of_earlier_incarnation =
      held != nullptr && held->incarnation != endpoint.incarnation;
  if (answer.IsMisdirected() || is_of_earlier_incarnation) {
    return;
  }
  TakeLimit(endpoint.id, answer, sent_at);
  start_limiter_->OnBackoffHint(endpoint, answer.backoff);
  if (!std::holds_alternative<NoBackoff>(answer.backoff)) {
    backoff_notifier_->NotifyBackoff();
  }
  TakeLeaving(endpoint, answer.leaving);
}

void EndpointResponseHandler::TakeLeaving(const EndpointRecord& endpoint,
                                          LeavingHint word) {
  const bool is_readable = word == LeavingHint::kLeaving;
  if (word == LeavingHint::kNone ||
      !endpoint_updater_->OnLeaveAnnounced(endpoint, is_readable)) {
    return;
  }
  // Hosts that have not been told themselves leave it alone for a while, too.
  health_->OnReportedAtFault(endpoint.id);
  on_news_();
}

void EndpointResponseHandler::TakeLimit(const EndpointId& endpoint,
                                        const EndpointResponse& answer,
                                        TimePoint sent_at) {
  const bool names_none = std::holds_alternative<NoRateLimit>(answer.limit);
  if (names_none && !(answer.IsSuccess() && answer.is_signed)) {
    return;  // Refusals and failures may be given without a look at the need.
  }
  if (start_limiter_->OnAnswer(endpoint, answer.limit, sent_at)) {
    on_news_();
  }
}

}  // namespace harecrank
