// The settings of one process, read from a JSON file and checked at start.

#ifndef HARECRANK_SRC_ADAPTERS_SETTINGS_H_
#define HARECRANK_SRC_ADAPTERS_SETTINGS_H_

#include <boost/leaf.hpp>
#include <string>
#include <variant>
#include <vector>

#include "harecrank/core/cold_limit.h"
#include "harecrank/core/document_validator.h"
#include "harecrank/core/endpoint_directory.h"
#include "harecrank/core/placement_policy.h"
#include "harecrank/core/repeat_budget.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// What every process of the system needs to know.
struct NodeSettings {
  NodeId node_id;
  DataCentreId data_centre;
  // IP number and port of metrics, dump, administration and peers.
  std::string operations_address;
  // Where the configuration service and the host list answer. The host list
  // may be left out.
  std::string config_service;
  std::string host_list;
  // Operations addresses to ask while no configuration is known.
  std::vector<std::string> seed_peers;
  // SHA-256 of the keys that may call administration.
  std::vector<std::string> operator_keys_sha256;
  // How often this node compares revisions with a random peer.
  Millis compare_interval{2000};
  std::string log_level = "info";
};

// Settings of an entry host.
struct EntrySettings {
  NodeSettings node;
  std::string callers_address;
  // Requests in hand at once. More are refused at once.
  int max_requests = 512;
  std::size_t max_body_bytes = 16U << 20U;
  std::string routing_policy = "length_aware";
  // How long a drain waits for requests in hand.
  Millis drain_limit{600000};
};

// Settings of a sidecar.
struct SidecarSettings {
  NodeSettings node;
  std::string link_address;
  // IP number and port of the endpoint beside it.
  std::string endpoint_address;
  std::size_t queue_limit = 512;
  int max_running = 64;
  Millis pulse_interval{1000};
  // How often the engine's own account is compared with the leases.
  Millis reconcile_interval{2000};
  // About how long the store takes to give the weights of one model.
  Millis weight_load_time{10000};
  Millis drain_limit{600000};
};

// Settings of an entry host that forwards straight to endpoints.
struct GatewaySettings {
  NodeId node_id;
  DataCentreId data_centre;
  std::string callers_address;
  // Where the balancer asks whether this host takes new connections.
  std::string readiness_address;
  // Metrics, dump and peers' questions.
  std::string operations_address;
  // Where peers' datagrams arrive. All hosts use the same port.
  std::string peers_address;
  // The platform's service that publishes routes and endpoints.
  std::string directory_service;
  // Operations addresses of some other hosts, which may be stale.
  std::vector<std::string> seed_peers;
  // Requests that may be sent once more, for all hosts together.
  RepeatLimit repeat_limit;
  // How long the platform waits after a stop signal before it kills.
  Millis stop_limit{8000};
  // How long after an endpoint has left a request may still reach it.
  Millis leave_limit = EndpointDirectory::kDefaultLeaveLimit;
  // Descriptors that this process may have open.
  std::size_t descriptors = 1024;
  // The share of a core that this host has: the strongest plans for the fleet.
  double power = 1;
  // What all hosts together may send to a cold endpoint.
  ColdLimit cold_limit;
  PlacementPolicy placement;
};

// Why settings were refused.
struct UnreadableSettings {
  std::string reason;
};
struct InvalidSettings {
  std::vector<ConfigProblem> problems;
};
using SettingsError = std::variant<UnreadableSettings, InvalidSettings>;

// Returns the faults, one a line.
std::string Describe(const SettingsError& error);

// Read and check the text of a settings file. Every fault is reported, not
// the first alone.
boost::leaf::result<EntrySettings> ParseEntrySettings(const std::string& text);
boost::leaf::result<SidecarSettings> ParseSidecarSettings(
    const std::string& text);
boost::leaf::result<GatewaySettings> ParseGatewaySettings(
    const std::string& text);

}  // namespace harecrank

#endif  // HARECRANK_SRC_ADAPTERS_SETTINGS_H_
