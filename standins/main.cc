// Runs one stand-in for a service of the platform. For tests and the demo only.

#include <Poco/Exception.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <functional>
#include <iostream>
#include <memory>
#include <string>

#include "standins/servers.h"

namespace harecrank::standins {

constexpr int kExitFailure = 1;

namespace {

// Creates the stand-in that the command line selects.
using Factory = std::function<std::unique_ptr<StandIn>()>;

void AddEngine(CLI::App* app, const std::string& address, Factory* factory) {
  auto* command = app->add_subcommand("engine", "a model engine");
  const auto options = std::make_shared<EngineServerOptions>();
  EngineOptions& engine = options->engine;
  command->add_option("--memory", engine.memory_tokens, "KV memory in tokens");
  command->add_option("--prefill-rate", engine.prefill_tokens_per_second,
                      "tokens prefilled per second");
  command->add_option("--step-ms", engine.base_step_ms, "least step time");
  command->add_option("--step-tokens", engine.step_tokens,
                      "maximum tokens prefilled in one step");
  command->add_option("--step-ms-per-stream", engine.step_ms_per_stream,
                      "step time that each running stream adds");
  command->add_option("--cache", engine.cache_tokens, "prefix cache in tokens");
  command->add_option("--weights", options->weight_store, "the weight store");
  command->add_option("--model", options->models,
                      "NAME:VERSION loaded at start");
  command->add_flag("--ignore-fences", options->ignores_fences,
                    "accept orders with an outdated fence");
  command->callback([options, &address, factory] {
    options->address = address;
    *factory = [options] { return MakeEngineServer(*options); };
  });
}

void AddServices(CLI::App* app, const std::string& address, Factory* factory) {
  auto* service = app->add_subcommand("service", "a plain service");
  service->callback([&address, factory] {
    *factory = [&] { return MakePlainService(address); };
  });

  auto* config = app->add_subcommand("config", "the configuration service");
  const auto options = std::make_shared<ConfigServerOptions>();
  config->add_option("--calls-per-second", options->calls_per_second);
  config->callback([options, &address, factory] {
    options->address = address;
    *factory = [options] { return MakeConfigServer(*options); };
  });

  auto* hosts = app->add_subcommand("hosts", "the host list");
  const auto lag_ms = std::make_shared<int>(0);
  hosts->add_option("--lag-ms", *lag_ms, "time until a change becomes visible");
  hosts->callback([lag_ms, &address, factory] {
    *factory = [lag_ms, &address] { return MakeHostList(address, *lag_ms); };
  });

  auto* weights = app->add_subcommand("weights", "the weight store");
  const auto max_concurrent_loads = std::make_shared<int>(2);
  const auto load_ms = std::make_shared<int>(100);
  weights->add_option("--at-once", *max_concurrent_loads,
                      "maximum number of concurrent loads");
  weights->add_option("--load-ms", *load_ms, "time of one load");
  weights->callback([max_concurrent_loads, load_ms, &address, factory] {
    *factory = [max_concurrent_loads, load_ms, &address] {
      return MakeWeightStore(address, *max_concurrent_loads, *load_ms);
    };
  });
}

void AddProxy(CLI::App* app, const std::string& address, Factory* factory) {
  auto* command = app->add_subcommand("proxy", "a fault-injecting TCP proxy");
  const auto options = std::make_shared<ProxyOptions>();
  command->add_option("--target", options->target, "address to forward to")
      ->required();
  command
      ->add_option("--control", options->control,
                   "address of the calls that set faults")
      ->required();
  command->callback([options, &address, factory] {
    options->listen = address;
    *factory = [options] { return MakeFaultProxy(*options); };
  });
}

int Run(int argc, char** argv) {
  CLI::App app("stand-ins for the services of the platform; for tests only");
  app.require_subcommand(1);
  app.fallthrough();
  std::string address;
  app.add_option("--address", address, "address to listen on")->required();
  Factory factory;
  AddEngine(&app, address, &factory);
  AddServices(&app, address, &factory);
  AddProxy(&app, address, &factory);
  CLI11_PARSE(app, argc, argv);

  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  try {
    const std::unique_ptr<StandIn> standin = factory();
    static_cast<void>(standin);
    int received = 0;
    sigwait(&signals, &received);
    // Stand-ins keep no state, so that no orderly shutdown is needed.
    std::quick_exit(0);
  } catch (const std::exception& error) {
    std::cerr << "harecrank_standins: " << error.what() << "\n";
  }
  return kExitFailure;
}

}  // namespace
}  // namespace harecrank::standins

int main(int argc, char** argv) {
  try {
    return harecrank::standins::Run(argc, argv);
  } catch (...) {
    return harecrank::standins::kExitFailure;
  }
}
