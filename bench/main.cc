// Runs one of the measurements of harecrank, on one machine with stand-ins of
// the platform.

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>

#include "bench/runs.h"
#include "src/adapters/logging.h"

namespace harecrank::bench {
namespace {

using Measure = nlohmann::json (*)(const RunOptions&);

int Run(int argc, char** argv) {
  CLI::App app("measurements of harecrank, each by one command");
  app.require_subcommand(1);
  app.fallthrough();
  RunOptions options;
  std::string json_path;
  app.add_flag("--quick", options.quick, "shorter and less precise");
  app.add_option("--json", json_path, "path for the results, as JSON");
  app.add_option("--plot", options.plot,
                 "path for plots of the slopes, as SVG");
  Measure measure = nullptr;
  const auto add = [&](const char* name, const char* text, Measure run) {
    app.add_subcommand(name, text)->callback([&measure, run] {
      measure = run;
    });
  };
  add("hops", "latency and processor time of entry host and sidecar",
      MeasureHops);
  add("policies", "comparison of the routing policies", MeasurePolicies);
  add("groups", "time to first token by prompt length", MeasureGroups);
  add("spread", "time until a change is in force on all nodes",
      MeasurePropagation);
  add("configuration", "processor time of one change, for each step",
      MeasureConfiguration);
  add("control", "time of the planner by number of hosts", MeasureControl);
  add("planning", "time of a plan of long prompts by number of engines",
      MeasurePlanning);
  add("slopes", "slopes for docs/CAPACITY.md", MeasureSlopes);
  CLI11_PARSE(app, argc, argv);
  ConfigureLogging("error");
  const nlohmann::json figures = measure(options);
  if (!json_path.empty()) {
    std::ofstream(json_path) << figures.dump(2) << "\n";
  }
  return 0;
}

}  // namespace
}  // namespace harecrank::bench

int main(int argc, char** argv) {
  try {
    return harecrank::bench::Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "harecrank_bench: " << error.what() << "\n";
    return 1;
  }
}
