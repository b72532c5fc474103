// The stand-ins for what the platform gives, each as a server.

#ifndef HARECRANK_STANDINS_SERVERS_H_
#define HARECRANK_STANDINS_SERVERS_H_

#include <memory>
#include <string>
#include <vector>

#include "standins/engine_model.h"

namespace harecrank::standins {

// A server that runs from its construction to its end.
class StandIn {
 public:
  virtual ~StandIn() = default;
};

// How an engine stand-in is set.
struct EngineServerOptions {
  std::string address;
  EngineOptions engine;
  // Empty if loads take no weights from a store.
  std::string weight_store;
  // Models that it holds at its start, as NAME:VERSION.
  std::vector<std::string> models;
  bool ignores_fences = false;
  // Tokens of a segment that another engine imports in a second.
  double import_tokens_per_second = 4e6;
};
std::unique_ptr<StandIn> MakeEngineServer(const EngineServerOptions& options);

// A plain service that counts its calls.
std::unique_ptr<StandIn> MakePlainService(const std::string& address);

// How a configuration service stand-in is set.
struct ConfigServerOptions {
  std::string address;
  // Calls a second that are answered; more are refused.
  int calls_per_second = 2000;
  int threads = 300;
};
std::unique_ptr<StandIn> MakeConfigServer(const ConfigServerOptions& options);

// The host list; what is set shows `lag_ms` later.
std::unique_ptr<StandIn> MakeHostList(const std::string& address, int lag_ms);

// The weight store: `at_once` loads of `load_ms` each; more are refused.
std::unique_ptr<StandIn> MakeWeightStore(const std::string& address,
                                         int at_once, int load_ms);

// How a proxy is set.
struct ProxyOptions {
  std::string listen;
  std::string target;
  std::string control;
};
// A TCP proxy that takes its faults at POST /control/fault.
std::unique_ptr<StandIn> MakeFaultProxy(const ProxyOptions& options);

}  // namespace harecrank::standins

#endif  // HARECRANK_STANDINS_SERVERS_H_
