// Chooses the endpoint of a request and the helpers that share its prefill.
//
// Short prompts are packed onto as few engines as can meet their latency
// target, starting at the front of an engine order that all hosts share. Long
// prompts are split into parts that several engines prefill in parallel. A part
// is no larger than the streams on its engine tolerate (prefill_group.h); a
// long prompt waits while too few engines are available. docs/DECISIONS.md
// explains the values.

#ifndef HARECRANK_CORE_PLACEMENT_H_
#define HARECRANK_CORE_PLACEMENT_H_

#include <functional>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

#include "harecrank/core/account_shares.h"
#include "harecrank/core/clock.h"
#include "harecrank/core/endpoint_directory.h"
#include "harecrank/core/endpoint_health.h"
#include "harecrank/core/endpoint_loads.h"
#include "harecrank/core/fleet_messages.h"
#include "harecrank/core/placement_policy.h"
#include "harecrank/core/prefill_group.h"
#include "harecrank/core/request_origin.h"
#include "harecrank/core/routing_table.h"

namespace harecrank {

// Short requests that are expected within a period.
struct ShortDemand {
  double requests = 0;
  // Time that one engine needs to prefill all of them.
  FractionalMillis prefill_time{0};
};

// Input of a placement decision.
struct PlacementRequest {
  const ServiceProfile* service = nullptr;
  // Latency target of the first event, and the longest gap between events that
  // is still within the target.
  Millis target_latency{0};
  Millis target_gap{0};
  // Zero if the request does not state its token count.
  Tokens prompt;
  // Expected length of the answer.
  Tokens answer;
  // Shortest gap that any route to the service allows.
  Millis tightest_gap{0};
  // Time left until the first event is late; negative once it is late.
  FractionalMillis until_late{0};
  // Time left until the caller or the route gives up the request.
  FractionalMillis until_deadline{0};
  RequestOrigin origin;
  // Endpoints that this request was sent to before. They are not chosen again.
  std::set<EndpointId> tried;
  // Endpoints at which the host has no start quota left. They are not chosen
  // now.
  std::set<EndpointId> withheld;
  // An endpoint may already have run the request. It is then placed even if
  // that makes other requests late.
  bool may_have_run = false;
  // Short requests expected at all engines within the latency target.
  ShortDemand demand;
};

// An endpoint that prefills a part of the prompt for the endpoint that decodes.
struct PrefillHelper {
  EndpointRecord record;
  // Part of the request's KV memory that is kept on the helper. Zero unless the
  // decoding engine is too small.
  Tokens held;
};

// Result of a placement decision.
struct Placement {
  // Decodes the answer, and prefills one part of the prompt.
  EndpointRecord endpoint;
  // The prompt is split evenly among the endpoint and these helpers.
  std::vector<PrefillHelper> helpers;
  WorkClass work_class = WorkClass::kShort;
  // Prefill time of each part.
  FractionalMillis prefill_time{0};
  // Predicted time to the first event.
  FractionalMillis first_event{0};
  // Number of endpoints that were considered.
  std::size_t candidates = 0;
};

// All suitable engines have too much to prefill at present, or all endpoints
// are withheld.
struct EnginesBusy {};
using PlacementResult = std::variant<Placement, NoEndpoint, EnginesBusy>;

// Returns whether a request of `needed` tokens exceeds the memory of an idle
// engine of `service`.
bool IsOversize(const ServiceProfile& service, Tokens needed);

// Returns whether the prompt's prefill fits between two events of any stream.
// The request's service must have an engine.
bool IsShortPrompt(const PlacementRequest& request,
                   const PlacementPolicy& policy);

// Returns the engine time that `request` takes from its account's fair share.
// The request's service must have an engine. If `by_account` is false, all
// requests count for one account.
ShareClaim ClaimOf(const PlacementRequest& request, bool by_account);

// Returns the work that `placement` starts at each endpoint, beginning with the
// endpoint that decodes.
std::vector<WorkPart> PartsOf(const Placement& placement,
                              const PlacementRequest& request);

// The set of hosts whose work is included in the known loads.
enum class LoadScope {
  // All hosts. Short requests are packed from the front of a shared engine
  // order.
  kAllHosts,
  // Only this host. Hosts that see the same idle engines would all choose the
  // same one, so each uses an order of its own and does not pack requests.
  kThisHost
};

// Chooses endpoints for requests. Not thread-safe.
class Placer {
 public:
  // All pointers must outlive the placer. `self` is this host's data centre.
  // `placing_hosts` returns the number of hosts, including this one, that place
  // requests without knowing each other's placements.
  Placer(const EndpointDirectory* directory, const EndpointLoads* loads,
         const EndpointHealth* health, DataCentreId self, LoadScope scope,
         std::function<int()> placing_hosts, const PlacementPolicy& policy,
         RandomSource random);

