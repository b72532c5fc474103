// Updates this host's state with what endpoints report about themselves in
// their responses.

#ifndef HARECRANK_SRC_GATEWAY_ENDPOINT_RESPONSE_HANDLER_H_
#define HARECRANK_SRC_GATEWAY_ENDPOINT_RESPONSE_HANDLER_H_

#include <functional>

#include "harecrank/core/endpoint_directory.h"
#include "harecrank/core/endpoint_health.h"
#include "harecrank/core/endpoint_response.h"
#include "src/gateway/backoff_notifier.h"
#include "src/gateway/endpoint_updater.h"
#include "src/gateway/start_limiter.h"

namespace harecrank {

// Applies the rate limits, back-offs and shutdown announcements in endpoints'
// responses. All parts of the gateway that receive responses pass them here,
// and no other class applies these hints. Not thread-safe.
class EndpointResponseHandler {
 public:
  // All pointers must outlive this. `on_change` is called when a response has
  // changed a rate limit or announced a shutdown, so that other hosts should be
  // informed soon.
  EndpointResponseHandler(const EndpointDirectory* directory,
                          EndpointHealth* health,
                          EndpointUpdater* endpoint_updater,
                          StartLimiter* start_limiter,
                          BackoffNotifier* backoff_notifier,
                          std::function<void()> on_change);

  // Applies the response to a request that was sent to `endpoint` at `sent_at`.
  // A response is ignored if it comes from another incarnation than the current
  // one or if the request was misdirected.
  void OnAnswer(const EndpointRecord& endpoint,
                const EndpointResponse& response, TimePoint sent_at);

 private:
  void ApplyRateLimit(const EndpointId& endpoint,
                      const EndpointResponse& response, TimePoint sent_at);
  void ApplyLeavingHint(const EndpointRecord& endpoint, LeavingHint hint);

  const EndpointDirectory* directory_;
  EndpointHealth* health_;
  EndpointUpdater* endpoint_updater_;
  StartLimiter* start_limiter_;
  BackoffNotifier* backoff_notifier_;
  std::function<void()> on_change_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_ENDPOINT_RESPONSE_HANDLER_H_
