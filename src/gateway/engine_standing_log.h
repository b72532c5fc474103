// Logs when an engine turns out to be slow or to fail often, and when it is
// sound again.

#ifndef HARECRANK_SRC_GATEWAY_ENGINE_STANDING_LOG_H_
#define HARECRANK_SRC_GATEWAY_ENGINE_STANDING_LOG_H_

#include <map>

#include "harecrank/core/endpoint_health.h"
#include "src/adapters/event_log.h"
#include "src/adapters/metrics.h"

namespace harecrank {

// Returns the name of a standing in log lines and dumps.
const char* NameOf(EngineStanding standing);

// Compares the standings of the engines from one call to the next. Engines that
// are only suspected are not logged, since most of them are sound.
class EngineStandingLog {
 public:
  // All pointers must outlive this.
  EngineStandingLog(const EndpointHealth* health, EventLog* log,
                    Metrics* metrics);

  // To be called a few times a second. Logs each change since the last call.
  void Tick();

 private:
  const EndpointHealth* health_;
  EventLog* log_;
  Metrics* metrics_;
  // The slow and failing engines at the last call.
  std::map<EndpointId, EngineStanding> last_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_ENGINE_STANDING_LOG_H_
