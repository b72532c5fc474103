// Takes what endpoints say of themselves in their answers into what this host
// knows of them.

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

// The one place where such words are acted on, whoever got the answer. Not
// thread-safe.
class EndpointResponseHandler {
 public:
  // All pointers must outlive this. `on_endpoint_fault` is called when other
  // hosts should hear of it soon.
  EndpointResponseHandler(const EndpointDirectory* directory,
                          EndpointHealth* health,
                          EndpointUpdater* endpoint_updater,
                          StartLimiter* start_limiter,
                          BackoffNotifier* backoff_notifier,
                          std::function<void()> on_change);

  // Takes the answer to what was sent to `endpoint` at `sent_at`. One that
  // comes from an earlier incarnation of it says nothing of the present one.
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
