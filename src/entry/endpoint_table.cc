#include "src/entry/endpoint_table.h"

#include <algorithm>
#include <set>
#include <utility>

#include "harecrank/core/rendezvous.h"

namespace harecrank {
namespace {

constexpr std::size_t kMostGroupCandidates = 32;
// Endpoints of other data centres that a subset holds in any case, so that a
// model whose endpoints here are all lost is still served.
constexpr std::size_t kFarSpares = 2;

const std::vector<SubsetEndpoint>& None() {
  static const std::vector<SubsetEndpoint> kNone;
  return kNone;
}

// Returns the endpoints that take new work, those of `data_centre` apart from
// the others.
struct ByDistance {
  std::vector<std::string> near;
  std::vector<std::string> far;
};

ByDistance Sort(const Configuration& configuration,
                const std::vector<EndpointId>& endpoints,
                const DataCentreId& data_centre) {
  ByDistance sorted;
  for (const EndpointId& id : endpoints) {
    const v1::Endpoint* endpoint = configuration.FindEndpoint(id);
    if (endpoint->leaving()) {
      continue;
    }
    auto& side =
        endpoint->data_centre() == data_centre.value ? sorted.near : sorted.far;
    side.push_back(id.value);
  }
  return sorted;
}

SubsetEndpoint Describe(const Configuration& configuration,
                        const EndpointId& id) {
  const v1::Endpoint* endpoint = configuration.FindEndpoint(id);
  SubsetEndpoint described;
  described.id = id;
  described.link_address = endpoint->link_address();
  described.memory = Tokens{endpoint->engine().memory_tokens()};
  return described;
}

}  // namespace

EndpointTable::EndpointTable(const Configuration& configuration,
                             const NodeId& self,
                             const DataCentreId& data_centre)
    : revision_(configuration.GetRevision()),
      self_(self),
      data_centre_(data_centre) {
  for (const auto& model : configuration.GetDocument().models()) {
    const ModelId id{model.first};
    models_[id] =
        Pick(configuration, "model " + id.value, configuration.EnginesOf(id));
  }
  std::set<ServiceName> services;
  for (const auto& endpoint : configuration.GetDocument().endpoints()) {
    if (endpoint.second.has_service()) {
      services.insert(ServiceName{endpoint.second.service().name()});
    }
  }
  for (const ServiceName& name : services) {
    services_[name] = Pick(configuration, "service " + name.value,
                           configuration.EndpointsOf(name));
  }
}

const std::vector<SubsetEndpoint>& EndpointTable::ForModel(
    const ModelId& model) const {
  const auto found = models_.find(model);
  return found == models_.end() ? None() : found->second;
}

const std::vector<SubsetEndpoint>& EndpointTable::ForService(
    const ServiceName& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? None() : found->second;
}

std::vector<SubsetEndpoint> EndpointTable::ForGroup(
    const Configuration& configuration, const ModelId& model) const {
  std::vector<SubsetEndpoint> candidates = ForModel(model);
  std::set<EndpointId> known;
  for (const SubsetEndpoint& endpoint : candidates) {
    known.insert(endpoint.id);
  }
  const auto sorted =
      Sort(configuration, configuration.EnginesOf(model), data_centre_);
  for (const std::string& id : RendezvousTop(
           "group " + self_.value, sorted.near, kMostGroupCandidates)) {
    const EndpointId endpoint{id};
    if (candidates.size() < kMostGroupCandidates &&
        known.count(endpoint) == 0) {
      candidates.push_back(Describe(configuration, endpoint));
    }
  }
  return candidates;
}

std::vector<SubsetEndpoint> EndpointTable::Pick(
    const Configuration& configuration, const std::string& key,
    const std::vector<EndpointId>& endpoints) {
  const v1::Policy& policy = configuration.GetDocument().policy();
  ByDistance sorted = Sort(configuration, endpoints, data_centre_);
  const std::size_t size = policy.subset_size();
  const std::string mine = key + " " + self_.value;
  auto ids = RendezvousTop(mine, std::move(sorted.near), size);
  const std::size_t near_count = ids.size();
  const auto fill = RendezvousTop(mine, std::move(sorted.far),
                                  std::max(size - ids.size(), kFarSpares));
  ids.insert(ids.end(), fill.begin(), fill.end());
  std::vector<SubsetEndpoint> subset;
  for (std::size_t i = 0; i < ids.size(); ++i) {
    SubsetEndpoint endpoint = Describe(configuration, EndpointId{ids[i]});
    endpoint.far = i >= near_count;
    wanted_.emplace(endpoint.id, endpoint.link_address);
    subset.push_back(std::move(endpoint));
  }
  return subset;
}

}  // namespace harecrank
