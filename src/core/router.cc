#include "harecrank/core/router.h"

#include <algorithm>
#include <limits>

namespace harecrank {
namespace {

constexpr double kPercent = 100.0;
// How much more work than the average the endpoint with a warm cache may have
// before the request goes elsewhere.
constexpr double kAffinityBound = 1.25;
// A prompt's worth of slack, so that affinity still holds on an idle fleet.
constexpr double kAffinitySlackTokens = 4096.0;

double Work(const EndpointView& view) {
  return static_cast<double>(view.load.short_backlog.value +
                             view.load.long_backlog.value +
                             view.unreported.value);
}

// Returns the index of the smallest score; among equals a random one, so that
// hosts that see the same reports do not all choose the same endpoint.
template <typename Score>
std::size_t LeastBy(const std::vector<EndpointView>& endpoints,
                    const RandomSource& random, Score score) {
  std::size_t best = 0;
  double least = std::numeric_limits<double>::infinity();
  const std::size_t offset = random() % endpoints.size();
  for (std::size_t i = 0; i < endpoints.size(); ++i) {
    const std::size_t index = (i + offset) % endpoints.size();
    const double value = score(endpoints[index]);
    if (value < least) {
      least = value;
      best = index;
    }
  }
  return best;
}

struct Choose {
  const RouteRequest& request;
  const std::vector<EndpointView>& endpoints;
  const RandomSource& random;

  std::size_t operator()(const RandomPolicy&) const {
    return random() % endpoints.size();
  }

  std::size_t operator()(const LeastLoadedPolicy&) const {
    return LeastBy(endpoints, random, Work);
  }

  std::size_t operator()(const LengthAwarePolicy& policy) const {
    const auto score = [&](const EndpointView& view) {
      return Score(policy, view);
    };
    const auto warm = WarmEndpoint(score);
    return warm ? *warm : LeastBy(endpoints, random, score);
  }

  double Score(const LengthAwarePolicy& policy,
               const EndpointView& view) const {
    const auto short_work = static_cast<double>(view.load.short_backlog.value +
                                                view.unreported.value);
    const auto long_work = static_cast<double>(view.load.long_backlog.value);
    double score = short_work;
    if (request.length == LengthClass::kLong) {
      score += long_work;
    } else {
      // The engine puts short prefill first, so long work costs a short
      // request only its steps' length; how much that may matter is policy.
      const double protect = 1.0 - policy.long_weight_percent / kPercent;
      score += protect * long_work;
    }
    const Tokens needed = request.prompt + request.answer;
    if (view.load.free_memory < needed) {
      score += static_cast<double>(needed.value - view.load.free_memory.value);
    }
    return score;
  }

  // Returns the endpoint with the warm cache if its score is within bounds.
  template <typename ScoreFn>
  std::optional<std::size_t> WarmEndpoint(const ScoreFn& score) const {
    double total = 0;
    std::optional<std::size_t> warm;
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
      total += std::min<double>(score(endpoints[i]),
                                std::numeric_limits<std::int32_t>::max());
      if (endpoints[i].affinity_rank == 1) {
        warm = i;
      }
    }
    const double mean = total / static_cast<double>(endpoints.size());
    if (!warm || score(endpoints[*warm]) >
                     mean * kAffinityBound + kAffinitySlackTokens) {
      return std::nullopt;
    }
    return warm;
  }
};

}  // namespace

std::optional<RoutingPolicy> RoutingPolicyFromName(const std::string& name,
                                                   int long_weight_percent) {
  if (name == "random") {
    return RoutingPolicy{RandomPolicy{}};
  }
  if (name == "least_loaded") {
    return RoutingPolicy{LeastLoadedPolicy{}};
  }
  if (name == "length_aware") {
    return RoutingPolicy{LengthAwarePolicy{long_weight_percent}};
  }
  return std::nullopt;
}

std::optional<std::size_t> Route(const RoutingPolicy& policy,
                                 const RouteRequest& request,
                                 const std::vector<EndpointView>& endpoints,
                                 const RandomSource& random) {
  if (endpoints.empty()) {
    return std::nullopt;
  }
  return std::visit(Choose{request, endpoints, random}, policy);
}

std::size_t PrefillPartCount(Tokens prompt, std::size_t endpoints) {
  const auto parts =
      static_cast<std::size_t>(prompt.value / kMinPrefillPart.value);
  return std::max<std::size_t>(std::min(endpoints, parts), 1);
}

}  // namespace harecrank
