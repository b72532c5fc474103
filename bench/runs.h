// The measurements. Each prints a table and returns its figures as JSON.

#ifndef HARECRANK_BENCH_RUNS_H_
#define HARECRANK_BENCH_RUNS_H_

#include <nlohmann/json.hpp>
#include <string>

namespace harecrank::bench {

// What each measurement is told.
struct RunOptions {
  // Shorter and less sure, to try a measurement out.
  bool quick = false;
  // Where plots go; none are drawn if it is empty.
  std::string plot;
};

// The cost of the two hops against calling the engine stand-in directly.
nlohmann::json MeasureHops(const RunOptions& options);

// First-token time by length under each routing policy, at rates around
// capacity, and the slowdown of short requests by long ones.
nlohmann::json MeasurePolicies(const RunOptions& options);

// First-token time against prompt length, and the share of the ideal reached.
nlohmann::json MeasureGroups(const RunOptions& options);

// The time until a change is in force everywhere, against the number of nodes.
nlohmann::json MeasurePropagation(const RunOptions& options);

// The processor time that one published change costs a host, step by step.
nlohmann::json MeasureConfiguration(const RunOptions& options);

// What words, asks, changes and starts cost the host that plans, at 100 to
// 3,216 hosts with ten times as many endpoints.
nlohmann::json MeasureControl(const RunOptions& options);

// The slopes that docs/CAPACITY.md is worked out from.
nlohmann::json MeasureSlopes(const RunOptions& options);

}  // namespace harecrank::bench

#endif  // HARECRANK_BENCH_RUNS_H_
