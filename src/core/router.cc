#include "harecrank/core/router.h"

#include <algorithm>
#include <limits>

namespace harecrank {
namespace {

constexpr double kPercent = 100.0;
// The endpoint that has probably cached the prompt's prefix is preferred while
// its score is at most the mean score x kMaxAffinityFactor +
// kAffinitySlackTokens.
constexpr double kMaxAffinityFactor = 1.25;
// Roughly the length of one prompt. Without this term the preference would
// never apply on an idle fleet, where the mean score is close to zero.
constexpr double kAffinitySlackTokens = 4096.0;

double TotalWork(const EndpointView& view) {
  return static_cast<double>(view.load.short_backlog.value +
                             view.load.long_backlog.value +
                             view.unreported.value);
}

// Returns the index of the endpoint with the lowest score. The search starts at
// a random index, so that hosts that have received the same load reports
// distribute their requests over endpoints with equal scores.
template <typename Score>
std::size_t FindLowestScore(const std::vector<EndpointView>& endpoints,
                            const RandomSource& random, Score score) {
  std::size_t best = 0;
  double lowest = std::numeric_limits<double>::infinity();
  const std::size_t offset = random() % endpoints.size();
  for (std::size_t i = 0; i < endpoints.size(); ++i) {
    const std::size_t index = (i + offset) % endpoints.size();
    const double value = score(endpoints[index]);
    if (value < lowest) {
      lowest = value;
      best = index;
    }
  }
  return best;
}

// Visitor of RoutingPolicy: selects one of `endpoints` for `request`.
struct PolicyVisitor {
  const RouteRequest& request;
  const std::vector<EndpointView>& endpoints;
  const RandomSource& random;

  std::size_t operator()(const RandomPolicy&) const {
    return random() % endpoints.size();
  }

  std::size_t operator()(const LeastLoadedPolicy&) const {
    return FindLowestScore(endpoints, random, TotalWork);
  }

  std::size_t operator()(const LengthAwarePolicy& policy) const {
    const auto score = [&](const EndpointView& view) {
      return Score(policy, view);
    };
    const auto warm = FindWarmEndpoint(score);
    return warm ? *warm : FindLowestScore(endpoints, random, score);
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
      // The engine prefills short prompts first, so long work delays a short
      // request only by lengthening the engine's steps. The policy sets the
      // weight of long work.
      const double long_work_weight =
          1.0 - policy.long_weight_percent / kPercent;
      score += long_work_weight * long_work;
    }
    const Tokens needed = request.prompt + request.answer;
    if (view.load.free_memory < needed) {
      score += static_cast<double>(needed.value - view.load.free_memory.value);
    }
    return score;
  }

  // Returns the index of the endpoint that probably has the prompt's prefix in
  // its cache, or nothing if there is none or if its score is too far above the
  // mean score.
  template <typename ScoreFn>
  std::optional<std::size_t> FindWarmEndpoint(const ScoreFn& score) const {
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
                     mean * kMaxAffinityFactor + kAffinitySlackTokens) {
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
  return std::visit(PolicyVisitor{request, endpoints, random}, policy);
}

std::size_t PrefillPartCount(Tokens prompt, std::size_t endpoints) {
  const auto max_parts =
      static_cast<std::size_t>(prompt.value / kMinPrefillPart.value);
  return std::max<std::size_t>(std::min(endpoints, max_parts), 1);
}

}  // namespace harecrank
