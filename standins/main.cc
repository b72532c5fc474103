// Stand-ins for what the platform gives. For tests and the demo only.

#include <Poco/Exception.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <functional>
#include <iostream>
#include <memory>
#include <string>

#include "standins/servers.h"

namespace harecrank::standins {

constexpr int kFailed = 1;

namespace {

// Builds the stand-in that the command line asks for.
using Maker = std::function<std::unique_ptr<StandIn>()>;

void AddEngine(CLI::App* app, const std::string& address, Maker* make) {
  auto* command = app->add_subcommand("engine", "a model engine");
  const auto options = std::make_shared<EngineServerOptions>();
  EngineOptions& engine = options->engine;
  command->add_option("--memory", engine.memory_tokens, "KV memory in tokens");
  command->add_option("--prefill-rate", engine.prefill_tokens_per_second,
                      "tokens prefilled a second");
  command->add_option("--step-ms", engine.base_step_ms, "least step time");
  command->add_option("--step-tokens", engine.step_tokens,
                      "tokens prefilled in one step at most");
  command->add_option("--step-ms-per-stream", engine.step_ms_per_stream,
                      "step time that each running stream adds");
  command->add_option("--cache", engine.cache_tokens, "prefix cache in tokens");
  command->add_option("--weights", options->weight_store, "the weight store");
  command->add_option("--model", options->models, "NAME:VERSION held at start");
  command->add_flag("--ignore-fences", options->ignores_fences,
                    "take orders whatever their fence");
  command->callback([options, &address, make] {
    options->address = address;
    *make = [options] { return MakeEngineServer(*options); };
  });
}

void AddSmall(CLI::App* app, const std::string& address, Maker* make) {
  auto* service = app->add_subcommand("service", "a plain service");
  service->callback(
      [&address, make] { *make = [&] { return MakePlainService(address); }; });

  auto* config = app->add_subcommand("config", "the configuration service");
  const auto options = std::make_shared<ConfigServerOptions>();
  config->add_option("--calls-per-second", options->calls_per_second);
  config->callback([options, &address, make] {
    options->address = address;
    *make = [options] { return MakeConfigServer(*options); };
  });

  auto* hosts = app->add_subcommand("hosts", "the host list");
  const auto lag = std::make_shared<int>(0);
  hosts->add_option("--lag-ms", *lag, "how late a change shows");
  hosts->callback([lag, &address, make] {
    *make = [lag, &address] { return MakeHostList(address, *lag); };
  });

  auto* weights = app->add_subcommand("weights", "the weight store");
  const auto at_once = std::make_shared<int>(2);
  const auto load_ms = std::make_shared<int>(100);
  weights->add_option("--at-once", *at_once, "loads at once");
  weights->add_option("--load-ms", *load_ms, "time of one load");
  weights->callback([at_once, load_ms, &address, make] {
    *make = [at_once, load_ms, &address] {
      return MakeWeightStore(address, *at_once, *load_ms);
    };
  });
}

void AddProxy(CLI::App* app, const std::string& address, Maker* make) {
  auto* command = app->add_subcommand("proxy", "a fault-injecting TCP proxy");
  const auto options = std::make_shared<ProxyOptions>();
  command->add_option("--target", options->target, "where to")->required();
  command->add_option("--control", options->control, "where faults are set")
      ->required();
  command->callback([options, &address, make] {
    options->listen = address;
    *make = [options] { return MakeFaultProxy(*options); };
  });
}

int Run(int argc, char** argv) {
  CLI::App app("stand-ins for what the platform gives; for tests only");
  app.require_subcommand(1);
  app.fallthrough();
  std::string address;
  app.add_option("--address", address, "where to listen")->required();
  Maker make;
  AddEngine(&app, address, &make);
  AddSmall(&app, address, &make);
  AddProxy(&app, address, &make);
  CLI11_PARSE(app, argc, argv);

  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  try {
    const std::unique_ptr<StandIn> standin = make();
    static_cast<void>(standin);
    int received = 0;
    sigwait(&signals, &received);
    // Nothing of a stand-in is worth waiting for.
    std::quick_exit(0);
  } catch (const std::exception& error) {
    std::cerr << "harecrank_standins: " << error.what() << "\n";
  }
  return kFailed;
}

}  // namespace
}  // namespace harecrank::standins

int main(int argc, char** argv) {
  try {
    return harecrank::standins::Run(argc, argv);
  } catch (...) {
    return harecrank::standins::kFailed;
  }
}
