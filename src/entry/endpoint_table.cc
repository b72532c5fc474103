#include "src/entry/endpoint_table.h"

#include <algorithm>
#include <set>
#include <utility>

#include "harecrank/core/rendezvous.h"

namespace harecrank {
namespace {

constexpr std::size_t kMaxGroupCandidates = 32;
// Minimum number of endpoints of other data centres in the subset of each model
// or service. They keep it available if all local endpoints are lost.
constexpr std::size_t kRemoteReserve = 2;

const std::vector<SubsetEndpoint>& EmptySubset() {
  static const std::vector<SubsetEndpoint> kNone;
  return kNone;
}

// IDs of the endpoints that are not marked as leaving: `near` has the endpoints
// of the local data centre, `far` the endpoints of other data centres.
struct PartitionedIds {
  std::vector<std::string> near;
  std::vector<std::string> far;
};

PartitionedIds PartitionByDataCentre(const Configuration& configuration,
                                     const std::vector<EndpointId>& endpoints,
                                     const DataCentreId& data_centre) {
  PartitionedIds partitioned;
  for (const EndpointId& id : endpoints) {
    const v1::Endpoint* endpoint = configuration.FindEndpoint(id);
    if (endpoint->leaving()) {
      continue;
    }
    auto& partition = endpoint->data_centre() == data_centre.value
                          ? partitioned.near
                          : partitioned.far;
    partition.push_back(id.value);
  }
  return partitioned;
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
    models_[id] = SelectSubset(configuration, "model " + id.value,
                               configuration.EnginesOf(id));
  }
  std::set<ServiceName> services;
  for (const auto& endpoint : configuration.GetDocument().endpoints()) {
    if (endpoint.second.has_service()) {
      services.insert(ServiceName{endpoint.second.service().name()});
    }
  }
  for (const ServiceName& name : services) {
    services_[name] = SelectSubset(configuration, "service " + name.value,
                                   configuration.EndpointsOf(name));
  }
}

const std::vector<SubsetEndpoint>& EndpointTable::ForModel(
    const ModelId& model) const {
  const auto found = models_.find(model);
  return found == models_.end() ? EmptySubset() : found->second;
}

const std::vector<SubsetEndpoint>& EndpointTable::ForService(
    const ServiceName& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? EmptySubset() : found->second;
}

std::vector<SubsetEndpoint> EndpointTable::ForGroup(
    const Configuration& configuration, const ModelId& model) const {
  std::vector<SubsetEndpoint> candidates = ForModel(model);
  std::set<EndpointId> known;
  for (const SubsetEndpoint& endpoint : candidates) {
    known.insert(endpoint.id);
  }
  const auto partitioned = PartitionByDataCentre(
      configuration, configuration.EnginesOf(model), data_centre_);
  for (const std::string& id : RendezvousTop(
           "group " + self_.value, partitioned.near, kMaxGroupCandidates)) {
    const EndpointId endpoint{id};
    if (candidates.size() < kMaxGroupCandidates && known.count(endpoint) == 0) {
      candidates.push_back(Describe(configuration, endpoint));
    }
  }
  return candidates;
}

std::vector<SubsetEndpoint> EndpointTable::SelectSubset(
    const Configuration& configuration, const std::string& key,
    const std::vector<EndpointId>& endpoints) {
  const v1::Policy& policy = configuration.GetDocument().policy();
  PartitionedIds partitioned =
      PartitionByDataCentre(configuration, endpoints, data_centre_);
  const std::size_t size = policy.subset_size();
  const std::string subset_key = key + " " + self_.value;
  auto ids = RendezvousTop(subset_key, std::move(partitioned.near), size);
  const std::size_t near_count = ids.size();
  const auto remote_ids =
      RendezvousTop(subset_key, std::move(partitioned.far),
                    std::max(size - ids.size(), kRemoteReserve));
  ids.insert(ids.end(), remote_ids.begin(), remote_ids.end());
  std::vector<SubsetEndpoint> subset;
  for (std::size_t i = 0; i < ids.size(); ++i) {
    SubsetEndpoint endpoint = Describe(configuration, EndpointId{ids[i]});
    endpoint.far = i >= near_count;
    all_endpoints_.emplace(endpoint.id, endpoint.link_address);
    subset.push_back(std::move(endpoint));
  }
  return subset;
}

}  // namespace harecrank
