// The components that entry hosts and sidecars share: the configuration, the
// host list, metrics and the operations server.

#ifndef HARECRANK_SRC_NODE_NODE_H_
#define HARECRANK_SRC_NODE_NODE_H_

#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "harecrank/core/active_config.h"
#include "harecrank/core/host_list_cache.h"
#include "src/adapters/http.h"
#include "src/adapters/metrics.h"
#include "src/adapters/settings.h"
#include "src/node/administration.h"
#include "src/node/config_feed.h"
#include "src/node/platform.h"

namespace harecrank {

// Functions by which the role of a process (entry host or sidecar) extends its
// node.
struct NodeRole {
  std::string name;
  // Returns whether the role is ready. Called only after the configuration feed
  // is ready.
  std::function<bool()> is_ready;
  // Adds the section of the role to a state dump.
  std::function<void(nlohmann::json*)> dump;
  // Called whenever a revision becomes active or a host list is adopted.
  std::function<void()> on_configuration;
};

// Runs the configuration feed, the host list, the metrics and the operations
// server of one entry host or sidecar. Thread-safe.
class Node {
 public:
  Node(const NodeSettings& settings, Incarnation incarnation,
       MonotonicClock clock, RandomSource random);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // Starts the operations server and the configuration feed. The functions of
  // `role` may use this node.
  void Start(NodeRole role);
  void Stop();

  std::shared_ptr<const Configuration> InForce() const {
    return active_config_.InForce();
  }
  bool IsReady() const;
  // Returns whether this node has a configuration and has tried to compare it
  // with its peers.
  bool IsConfigured() const { return feed_.IsReady(); }
  bool IsLeaving(const NodeId& node) const { return hosts_.IsLeaving(node); }
  Metrics* GetMetrics() { return &metrics_; }
  const NodeSettings& Settings() const { return settings_; }
  Incarnation GetIncarnation() const { return incarnation_; }

 private:
  void Handle(Poco::Net::HTTPServerRequest& request,
              Poco::Net::HTTPServerResponse& response);
  void HandlePeer(const std::string& path,
                  Poco::Net::HTTPServerRequest& request,
                  Poco::Net::HTTPServerResponse& response);
  void HandleOperator(const std::string& path,
                      Poco::Net::HTTPServerRequest& request,
                      Poco::Net::HTTPServerResponse& response);
  bool IsOperator(const Poco::Net::HTTPServerRequest& request) const;
  std::string Dump() const;

  NodeSettings settings_;
  Incarnation incarnation_;
  MonotonicClock clock_;
  TimePoint started_;
  Metrics metrics_;
  ActiveConfig active_config_;
  HostListCache hosts_;
  HttpConfigService service_;
  std::unique_ptr<HttpHostList> host_list_;
  ConfigFeed feed_;
  AdministrationService administration_;
  NodeRole role_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_NODE_NODE_H_
