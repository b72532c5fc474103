// Chooses the endpoint of a request and the helpers that share its prefill.
//
// Short prompts are packed onto as few engines as can meet their latency
// target, starting at the front of an engine order that all hosts share. Long
// prompts are split into parts that several engines prefill in parallel. The
// size of each part is limited so that the streams on its engine do not pause
// for too long (prefill_group.h). A long prompt waits while too few engines are
// available. docs/DECISIONS.md explains the values.

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
#include "harecrank/core/engine_timetable.h"
#include "harecrank/core/fleet_messages.h"
#include "harecrank/core/placement_policy.h"
#include "harecrank/core/prefill_group.h"
#include "harecrank/core/region_rule.h"
#include "harecrank/core/request_origin.h"
#include "harecrank/core/routing_table.h"

namespace harecrank {

// The short requests that are expected to arrive within a period.
struct ShortDemand {
  double requests = 0;
  // Time that one engine needs to prefill all these requests.
  FractionalMillis prefill_time{0};
};

// The engines on which parts of long prompts are planned for later.
struct LaterParts {
  // The planned starts; null if nothing is planned. Must outlive this.
  const PlannedStarts* starts = nullptr;
  // Parts that start at this time or later are disregarded.
  TimePoint before{};

  // Returns whether a part is planned on the engine before `before`.
  bool Includes(const EndpointId& engine) const;
};

// A request to be placed, as Placer::Choose needs it.
struct PlacementRequest {
  const ServiceProfile* service = nullptr;
  // Latency target of the first event, and the longest inter-token gap that is
  // within the target.
  Millis target_latency{0};
  Millis target_gap{0};
  // Length of the prompt; zero if the request does not state it.
  Tokens prompt;
  // Expected length of the answer.
  Tokens answer;
  // Shortest target for the inter-token gap of any route to the service.
  Millis tightest_gap{0};
  // Time left until the first event is late; negative once it is late.
  FractionalMillis until_late{0};
  // Time left until the caller or the route gives up the request.
  FractionalMillis until_deadline{0};
  RequestOrigin origin;
  // Endpoints that this request was sent to before. They are not chosen again.
  std::set<EndpointId> tried;
  // Endpoints at which the requesting host may not start a request now, because
  // its start quota is used up. They are not chosen now.
  std::set<EndpointId> withheld;
  // The data centres in which the request may run. Endpoints in others are not
  // chosen.
  PermittedDataCentres permitted;
  // Whether an endpoint may already have run the request. Such a request is
  // placed even if that makes other requests late.
  bool may_have_run = false;
  // Whether the request may be executed more than once.
  bool may_repeat = false;
  // Short requests that are expected to arrive, at all engines together, within
  // a period as long as the latency target.
  ShortDemand demand;
  // Parts of long prompts that are planned to start while this request runs.
  LaterParts later_parts;
};

// An endpoint that prefills a part of the prompt for the endpoint that decodes.
struct PrefillHelper {
  EndpointRecord record;
  // Number of tokens of the request's KV memory that the helper holds. Zero
  // unless the engine that decodes has too little free memory.
  Tokens held;
};

// The endpoints chosen for a request, with the predictions on which the choice
// is based.
struct Placement {
  // Decodes the answer, and prefills the whole prompt or, if there are helpers,
  // one part of it.
  EndpointRecord endpoint;
  // The prompt is split evenly among the endpoint and these helpers.
  std::vector<PrefillHelper> helpers;
  WorkClass work_class = WorkClass::kShort;
  // Prefill time of each prompt part.
  FractionalMillis prefill_time{0};
  // Predicted time to the first event.
  FractionalMillis first_event{0};
  // Predicted time from the first event to the end of the answer; zero if it is
  // unknown.
  FractionalMillis decode_time{0};
  // Number of endpoints among which the placer chose.
  std::size_t candidates = 0;
};

// The request cannot be placed now and should wait: no suitable engine has
// enough free capacity at present, or the requesting host may not start
// requests now at any usable endpoint that the request has not tried yet.
struct EnginesBusy {};
// The outcome of Placer::Choose.
using PlacementResult = std::variant<Placement, NoEndpoint, EnginesBusy>;

// Returns whether a request that needs `needed` tokens of KV memory exceeds the
// memory of an idle engine of `service`.
bool IsOversize(const ServiceProfile& service, Tokens needed);

// Returns whether the prompt is short: its prefill fits between two events of
// any stream. The request's service must have an engine.
bool IsShortPrompt(const PlacementRequest& request,
                   const PlacementPolicy& policy);

// Returns the prompt of `request` as the choice of engines needs it. The
// request's service must have an engine.
LongPrompt LongPromptOf(const PlacementRequest& request);

// Returns the engine time that is counted against the fair share of the
// request's account. The request's service must have an engine. If `by_account`
// is false, all requests are counted for the same account.
ShareClaim ClaimOf(const PlacementRequest& request, bool by_account);

// Returns the work that `placement` starts at each endpoint, beginning with the
// endpoint that decodes.
std::vector<WorkPart> PartsOf(const Placement& placement,
                              const PlacementRequest& request);

// The hosts whose work is included in the loads that a placer sees.
enum class LoadScope {
  // The loads include the work of all hosts. Short requests are packed from the
  // front of a shared engine order.
  kAllHosts,
  // The loads include only the work of this host. Hosts that see the same idle
  // engines would all choose the same one. Therefore each host uses a random
  // engine order of its own and does not pack requests.
  kThisHost
};

// Chooses the endpoint and the helpers of each request from the loads and the
// health of the endpoints. Not thread-safe.
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

