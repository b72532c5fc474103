// The settings of a process. They are read from a JSON file and validated when
// the process starts.

#ifndef HARECRANK_SRC_ADAPTERS_SETTINGS_H_
#define HARECRANK_SRC_ADAPTERS_SETTINGS_H_

#include <boost/leaf.hpp>
#include <map>
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

// Settings that entry hosts and sidecars share.
struct NodeSettings {
  NodeId node_id;
  DataCentreId data_centre;
  // IP address and port that serve metrics, state dumps, administration and
  // requests from peers.
  std::string operations_address;
  // Address of the configuration service.
  std::string config_service;
  // Address of the host list service. Empty if there is none.
  std::string host_list;
  // Operations addresses of peers with which this node compares its
  // configuration when it starts.
  std::vector<std::string> seed_peers;
  // SHA-256 hashes of the keys that authorise administration calls.
  std::vector<std::string> operator_keys_sha256;
  // Interval at which this node compares configuration revisions with a random
  // peer.
  Millis compare_interval{2000};
  std::string log_level = "info";
};

// Settings of an entry host.
struct EntrySettings {
  NodeSettings node;
  // Address on which callers' requests are accepted.
  std::string callers_address;
  // Maximum number of concurrent requests. Further requests are rejected
  // immediately.
  int max_requests = 512;
  std::size_t max_body_bytes = 16U << 20U;
  // Maximum number of bytes of all bodies that are held at once. Requests whose
  // bodies do not fit are rejected.
  std::size_t body_memory_bytes = 64U << 20U;
  // Time for the head of a request, from its first byte.
  Millis head_timeout{10000};
  std::string routing_policy = "length_aware";
  // Maximum duration of the drain: when the process is stopped, it waits at
  // most this long for active requests to end.
  Millis drain_limit{600000};
};

// Settings of a sidecar.
struct SidecarSettings {
  NodeSettings node;
  // IP address and port on which links from entry hosts are accepted.
  std::string link_address;
  // IP address and port of the endpoint that this sidecar serves.
  std::string endpoint_address;
  // Maximum number of queued requests.
  std::size_t queue_limit = 512;
  // Maximum number of bytes of the bodies of all requests that are queued or
  // running. Further requests are refused.
  std::size_t body_memory_bytes = 64U << 20U;
  // Maximum number of concurrently running requests.
  int max_running = 64;
  // Interval between two heartbeats to an entry host.
  Millis pulse_interval{1000};
  // Interval at which the sidecar reads the status of its engine, releases
  // memory that no request uses and sends the next command for loading models.
  Millis reconcile_interval{2000};
  // Approximate time to load the weights of one model from the weight
  // store.
  Millis weight_load_time{10000};
  // Maximum duration of the drain: when the process is stopped, it waits at
  // most this long for active requests to end.
  Millis drain_limit{600000};
};

// Settings of an entry host that forwards requests directly to endpoints,
// without sidecars.
struct GatewaySettings {
  NodeId node_id;
  DataCentreId data_centre;
  // Address on which callers' requests are accepted.
  std::string callers_address;
  // Address at which the load balancer checks whether this host accepts new
  // connections.
  std::string readiness_address;
  // Address that serves metrics, state dumps and requests from peers.
  std::string operations_address;
  // Address on which datagrams from peers are received. All hosts use the same
  // port.
  std::string peers_address;
  // Address of the store, the platform's service that publishes routes and
  // endpoints.
  std::string directory_service;
  // Operations addresses of some other hosts. Some of them may be outdated.
  std::vector<std::string> seed_peers;
  // The region of each data centre. Routes and accounts may permit some regions
  // only; a data centre that is missing here then gets none of their requests.
  std::map<DataCentreId, RegionId> regions;
  // Whether the whole fleet starts for the first time together with this
  // process. If not, an earlier process may have used this host's parts of the
  // limits on what all hosts do together.
  bool first_start = false;
  // Limit on repeated attempts, which are all attempts at a request after its
  // first. Applies to all hosts together.
  RepeatLimit repeat_limit;
  // Time between the platform's stop signal and its kill signal.
  Millis stop_limit{8000};
  // Maximum time for which requests may still arrive at an endpoint after it
  // has left.
  Millis leave_limit = EndpointDirectory::kDefaultLeaveLimit;
  // Maximum number of file descriptors that this process may have open.
  std::size_t descriptors = 1024;
  // Memory that this process may use, in units of 10^6 bytes; zero if it is not
  // limited.
  std::size_t memory_mb = 0;
  // CPU share: number of cores that this host may use. Hosts with a larger
  // share are preferred as the planner.
  double power = 1;
  // Limit on requests to cold (recently started) endpoints, for all hosts
  // together.
  ColdLimit cold_limit;
  // Number of hosts that receive the planner's state, so that the next planner
  // can plan at once; zero turns this off.
  std::size_t planner_standbys = 0;
  PlacementPolicy placement;
};

// The settings were rejected because the text is not a JSON object.
struct UnreadableSettings {
  std::string reason;
};
// The settings were rejected because keys are missing or unknown, or values are
// not allowed.
struct InvalidSettings {
  std::vector<ConfigProblem> problems;
};
// Why settings were rejected.
using SettingsError = std::variant<UnreadableSettings, InvalidSettings>;

// Returns the problems, one per line.
std::string Describe(const SettingsError& error);

// Parses and validates the text of a settings file. Fails with SettingsError;
// InvalidSettings lists all problems, not only the first one.
boost::leaf::result<EntrySettings> ParseEntrySettings(const std::string& text);
boost::leaf::result<SidecarSettings> ParseSidecarSettings(
    const std::string& text);
boost::leaf::result<GatewaySettings> ParseGatewaySettings(
    const std::string& text);

}  // namespace harecrank

#endif  // HARECRANK_SRC_ADAPTERS_SETTINGS_H_
