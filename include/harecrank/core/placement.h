// Which endpoint takes a request, and which others help to read its prompt.
//
// Short prompts are packed onto as few engines as keep them in time, from one
// end of an order that all hosts share. Long ones are read in parts, each as
// large as the streams of its engine bear (prefill_group.h), and wait while
// there are too few such engines. docs/DECISIONS.md gives the figures.

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

// Short requests that arrive in some time.
struct ShortDemand {
  double requests = 0;
  // How long one engine reads them all.
  FractionalMillis prefill_time{0};
};

// What a decision needs to know of a request.
struct PlacementRequest {
  const ServiceProfile* service = nullptr;
  // Within this the first event is in time, and the longest pause between
  // events that still is.
  Millis target_latency{0};
  Millis target_gap{0};
  // Zero where the request tells no tokens.
  Tokens prompt;
  // The likely length of the answer.
  Tokens answer;
  // The shortest pause between events that any route to the service allows.
  Millis tightest_gap{0};
  // What is left until the first event is late.
  FractionalMillis until_late{0};
  // What is left until its caller, or its route, gives it up.
  FractionalMillis until_deadline{0};
  RequestOrigin origin;
  // Endpoints that this request has been sent to, which are not asked again.
  std::set<EndpointId> tried;
  // Cold endpoints that may not be sent anything just now.
  std::set<EndpointId> withheld;
  // An endpoint may have run it: it is placed even where others become late.
  bool may_have_run = false;
  // Short requests that are expected at all engines while a target's time
  // passes.
  ShortDemand demand;
};

// An endpoint that reads a part of a prompt.
struct PrefillHelper {
  EndpointRecord record;
  // How much of the prompt's memory lies there; zero in most cases.
  Tokens held;
};

// Where a request goes.
struct Placement {
  EndpointRecord endpoint;
  // Each reads an even part of the prompt.
  std::vector<PrefillHelper> helpers;
  WorkClass work_class = WorkClass::kShort;
  // How long each of them reads.
  FractionalMillis prefill_time{0};
  // Until the first event, as predicted.
  FractionalMillis first_event{0};
  // How many endpoints there were to choose from.
  std::size_t candidates = 0;
};

// All engines that could read the prompt have enough to read for now, or all
// endpoints are withheld.
struct EnginesBusy {};
using PlacementResult = std::variant<Placement, NoEndpoint, EnginesBusy>;

// Returns whether the memory of one engine of `service` cannot hold a request
// that needs `needed` tokens, even if it holds nothing else.
bool IsOversize(const ServiceProfile& service, Tokens needed);

// Returns whether an engine reads the prompt so quickly that it may join any
// stream.
bool IsShortPrompt(const PlacementRequest& request,
                   const PlacementPolicy& policy);

// Returns what `request` takes of its account's share; its service must have an
// engine. With `by_account` off all requests are of one account.
ShareClaim ClaimOf(const PlacementRequest& request, bool by_account);

// Returns what `placement` puts under way, the endpoint's part first.
std::vector<WorkPart> PartsOf(const Placement& placement,
                              const PlacementRequest& request);

// Whose work the loads tell.
enum class LoadScope {
  // All hosts' work: engines are packed from one end of a shared order.
  kAllHosts,
  // This host's alone. Hosts that see the same empty engines would all choose
  // the same, so each has an order of its own and packs nothing.
  kThisHost
};

// Chooses endpoints. Not thread-safe; reads what it was built on.
class Placer {
 public:
  // All of them must outlive this. `self` is this host's data centre. `hosts`
  // returns how many hosts place requests without knowing of each other's, this
  // one among them.
  Placer(const EndpointDirectory* directory, const EndpointLoads* loads,
         const EndpointHealth* health, DataCentreId self, LoadScope scope,
         std::function<int()> placing_hosts, const PlacementPolicy& policy,
         RandomSource random);

  PlacementResult Choose(const PlacementRequest& request) const;

 private:
  std::vector<EngineCandidate> CandidatesFor(
      const PlacementRequest& request) const;
  // Whether an endpoint that has not been tried is withheld.
  bool HasWithheldEndpoint(const PlacementRequest& request) const;
  void SortByRank(std::vector<EngineCandidate>* candidates) const;
  Placement ChoosePlain(const std::vector<EngineCandidate>& candidates) const;
  // Whether the first event of `request` can be in time on an idle engine.
  static bool CanMeetTargetWhenIdle(const PlacementRequest& request);
  Placement ChooseShort(const PlacementRequest& request,
                        const std::vector<EngineCandidate>& ranked) const;
  // Takes an engine on which the request is in time and makes nobody late.
  PlacementResult ChooseShortWithinTarget(
      const PlacementRequest& request,
      const std::vector<EngineCandidate>& ranked) const;
  // Returns until when `candidate` would bring the first event, or nothing if
  // it has no room or others there would be late.
  std::optional<FractionalMillis> PredictShortFirstEvent(
      const PlacementRequest& request, const EngineCandidate& candidate,
      const ShortDemand& reserve) const;
  PlacementResult ChooseLong(const PlacementRequest& request,
                             std::vector<EngineCandidate> ranked) const;
  // Returns nothing if the memory of `group` does not hold the request.
  std::optional<Placement> PlaceOn(const PlacementRequest& request,
                                   const PrefillGroup& group) const;
  // Lays `beyond` tokens on the placement's helpers. Returns false if they do
  // not hold it.
  static bool DistributeMemory(const EngineProfile& engine,
                               const PrefillGroup& group, Tokens overflow,
                               Placement* placement);
  std::size_t EnginesForShort(const EngineProfile& engine,
                              std::size_t engines) const;
  // Returns a random number from 0 to 1.
  double UniformRandom() const;
  // Returns how widely predicted times are spread for `request`, so that hosts
  // that know the same do not all choose the same engine.
  FractionalMillis TimeJitter(const PlacementRequest& request) const;

  const EndpointDirectory* directory_;
  const EndpointLoads* loads_;
  const EndpointHealth* health_;
  DataCentreId self_;
  LoadScope scope_;
  // The key of the order of engines: of all hosts, or of this one.
  std::string order_key_;
  std::function<int()> placing_hosts_;
  PlacementPolicy policy_;
  RandomSource random_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_PLACEMENT_H_
