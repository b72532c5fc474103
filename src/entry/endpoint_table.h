// The subset of endpoints that an entry host uses, computed once per
// configuration revision.

#ifndef HARECRANK_SRC_ENTRY_ENDPOINT_TABLE_H_
#define HARECRANK_SRC_ENTRY_ENDPOINT_TABLE_H_

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "harecrank/core/configuration.h"

namespace harecrank {

// An endpoint to which an entry host may send requests.
struct SubsetEndpoint {
  EndpointId id;
  std::string link_address;
  // Configured memory of the engine in tokens; zero for a plain service, which
  // has no engine.
  Tokens memory;
  // Whether the endpoint is in another data centre than the entry host. Such an
  // endpoint is used only while no local endpoint is available.
  bool far = false;
};

// The endpoint subsets of one entry host for one configuration revision.
// Immutable.
//
// If every entry host kept links to every endpoint, the number of links would
// grow with hosts times endpoints. Each host therefore keeps links to a small
// subset per model. The subset has the endpoints of the host's own data centre
// that rank first for the host in a rendezvous hash. As a reserve, it also has
// at least two endpoints of other data centres, and more if the host's own data
// centre has too few. The number of links then grows with hosts times models.
class EndpointTable {
 public:
  // Constructs an empty table.
  EndpointTable() = default;
  EndpointTable(const Configuration& configuration, const NodeId& self,
                const DataCentreId& data_centre);

  // Returns the endpoints among which requests for a model or service are
  // distributed; empty for an unknown name. Endpoints that the configuration
  // marks as leaving are excluded.
  const std::vector<SubsetEndpoint>& ForModel(const ModelId& model) const;
  const std::vector<SubsetEndpoint>& ForService(
      const ServiceName& service) const;

  // Returns the candidates for a group that serves a prompt larger than one
  // engine: the subset of the model first, then other endpoints of this data
  // centre.
  std::vector<SubsetEndpoint> ForGroup(const Configuration& configuration,
                                       const ModelId& model) const;

  // Returns every endpoint of every subset with its link address.
  const std::map<EndpointId, std::string>& AllEndpoints() const {
    return all_endpoints_;
  }

  Revision GetRevision() const { return revision_; }

 private:
  // Selects the subset of `endpoints` for this host. `key` names the model or
  // service.
  std::vector<SubsetEndpoint> SelectSubset(
      const Configuration& configuration, const std::string& key,
      const std::vector<EndpointId>& endpoints);

  Revision revision_;
  NodeId self_;
  DataCentreId data_centre_;
  std::unordered_map<ModelId, std::vector<SubsetEndpoint>> models_;
  std::unordered_map<ServiceName, std::vector<SubsetEndpoint>> services_;
  std::map<EndpointId, std::string> all_endpoints_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_ENTRY_ENDPOINT_TABLE_H_
