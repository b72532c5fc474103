// Servers that stand in for the services of the platform in tests and demos.

#ifndef HARECRANK_STANDINS_SERVERS_H_
#define HARECRANK_STANDINS_SERVERS_H_

#include <memory>
#include <string>
#include <vector>

#include "standins/engine_model.h"

namespace harecrank::standins {

// A server that accepts requests from its construction to its destruction.
class StandIn {
 public:
  virtual ~StandIn() = default;
};

// Configuration of an engine stand-in.
struct EngineServerOptions {
  std::string address;
  EngineOptions engine;
  // Address of the weight store. If empty, the engine loads models without one.
  std::string weight_store;
  // Models that are loaded at the start, as NAME:VERSION.
  std::vector<std::string> models;
  // Accepts orders with an outdated fence, as an engine without fences does.
  bool ignores_fences = false;
  // Rate at which the engine imports segments that other engines prefilled.
  double import_tokens_per_second = 4e6;
};
std::unique_ptr<StandIn> MakeEngineServer(const EngineServerOptions& options);

// Returns an HTTP service that echoes each request and counts requests by their
// body.
std::unique_ptr<StandIn> MakePlainService(const std::string& address);

// Configuration of a configuration service stand-in.
struct ConfigServerOptions {
  std::string address;
  // Limit of calls in any period of one second. Calls above it get status 429.
  int calls_per_second = 2000;
  int threads = 300;
};
std::unique_ptr<StandIn> MakeConfigServer(const ConfigServerOptions& options);

// Returns a host list service. A new list becomes visible `lag_ms` milliseconds
// after it is set.
std::unique_ptr<StandIn> MakeHostList(const std::string& address, int lag_ms);

// Returns a weight store that serves up to `max_concurrent_loads` loads at the
// same time and takes `load_ms` milliseconds for each. Further loads get status
// 429.
std::unique_ptr<StandIn> MakeWeightStore(const std::string& address,
                                         int max_concurrent_loads, int load_ms);

// Addresses of a fault-injecting proxy.
struct ProxyOptions {
  // Accepts the connections that are forwarded to `target`.
  std::string listen;
  std::string target;
  // Accepts the HTTP calls that set faults.
  std::string control;
};
// Returns a TCP proxy whose faults are set by POST /control/fault at its
// control address.
std::unique_ptr<StandIn> MakeFaultProxy(const ProxyOptions& options);

}  // namespace harecrank::standins

#endif  // HARECRANK_STANDINS_SERVERS_H_
