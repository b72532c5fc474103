// Measurements of harecrank on one machine, with small stand-ins.

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
  app.add_flag("--quick", options.quick, "shorter and less sure");
  app.add_option("--json", json_path, "write the figures here");
  app.add_option("--plot", options.plot, "draw the slopes here, as SVG");
  Measure measure = nullptr;
  const auto add = [&](const char* name, const char* text, Measure run) {
    app.add_subcommand(name, text)->callback([&measure, run] {
      measure = run;
    });
  };
  add("hops", "cost of the two hops", MeasureHops);
  add("policies", "routing policies side by side", MeasurePolicies);
  add("groups", "first token against prompt length", MeasureGroups);
  add("spread", "time until a change is in force", MeasurePropagation);
  add("configuration", "one change among many routes, step by step",
      MeasureConfiguration);
  add("control", "the planner's words, asks, changes and starts by size",
      MeasureControl);
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
