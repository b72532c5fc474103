// Which endpoint takes a request.
//
// Three policies stand side by side, so that each can be measured against the
// others: random choice, least loaded, and the length-aware one that ships.

#ifndef HARECRANK_CORE_ROUTER_H_
#define HARECRANK_CORE_ROUTER_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "harecrank/core/clock.h"
#include "harecrank/core/fair_queue.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// What a sidecar reports of its endpoint's load. Always somewhat old.
struct LoadReport {
  // Work that waits or has begun prefill, in tokens, by class.
  Tokens short_backlog;
  Tokens long_backlog;
  // Memory that no lease holds.
  Tokens free_memory;
  Tokens memory;
  int running = 0;
};

// One endpoint as an entry host sees it at the moment of a decision.
struct EndpointView {
  EndpointId id;
  LoadReport load;
  // Work this host sent since the report, in tokens.
  Tokens unreported;
  // How well the endpoint's cache suits this prompt: 0 for not at all, or the
  // rendezvous rank among its peers, 1 for the first.
  int affinity_rank = 0;
};

// What a decision needs to know of a request.
struct RouteRequest {
  LengthClass length = LengthClass::kShort;
  Tokens prompt;
  Tokens answer;
};

// Picks any endpoint with equal chance. A baseline.
struct RandomPolicy {};

// Picks the endpoint with the least work, and asks nothing of lengths. A
// baseline.
struct LeastLoadedPolicy {};

// Keeps short requests from waiting behind long ones.
struct LengthAwarePolicy {
  // 0 to 100; see the schema's Policy.long_weight_percent.
  int long_weight_percent = 50;
};

using RoutingPolicy =
    std::variant<RandomPolicy, LeastLoadedPolicy, LengthAwarePolicy>;

// Returns the policy called `name` ("random", "least_loaded" or
// "length_aware"), or nothing.
std::optional<RoutingPolicy> RoutingPolicyFromName(const std::string& name,
                                                   int long_weight_percent);

// Returns the index of the endpoint to use, or nothing if `endpoints` is empty.
std::optional<std::size_t> Route(const RoutingPolicy& policy,
                                 const RouteRequest& request,
                                 const std::vector<EndpointView>& endpoints,
                                 const RandomSource& random);

// Returns among how many of `endpoints` to spread a long prompt that one could
// hold: all of them, but never so many that a part would be smaller than
// kMinPrefillPart, and one at least.
std::size_t PrefillPartCount(Tokens prompt, std::size_t endpoints);
constexpr Tokens kMinPrefillPart{8000};

}  // namespace harecrank

#endif  // HARECRANK_CORE_ROUTER_H_
