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
#include "harecrank/core/strong_types.h"

namespace harecrank {

// Reasons why a call to an engine failed.
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
// The fencing token of the order is older than one that the engine has seen.
struct EngineFenceOutdated {};
using EngineError = std::variant<EngineRejected, EngineUnreachable,
                                 EngineOutcomeUnknown, EngineFenceOutdated>;

// Returns a human-readable description.
std::string Describe(const EngineError& error);

// Identifies memory that an engine has allocated for this process.
using AllocationId = StrongString<struct AllocationTag>;

// A prompt segment whose KV cache is in another engine.
struct RemoteSegment {
  std::string engine_address;
  AllocationId segment;
};

// A request to generate an answer or to prefill one segment.
struct EngineRequest {
  AllocationId id;
  // The process that owns the allocation. It allows a later process to
  // recognise orphaned allocations.
  Incarnation owner;
  ModelId model;
  AdapterName adapter;
  std::string prompt;
  Tokens answer;
  std::int64_t resume_from = 0;
  // Requests with a larger value are scheduled first.
  int priority = 0;
  // Maximum number of tokens of this prompt that one forward pass may prefill.
  Tokens chunk;
  std::vector<RemoteSegment> segments;
  // Time-out of the engine call.
  Millis timeout{0};
};

// Memory that an engine has allocated.
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

// Client of one engine. Thread-safe.
class EnginePort {
 public:
  // Called when the engine has accepted the request.
  using OnAccepted = std::function<void()>;
  // Called with each token. Returns false to stop the generation.
  using OnToken = std::function<bool(std::int64_t position, std::string token)>;

  virtual ~EnginePort() = default;

  // Runs a request to completion. Returns the length of the whole answer in
  // tokens.
  virtual boost::leaf::result<std::int64_t> Generate(
      const EngineRequest& request, const OnAccepted& on_accepted,
      const OnToken& on_token) = 0;

  // Prefills one segment and keeps it until it is cancelled.
  virtual boost::leaf::result<void> Prefill(const EngineRequest& request) = 0;

  // Cancels a request or releases a segment. Does nothing for an unknown ID.
  virtual boost::leaf::result<void> Cancel(const AllocationId& id) = 0;

  virtual boost::leaf::result<EngineStatus> GetStatus() = 0;

  // Sends an order with the fencing token `fence`. Fails if the engine has seen
  // a newer token.
  virtual boost::leaf::result<void> Order(const EngineOrder& order,
                                          Revision fence) = 0;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_SIDECAR_ENGINE_PORT_H_
