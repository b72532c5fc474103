// What a sidecar asks of a model engine. Another engine's interface takes
// another implementation.
//
// What an engine is assumed to do stands in docs/DESIGN.md, "What we assume of
// an engine".

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

// Why an engine did not do what it was asked.
// It said no: nothing ran.
struct EngineRejected {
  int status = 0;
  std::string reason;
};
// No connection could be had: nothing was sent.
struct EngineUnreachable {
  std::string reason;
};
// It was asked, and what became of that is not known.
struct EngineOutcomeUnknown {
  std::string reason;
};
// An order had an older fence than one before it.
struct EngineFenceOutdated {};
using EngineError = std::variant<EngineRejected, EngineUnreachable,
                                 EngineOutcomeUnknown, EngineFenceOutdated>;

// Returns one sentence for a person.
std::string Describe(const EngineError& error);

// Names what an engine holds for this process.
using AllocationId = StrongString<struct AllocationTag>;

// A part of a prompt that another engine holds.
struct RemoteSegment {
  std::string engine_address;
  AllocationId segment;
};

// Asks for an answer, or for the prefill of one segment.
struct EngineRequest {
  AllocationId id;
  // Who holds what it takes, so that a later process can tell what is left
  // over.
  Incarnation owner;
  ModelId model;
  AdapterName adapter;
  std::string prompt;
  Tokens answer;
  std::int64_t resume_from = 0;
  // Larger goes first.
  int priority = 0;
  // The most of this prompt that one step may prefill.
  Tokens chunk;
  std::vector<RemoteSegment> segments;
  // How long to wait for any one answer.
  Millis timeout{0};
};

// Something an engine holds memory for.
struct EngineAllocation {
  AllocationId id;
  Incarnation owner;
  Tokens amount;
};

// An engine's own account of itself.
struct EngineStatus {
  Tokens memory;
  Tokens used;
  std::vector<EngineAllocation> allocations;
  std::map<std::string, LoadedModel> models;
};

// Calls on one engine. Thread-safe.
class EnginePort {
 public:
  // Called once the engine has taken the request.
  using OnAccepted = std::function<void()>;
  // Takes one token. Returns false to stop.
  using OnToken = std::function<bool(std::int64_t position, std::string token)>;

  virtual ~EnginePort() = default;

  // Runs a request to its end. Returns the length of the whole answer.
  virtual boost::leaf::result<std::int64_t> Generate(
      const EngineRequest& request, const OnAccepted& on_taken,
      const OnToken& on_token) = 0;

  // Prefills one segment and holds it until it is cancelled.
  virtual boost::leaf::result<void> Prefill(const EngineRequest& request) = 0;

  // Ends a request or drops a segment. Does nothing for an unknown id.
  virtual boost::leaf::result<void> Cancel(const AllocationId& id) = 0;

  virtual boost::leaf::result<EngineStatus> GetStatus() = 0;

  // Gives an order under a fence.
  virtual boost::leaf::result<void> Order(const EngineOrder& order,
                                          Revision fence) = 0;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_SIDECAR_ENGINE_PORT_H_
