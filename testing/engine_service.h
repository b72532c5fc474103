// A service of engines as deployments publish them, for tests and benchmarks.

#ifndef HARECRANK_TESTING_ENGINE_SERVICE_H_
#define HARECRANK_TESTING_ENGINE_SERVICE_H_

#include <utility>

#include "harecrank/core/routing_table.h"

namespace harecrank::testing {

// Returns a service of engines that take ten requests at once, hold 315,000
// tokens and read 177 a millisecond.
inline ServiceProfile MakeEngineServiceProfile(ServiceName name) {
  ServiceProfile service;
  service.name = std::move(name);
  EngineProfile& engine = service.engine.emplace();
  engine.slots = 10;
  engine.memory = Tokens{315000};
  engine.step_ms = 0.85;
  engine.step_ms_per_sequence = 0.004;
  engine.step_ms_per_thousand_context = 0.003;
  engine.prefill_tokens_per_ms = 177;
  engine.prefill_ms_per_million_pairs = 0.184;
  engine.steps_per_pass = 80;
  return service;
}

}  // namespace harecrank::testing

#endif  // HARECRANK_TESTING_ENGINE_SERVICE_H_
