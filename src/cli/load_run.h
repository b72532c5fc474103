// One run of an open-loop load.

#ifndef HARECRANK_SRC_CLI_LOAD_RUN_H_
#define HARECRANK_SRC_CLI_LOAD_RUN_H_

#include <cstdint>
#include <string>
#include <vector>

namespace harecrank {

// What to send.
struct LoadPlan {
  std::vector<std::string> targets;
  std::string key;
  std::string model;
  double rate = 10;
  double seconds = 10;
  // "TOKENS:SHARE" each.
  std::vector<std::string> mix{"1000:1"};
  std::int64_t answer_tokens = 32;
  std::int64_t time_limit_ms = 30000;
  std::uint64_t seed = 1;
  int threads = 512;
  // Sends a single request at once in place of a rate.
  bool single_request = false;
  // Where set, the engine stand-in's own address: the baseline without hops.
  std::string engine_address;
};

// What came of it.
struct LoadRunReport {
  std::string text;
  std::string json;
  std::int64_t answered = 0;
};

// Sends by `plan`, waits for every answer, and reports. Arrivals do not wait
// for answers: a slow system meets the load that it would meet in life.
LoadRunReport RunLoad(const LoadPlan& plan);

}  // namespace harecrank

#endif  // HARECRANK_SRC_CLI_LOAD_RUN_H_
