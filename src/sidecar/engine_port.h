// Interface between a sidecar and a model engine. Each kind of engine needs its
// own implementation.
//
// The assumptions about an engine are documented in docs/DESIGN.md, "What we
// assume of an engine".

#ifndef HARECRANK_SRC_SIDECAR_ENGINE_PORT_H_
#define HARECRANK_SRC_SIDECAR_ENGINE_PORT_H_

#include <boost/leaf.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "harecrank/core/model_orders.h"
#include "harecrank/core/piece_sequence.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// The following types are the reasons why a call to an engine failed.
//
// The engine rejected the request; nothing ran.
struct EngineRejected {
  int status = 0;
  std::string reason;
};
// No connection could be opened; nothing was sent.
struct EngineUnreachable {
  std::string reason;
};
// The request was sent, but its outcome is unknown.
struct EngineOutcomeUnknown {
  std::string reason;
};
// The engine rejected an order because its fencing token is older than one that
// the engine has seen: the order is based on an outdated configuration.
struct EngineFenceOutdated {};
// The engine sent something that is no piece of the answer. What came before it
// has been passed on.
struct EngineGarbled {
  PieceFault fault;
};
using EngineError =
    std::variant<EngineRejected, EngineUnreachable, EngineOutcomeUnknown,
                 EngineFenceOutdated, EngineGarbled>;

// Returns a human-readable description.
std::string Describe(const EngineError& error);

// Identifies memory that an engine has allocated for a sidecar process.
using AllocationId = StrongString<struct AllocationTag>;

// A segment of a prompt that another engine has prefilled and whose KV cache is
// stored there.
struct RemoteSegment {
  std::string engine_address;
  AllocationId segment;
};

// A request to an engine, either to generate an answer or to prefill one prompt
// segment.
struct EngineRequest {
  AllocationId id;
  // The sidecar process that owns the allocation. After a restart of the
  // sidecar, the new process recognises the old one's allocations by this
  // field.
  Incarnation owner;
  ModelId model;
  AdapterName adapter;
  std::string prompt;
  Tokens answer;
  // Position in the answer at which the output starts.
  std::int64_t resume_from = 0;
  // Scheduling priority; the engine schedules requests with a larger value
  // first.
  int priority = 0;
  // Maximum number of tokens of this prompt that one forward pass may prefill.
  Tokens chunk;
  std::vector<RemoteSegment> segments;
  // Time-out of the call to the engine.
  Millis timeout{0};
};

// One allocation of memory that an engine reports.
struct EngineAllocation {
  AllocationId id;
  Incarnation owner;
  Tokens amount;
};

// State that an engine reports about itself.
struct EngineStatus {
  Tokens memory;
  Tokens used;
  std::vector<EngineAllocation> allocations;
  std::map<std::string, LoadedModel> models;
};

// Sends requests, cancellations and orders of a sidecar to its engine.
// Thread-safe.
class EnginePort {
 public:
  // Generate calls this once the engine has accepted the request.
  using OnAccepted = std::function<void()>;
  // Generate calls this for each token. The callback returns false to stop the
  // generation.
  using OnToken = std::function<bool(std::int64_t position, std::string token)>;

  virtual ~EnginePort() = default;

  // Runs a request to completion. Returns the length of the whole answer in
  // tokens.
  virtual boost::leaf::result<std::int64_t> Generate(
      const EngineRequest& request, const OnAccepted& on_accepted,
      const OnToken& on_token) = 0;

  // Prefills one prompt segment. The engine keeps the segment until Cancel is
  // called with the ID of the request.
  virtual boost::leaf::result<void> Prefill(const EngineRequest& request) = 0;

  // Cancels a request or releases a segment. Does nothing for an unknown ID.
  virtual boost::leaf::result<void> Cancel(const AllocationId& id) = 0;

  virtual boost::leaf::result<EngineStatus> GetStatus() = 0;

  // Sends an order to load or unload a model or an adapter. `fence` is a
  // fencing token; the call fails with EngineFenceOutdated if the engine has
  // seen a newer one.
  virtual boost::leaf::result<void> Order(const EngineOrder& order,
                                          Revision fence) = 0;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_SIDECAR_ENGINE_PORT_H_
