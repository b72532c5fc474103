// Executes requests that a sidecar has started.

#ifndef HARECRANK_SRC_SIDECAR_WORK_RUNNER_H_
#define HARECRANK_SRC_SIDECAR_WORK_RUNNER_H_

#include <functional>
#include <memory>
#include <string>

#include "src/adapters/body_memory.h"
#include "src/adapters/http_call.h"
#include "src/sidecar/engine_port.h"
#include "src/sidecar/sidecar_stream.h"

namespace harecrank {

// Dependencies of a WorkRunner. All pointers must outlive it.
struct WorkRunnerPorts {
  EnginePort* engine = nullptr;
  // Address at which a plain service is called.
  std::string endpoint_address;
  Incarnation incarnation;
  MonotonicClock clock;
  // For the answers of plain services.
  BodyMemory* answer_memory = nullptr;
  // Sends a message to the stream's entry host. Returns false if the connection
  // is closed.
  std::function<bool(ConnectionId, const wire::Message&)> send;
};

// The parameters of the configured policy that determine how prompts are
// prefilled.
struct PrefillPolicy {
  // Size of the prefill chunks of long prompts: 0 selects the smallest size and
  // 100 the largest.
  int long_weight_percent = 50;
};

// Sends started requests to the engine or the plain service, and the results to
// the entry host. Each call runs one request on the calling thread.
// Thread-safe.
class WorkRunner {
 public:
  explicit WorkRunner(WorkRunnerPorts ports);

  // Runs `stream` to completion and reports the result to the entry host, or to
  // the stream's log if it has one.
  void Run(const std::shared_ptr<SidecarStream>& stream,
           const PrefillPolicy& policy);

  // Sends the tokens of the stream's log to its entry host, including tokens
  // that are appended later, and then the end of the log.
  void Replay(const std::shared_ptr<SidecarStream>& stream);

  // Returns the ID of the engine allocation for the request or reservation
  // `key`.
  AllocationId AllocationIdFor(std::uint64_t key) const;

 private:
  wire::Message Generate(SidecarStream* stream, const PrefillPolicy& policy);
  wire::Message PrefillSegment(SidecarStream* stream,
                               const PrefillPolicy& policy);
  wire::Message CallService(SidecarStream* stream);
  // Holds `bytes` for an answer, and waits for them if others hold too much.
  // Returns false if the request ends before, or if an answer that has not
  // announced its size finds no room to grow for kGrowthPatience.
  bool HoldMemory(const SidecarStream& stream, std::size_t bytes,
                  BodyMemory::Holding* memory) const;
  // Sends the response of a plain service to the entry host. Returns the
  // message that ends the request.
  wire::Message DeliverResponse(SidecarStream* stream,
                                const HttpResponse& response);
  bool Deliver(SidecarStream* stream, std::int64_t position, std::string token);
  EngineRequest MakeRequest(const SidecarStream& stream,
                            const PrefillPolicy& policy) const;
  wire::Message ToMessage(const SidecarStream& stream,
                          const EngineError& error) const;
  Millis TimeLeft(const SidecarStream& stream) const;

  WorkRunnerPorts ports_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_SIDECAR_WORK_RUNNER_H_
