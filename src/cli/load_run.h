// Generates an open-loop load and measures the responses.

#ifndef HARECRANK_SRC_CLI_LOAD_RUN_H_
#define HARECRANK_SRC_CLI_LOAD_RUN_H_

#include <cstdint>
#include <string>
#include <vector>

namespace harecrank {

// Parameters of a load run: where to send requests, of what kind, and how many.
struct LoadPlan {
  // Addresses of entry hosts. Each request goes to a random one.
  std::vector<std::string> targets;
  // API key of the client account.
  std::string key;
  std::string model;
  // Requests per second.
  double rate = 10;
  double seconds = 10;
  // Prompt lengths in tokens and their shares of the requests, each as
  // "TOKENS:SHARE".
  std::vector<std::string> mix{"1000:1"};
  std::int64_t answer_tokens = 32;
  std::int64_t time_limit_ms = 30000;
  // Seed of the arrival times, prompt lengths and prompts.
  std::uint64_t seed = 1;
  // Maximum number of concurrent requests.
  int threads = 512;
  // Whether to send a single request immediately instead of generating a load.
  bool single_request = false;
  // If not empty, the address of an engine stand-in, to which the requests are
  // sent directly. Such a run measures the baseline without entry host and
  // sidecar.
  std::string engine_address;
};

// The results of a run.
struct LoadRunReport {
  std::string text;
  std::string json;
  // Number of requests with a complete answer.
  std::int64_t answered = 0;
};

// Sends the requests of `plan`, waits for all answers and returns the results.
// Requests are sent at their arrival times without waiting for earlier answers,
// so slow answers do not reduce the load unless `plan.threads` requests are
// already running.
LoadRunReport RunLoad(const LoadPlan& plan);

}  // namespace harecrank

#endif  // HARECRANK_SRC_CLI_LOAD_RUN_H_
