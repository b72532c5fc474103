// Runs the requests that a sidecar has decided to start, each on a thread of a
// bounded pool.

#ifndef HARECRANK_SRC_SIDECAR_WORK_RUNNER_H_
#define HARECRANK_SRC_SIDECAR_WORK_RUNNER_H_

#include <functional>
#include <memory>
#include <string>

#include "src/sidecar/engine_port.h"
#include "src/sidecar/sidecar_stream.h"

namespace harecrank {

// What a runner is made from. All must outlive it.
struct WorkRunnerPorts {
  EnginePort* engine = nullptr;
  // Where plain services are called.
  std::string endpoint_address;
  Incarnation incarnation;
  MonotonicClock clock;
  // Sends a message to the stream's entry host. Returns false if it is gone.
  std::function<bool(ConnectionId, const wire::Message&)> send;
};

// How the policy in force weighs prefill.
struct PrefillPolicy {
  int long_weight_percent = 50;
};

// Runs one request at a time on the caller's thread. Thread-safe.
class WorkRunner {
 public:
  explicit WorkRunner(WorkRunnerPorts ports);

  // Runs `stream` to its end and tells the entry host, or the stream's log,
  // how it went.
  void Run(const std::shared_ptr<SidecarStream>& stream,
           const PrefillPolicy& policy);

  // Sends what the log of a request holds, and what is still to come, to
  // `stream`.
  void Replay(const std::shared_ptr<SidecarStream>& stream);

  // Returns the name under which the engine holds what `key` takes.
  AllocationId AllocationIdFor(std::uint64_t key) const;

 private:
  wire::Message Generate(SidecarStream* stream, const PrefillPolicy& policy);
  wire::Message PrefillSegment(SidecarStream* stream,
                               const PrefillPolicy& policy);
  wire::Message CallService(SidecarStream* stream);
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