  // Returns when and for how large a part each usable engine of the request's
  // service is available, whether or not the request may be sent there.
  // Suspect engines are returned only if there are no others. The service must
  // have an engine.
  std::vector<EngineAvailability> EnginesOf(const PlacementRequest& request,
                                            TimePoint now) const;

  // Returns the placement of the request on `group`, or nothing if the memory
  // of the group cannot hold the request.
  std::optional<Placement> PlaceOn(const PlacementRequest& request,
                                   const PrefillGroup& group) const;

  // Returns the predicted time from the first event to the end of the answer,
  // on an engine with `load`. The request's service must have an engine.
  static FractionalMillis DecodeTimeOn(const PlacementRequest& request,
                                       const EndpointLoad& load);

 private:
  // Returns the usable endpoints that the request may use now (MayUse). Suspect
  // endpoints are returned only if there are no others.
  std::vector<EngineCandidate> CandidatesFor(
      const PlacementRequest& request) const;
  // Returns whether there is a usable and eligible endpoint at which the
  // requesting host may not start a request now.
  bool HasWithheldEndpoint(const PlacementRequest& request) const;
  // Sets the ranks of the candidates in the engine order, and sorts them by
  // descending rank.
  void SortByRank(std::vector<EngineCandidate>* candidates) const;
  // Chooses an endpoint of a service without an engine profile: the one with
  // the fewest requests, with a preference for this data centre.
  Placement ChoosePlain(const std::vector<EngineCandidate>& candidates) const;
  // Returns the predicted time to the first event of a request that is sent to
  // an engine with `load` and `pace`.
  static FractionalMillis PredictFirstEvent(const EngineProfile& engine,
                                            const EndpointLoad& load,
                                            double pace,
                                            FractionalMillis prefill_time);
  // Returns the time that is added to the prediction for an engine in
  // `request.later_parts`.
  FractionalMillis LaterPartCost(const PlacementRequest& request) const;
  // Returns whether an idle engine would deliver the first event before it is
  // late.
  static bool CanMeetTargetWhenIdle(const PlacementRequest& request);
  // Chooses the engine with the earliest predicted first event for a short
  // prompt, even if that event is late.
  Placement ChooseShort(const PlacementRequest& request,
                        const std::vector<EngineCandidate>& ranked) const;
  // Chooses an engine that delivers the first event of a short prompt within
  // its target and on which no other request becomes late. Returns EnginesBusy
  // if there is none. The target is disregarded if even an idle engine would
  // miss it.
  PlacementResult ChooseShortWithinTarget(
      const PlacementRequest& request,
      const std::vector<EngineCandidate>& ranked) const;
  // Returns the predicted time to the first event on `candidate`. Returns
  // nothing if the engine has no free slot or memory, if the request would make
  // others late there, or if it would be late although an idle engine would
  // meet its target. `reserve` is the demand of expected short requests for
  // which capacity must stay free on the engine.
  std::optional<FractionalMillis> PredictShortFirstEvent(
      const PlacementRequest& request, const EngineCandidate& candidate,
      const ShortDemand& reserve) const;
  // Chooses the engines that prefill a long prompt together. Returns
  // EnginesBusy if too few are available or their memory cannot hold the
  // request.
  PlacementResult ChooseLong(const PlacementRequest& request,
                             std::vector<EngineCandidate> ranked) const;
  // Marks the first of `ranked` as reserved for short requests, and leaves at
  // least one unmarked. `ranked` must not be empty.
  void MarkReservedForShort(const EngineProfile& engine,
                            std::vector<EngineCandidate>* ranked) const;
  // Assigns `overflow` tokens of KV memory to the placement's helpers. Returns
  // false if they cannot hold it.
  static bool DistributeMemory(const EngineProfile& engine,
                               const PrefillGroup& group, Tokens overflow,
                               Placement* placement);
  // Returns how many of `engines` engines are reserved for short requests.
  // These are the first ones in the engine order.
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
  // Rendezvous key of the engine order. With LoadScope::kAllHosts all hosts use
  // the same key; with kThisHost the key is random.
  std::string order_key_;
  std::function<int()> placing_hosts_;
  PlacementPolicy policy_;
  RandomSource random_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_PLACEMENT_H_