  // Returns a placement, EnginesBusy if the request should wait, or NoEndpoint
  // if no endpoint of the service can be used.
  PlacementResult Choose(const PlacementRequest& request) const;

 private:
  // Returns the usable endpoints. Suspect ones are included only if there are
  // no others.
  std::vector<EngineCandidate> CandidatesFor(
      const PlacementRequest& request) const;
  // Returns whether an endpoint is withheld that the request has not tried yet.
  bool HasWithheldEndpoint(const PlacementRequest& request) const;
  // Sorts by descending rank in the engine order.
  void SortByRank(std::vector<EngineCandidate>* candidates) const;
  // For services without an engine profile: takes the endpoint with the least
  // requests, preferring this data centre.
  Placement ChoosePlain(const std::vector<EngineCandidate>& candidates) const;
  // Returns whether an idle engine can deliver the first event within the
  // target.
  static bool CanMeetTargetWhenIdle(const PlacementRequest& request);
  // Takes the engine with the earliest predicted first event, even if it is
  // late.
  Placement ChooseShort(const PlacementRequest& request,
                        const std::vector<EngineCandidate>& ranked) const;
  // Takes an engine that meets the request's target and makes no other request
  // late. Returns EnginesBusy if there is none. The target is disregarded if
  // even an idle engine would miss it.
  PlacementResult ChooseShortWithinTarget(
      const PlacementRequest& request,
      const std::vector<EngineCandidate>& ranked) const;
  // Returns the predicted time to the first event on `candidate`. Returns
  // nothing if the engine has no free slot or memory, if the request would make
  // others late there, or if it would be late although an idle engine would
  // meet its target. `reserve` is capacity to leave free for expected short
  // requests.
  std::optional<FractionalMillis> PredictShortFirstEvent(
      const PlacementRequest& request, const EngineCandidate& candidate,
      const ShortDemand& reserve) const;
  PlacementResult ChooseLong(const PlacementRequest& request,
                             std::vector<EngineCandidate> ranked) const;
  // Returns nothing if the group's memory cannot hold the request.
  std::optional<Placement> PlaceOn(const PlacementRequest& request,
                                   const PrefillGroup& group) const;
  // Assigns `overflow` tokens of KV memory to the placement's helpers. Returns
  // false if they cannot hold it.
  static bool DistributeMemory(const EngineProfile& engine,
                               const PrefillGroup& group, Tokens overflow,
                               Placement* placement);
  // Returns how many engines at the front of the order are reserved for short
  // requests, out of `engines`.
  std::size_t EnginesForShort(const EngineProfile& engine,
                              std::size_t engines) const;
  // Returns a random number between 0 and 1.
  double UniformRandom() const;
  // Returns the width of the random jitter added to predicted times, so that
  // hosts with the same knowledge do not all choose the same engine.
  FractionalMillis TimeJitter(const PlacementRequest& request) const;

  const EndpointDirectory* directory_;
  const EndpointLoads* loads_;
  const EndpointHealth* health_;
  DataCentreId self_;
  LoadScope scope_;
  // Hash key of the engine order: shared by all hosts, or random for this host.
  std::string order_key_;
  std::function<int()> placing_hosts_;
  PlacementPolicy policy_;
  RandomSource random_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_PLACEMENT_H_
