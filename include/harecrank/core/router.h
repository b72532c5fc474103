// Load balancing: selects the endpoint for a request.
//
// There are three policies: random, least loaded and length-aware. The
// length-aware policy is meant for production; the others are baselines for
// comparison.

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

// The load of an endpoint. The sidecar reports it periodically, so the values
// lag behind the actual load.
struct LoadReport {
  // Queued and running work by length class, in tokens.
  Tokens short_backlog;
  Tokens long_backlog;
  // KV memory that is not leased to a request.
  Tokens free_memory;
  // Total KV memory of the endpoint.
  Tokens memory;
  // Number of running requests.
  int running = 0;
};

// The state of an endpoint as an entry host knows it when it routes a request.
struct EndpointView {
  EndpointId id;
  LoadReport load;
  // Work, in tokens, that this host has sent to the endpoint since `load` was
  // reported.
  Tokens unreported;
  // Rank of the endpoint by rendezvous hashing of the prompt's prefix. The
  // endpoint with rank 1 probably has the prefix in its cache; 0 means that the
  // endpoint is not ranked.
  int affinity_rank = 0;
};

// The properties of a request that routing depends on.
struct RouteRequest {
  LengthClass length = LengthClass::kShort;
  Tokens prompt;
  // Maximum length of the answer that the request allows.
  Tokens answer;
};

// Selects an endpoint uniformly at random.
struct RandomPolicy {};

// Selects the endpoint with the least work, regardless of length classes.
struct LeastLoadedPolicy {};

// Selects the endpoint with the lowest score: the work that would delay a
// request of this length class, plus the tokens for which the endpoint's free
// KV memory does not suffice. Prefers the endpoint that probably has the
// prompt's prefix in its cache, unless its score is too far above the mean.
struct LengthAwarePolicy {
  // 0 to 100; see Policy.long_weight_percent in schema/harecrank.proto. At 100,
  // the score of an endpoint for a short request ignores its long work; at 0,
  // long work counts in full.
  int long_weight_percent = 50;
};

// The policy by which an entry host selects endpoints.
using RoutingPolicy =
    std::variant<RandomPolicy, LeastLoadedPolicy, LengthAwarePolicy>;

// Returns the policy called `name` ("random", "least_loaded" or
// "length_aware"), or nothing if there is no such policy.
std::optional<RoutingPolicy> RoutingPolicyFromName(const std::string& name,
                                                   int long_weight_percent);

// Returns the index of the selected endpoint, or nothing if `endpoints` is
// empty.
std::optional<std::size_t> Route(const RoutingPolicy& policy,
                                 const RouteRequest& request,
                                 const std::vector<EndpointView>& endpoints,
                                 const RandomSource& random);

// Returns the number of parts into which a long prompt is split for its prefill
// if `endpoints` endpoints are available: one for each endpoint, but fewer if
// the parts would otherwise be smaller than kMinPrefillPart.
std::size_t PrefillPartCount(Tokens prompt, std::size_t endpoints);
constexpr Tokens kMinPrefillPart{8000};

}  // namespace harecrank

#endif  // HARECRANK_CORE_ROUTER_H_
