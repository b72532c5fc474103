// The measurements. Each prints its results and returns them as JSON.

#ifndef HARECRANK_BENCH_RUNS_H_
#define HARECRANK_BENCH_RUNS_H_

#include <nlohmann/json.hpp>
#include <string>

namespace harecrank::bench {

// Options that all measurements have.
struct RunOptions {
  // Makes a measurement shorter and less precise, to try it out.
  bool quick = false;
  // Path of the SVG file for plots. If empty, nothing is drawn.
  std::string plot;
};

// Measures the latency and processor time that entry host and sidecar add,
// compared with direct calls to the engine stand-in.
nlohmann::json MeasureHops(const RunOptions& options);

// Measures the time to first token by prompt length under each routing policy
// at 0.5 to 2 times the capacity, and how much long requests slow short ones
// down.
nlohmann::json MeasurePolicies(const RunOptions& options);

// Measures the time to first token by prompt length, and the ratio of the ideal
// time to it.
nlohmann::json MeasureGroups(const RunOptions& options);

// Measures the time until a configuration change is in force on all nodes, by
// the number of nodes.
nlohmann::json MeasurePropagation(const RunOptions& options);

// Measures the processor time that a host spends on one published configuration
// change, for each step of its processing.
nlohmann::json MeasureConfiguration(const RunOptions& options);

// Measures the time that the planner spends on heartbeats, placement queries,
// configuration changes and snapshots for hosts that start, with 100 to 3,216
// hosts and ten times as many endpoints.
nlohmann::json MeasureControl(const RunOptions& options);

// Measures the processor time that the planner spends on planning long prompts
// ahead, with 60 to 3,700 engines.
nlohmann::json MeasurePlanning(const RunOptions& options);

// Measures the resource usage per link, listed endpoint, token and request that
// docs/CAPACITY.md is derived from.
nlohmann::json MeasureSlopes(const RunOptions& options);

}  // namespace harecrank::bench

#endif  // HARECRANK_BENCH_RUNS_H_
