// One request's story from the logs of any number of processes.

#ifndef HARECRANK_SRC_CLI_EXPLAIN_H_
#define HARECRANK_SRC_CLI_EXPLAIN_H_

#include <istream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace harecrank {

// What was found in the logs.
struct RequestTimeline {
  // The request's lines, and those on what its hosts believed around it, by
  // time of day.
  std::vector<nlohmann::json> lines;
  // Lines that are no JSON object: cut, or of another program.
  std::size_t unreadable = 0;
  // Lines that the processes say they left out.
  std::size_t left_out = 0;
};

// Reads `input` to its end and adds what concerns `request`.
void ReadTimeline(std::istream* input, const std::string& request,
                  RequestTimeline* story);

// Sorts the lines and drops beliefs of hosts that never saw the request.
void FinalizeTimeline(const std::string& request, RequestTimeline* story);

// Returns the story for a person, one line a decision.
std::string FormatTimeline(const std::string& request,
                           const RequestTimeline& story);

}  // namespace harecrank

#endif  // HARECRANK_SRC_CLI_EXPLAIN_H_
