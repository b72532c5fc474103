#include "src/node/node.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "harecrank/core/http_status.h"
#include "src/adapters/system_sources.h"

namespace harecrank {
namespace {

using nlohmann::json;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr int kOperationsThreads = 8;
constexpr std::size_t kMostPeerBody = 4U << 20U;
constexpr std::size_t kMostRpcBody = 4U << 20U;
constexpr char kRpcPrefix[] = "/rpc/harecrank.v1.Administration/";
constexpr char kPeerPrefix[] = "/peer/";
constexpr char kBearer[] = "Bearer ";

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

ConfigFeedPorts MakePorts(ConfigServicePort* service, HostListPort* host_list,
                          ActiveConfig* active_config, HostListCache* hosts,
                          Metrics* metrics, MonotonicClock clock,
                          RandomSource random) {
  return ConfigFeedPorts{service, host_list,        active_config,    hosts,
                         metrics, std::move(clock), std::move(random)};
}

}  // namespace

Node::Node(const NodeSettings& settings, Incarnation incarnation,
           MonotonicClock clock, RandomSource random)
    : settings_(settings),
      incarnation_(incarnation),
      clock_(clock),
      started_(clock()),
      service_(settings.config_service),
      host_list_(settings.host_list.empty()
                     ? nullptr
                     : std::make_unique<HttpHostList>(settings.host_list)),
      feed_(settings_,
            MakePorts(&service_, host_list_.get(), &active_config_, &hosts_,
                      &metrics_, std::move(clock), std::move(random))),
      administration_(&active_config_, &feed_) {}

Node::~Node() { Stop(); }

void Node::Start(NodeRole role) {
  role_ = std::move(role);
  feed_.SetListener(role_.on_configuration);
  HttpServerOptions options;
  options.address = settings_.operations_address;
  options.threads = kOperationsThreads;
  server_ = std::make_unique<HttpServer>(
      options,
      [this](HTTPServerRequest& request, HTTPServerResponse& response) {
        Handle(request, response);
      });
  feed_.Start();
}

void Node::Stop() {
  feed_.Stop();
  if (server_ != nullptr) {
    server_->Stop();
  }
}

bool Node::IsReady() const {
  return feed_.IsReady() && (!role_.is_ready || role_.is_ready());
}

void Node::Handle(HTTPServerRequest& request, HTTPServerResponse& response) {
  const std::string path = PathOf(request.getURI());
  if (StartsWith(path, kPeerPrefix)) {
    HandlePeer(path, request, response);
  } else if (path == "/healthz") {
    SendResponse(response, http_status::kOk, "{\"status\":\"ok\"}");
  } else if (path == "/readyz") {
    const bool ready = IsReady();
    SendResponse(
        response, ready ? http_status::kOk : http_status::kUnavailable,
        ready ? "{\"status\":\"ready\"}" : "{\"status\":\"not_ready\"}");
  } else if (path == "/metrics") {
    SendResponse(response, http_status::kOk, metrics_.Text(),
                 "text/plain; version=0.0.4");
  } else {
    HandleOperator(path, request, response);
  }
}

void Node::HandlePeer(const std::string& path, HTTPServerRequest& request,
                      HTTPServerResponse& response) {
  std::string body;
  if (!ReadBody(request, kMostPeerBody, &body)) {
    SendResponse(response, http_status::kBadRequest, "");
    return;
  }
  if (path == "/peer/compare") {
    const auto theirs = DecodePeerState(body);
    if (theirs) {
      SendResponse(response, http_status::kOk,
                   EncodePeerUpdate(feed_.OnCompare(*theirs)),
                   "application/cbor");
      return;
    }
  }
  if (path == "/peer/offer") {
    const auto update = DecodePeerUpdate(body);
    if (update) {
      SendResponse(response, http_status::kOk,
                   EncodePeerState(feed_.OnPush(*update)), "application/cbor");
      return;
    }
  }
  SendResponse(response, http_status::kBadRequest, "");
}

void Node::HandleOperator(const std::string& path, HTTPServerRequest& request,
                          HTTPServerResponse& response) {
  const bool rpc = StartsWith(path, kRpcPrefix);
  if (!rpc && path != "/dump") {
    SendResponse(response, http_status::kNotFound,
                 "{\"error\":{\"code\":\"not_found\"}}");
    return;
  }
  if (!IsOperator(request)) {
    SendResponse(
        response, http_status::kForbidden,
        "{\"error\":{\"code\":\"forbidden\",\"message\":\"this call needs "
        "an operator's key as a bearer token\"}}");
    return;
  }
  if (!rpc) {
    SendResponse(response, http_status::kOk, Dump());
    return;
  }
  std::string body;
  if (!ReadBody(request, kMostRpcBody, &body)) {
    SendResponse(response, http_status::kBadRequest,
                 "{\"error\":{\"code\":\"body_too_large\"}}");
    return;
  }
  const std::string method = path.substr(sizeof(kRpcPrefix) - 1);
  const RpcResponse answer = CallRpc(&administration_, method, body);
  SendResponse(response, answer.status, answer.body);
}

bool Node::IsOperator(const HTTPServerRequest& request) const {
  const std::string header = request.get("Authorization", "");
  if (!StartsWith(header, kBearer)) {
    return false;
  }
  const std::string digest = Sha256Hex(header.substr(sizeof(kBearer) - 1));
  const auto& keys = settings_.operator_keys_sha256;
  return std::find(keys.begin(), keys.end(), digest) != keys.end();
}

std::string Node::Dump() const {
  const ActiveConfigState active_config = active_config_.State();
  const auto hosts = hosts_.Current();
  json dump;
  dump["node"] = {{"id", settings_.node_id.value},
                  {"role", role_.name},
                  {"data_centre", settings_.data_centre.value},
                  {"incarnation", incarnation_.value},
                  {"ready", IsReady()},
                  {"uptime_ms", ToMillis(clock_()) - ToMillis(started_)},
                  {"version", HARECRANK_VERSION}};
  dump["configuration"] = {{"revision", active_config.revision.value},
                           {"digest", active_config.digest.value},
                           {"source", ConfigSourceName(active_config.source)},
                           {"adopted", active_config.adopted},
                           {"older", active_config.older},
                           {"conflicts", active_config.conflicts},
                           {"invalid", active_config.invalid},
                           {"gaps", active_config.gaps},
                           {"last_fault", active_config.last_fault}};
  json leaving = json::array();
  for (const NodeId& id : hosts->leaving) {
    leaving.push_back(id.value);
  }
  dump["host_list"] = {{"version", hosts->version}, {"leaving", leaving}};
  if (role_.dump) {
    role_.dump(&dump);
  }
  return dump.dump(2);
}

}  // namespace harecrank
