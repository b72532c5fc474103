// Which endpoints this entry host may use, worked out once for each revision.

#ifndef HARECRANK_SRC_ENTRY_ENDPOINT_TABLE_H_
#define HARECRANK_SRC_ENTRY_ENDPOINT_TABLE_H_

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "harecrank/core/configuration.h"

namespace harecrank {

// One endpoint of a subset.
struct SubsetEndpoint {
  EndpointId id;
  std::string link_address;
  // Its engine's memory, as published; zero for a plain service.
  Tokens memory;
  // In another data centre: used only while no endpoint of this one can be.
  bool far = false;
};

// The subsets of one revision, for one entry host. Immutable.
//
// A host keeps links to a few endpoints of each model: those of its own data
// centre that rank first for it, and two of others in reserve, or more where
// its own has too few. So links grow with hosts times models, and not with
// hosts times endpoints.
class EndpointTable {
 public:
  // An empty table, in which nothing is found.
  EndpointTable() = default;
  EndpointTable(const Configuration& configuration, const NodeId& self,
                const DataCentreId& data_centre);

  // Returns the endpoints to route among; empty for an unknown name. Those
  // marked as leaving are not among them.
  const std::vector<SubsetEndpoint>& ForModel(const ModelId& model) const;
  const std::vector<SubsetEndpoint>& ForService(
      const ServiceName& service) const;

  // Returns the endpoints that may join in a prompt larger than one engine:
  // the subset first, then others of the data centre.
  std::vector<SubsetEndpoint> ForGroup(const Configuration& configuration,
                                       const ModelId& model) const;

  // Returns every endpoint of every subset, with its address.
  const std::map<EndpointId, std::string>& AllEndpoints() const {
    return wanted_;
  }

  Revision GetRevision() const { return revision_; }

 private:
  std::vector<SubsetEndpoint> Pick(const Configuration& configuration,
                                   const std::string& key,
                                   const std::vector<EndpointId>& endpoints);

  Revision revision_;
  NodeId self_;
  DataCentreId data_centre_;
  std::unordered_map<ModelId, std::vector<SubsetEndpoint>> models_;
  std::unordered_map<ServiceName, std::vector<SubsetEndpoint>> services_;
  std::map<EndpointId, std::string> wanted_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_ENTRY_ENDPOINT_TABLE_H_
