// Reconstructs the timeline of one request from the event logs of any number of
// processes.

#ifndef HARECRANK_SRC_CLI_EXPLAIN_H_
#define HARECRANK_SRC_CLI_EXPLAIN_H_

#include <istream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace harecrank {

// The log lines that concern one request.
struct RequestTimeline {
  // Log lines of the request, and of state changes of the hosts that handled
  // it. FinalizeTimeline sorts them by time of day.
  std::vector<nlohmann::json> lines;
  // Number of lines that could not be read as an event, because they are
  // truncated or come from another program.
  std::size_t unreadable = 0;
  // Number of lines that the processes report as suppressed by their rate
  // limit.
  std::size_t left_out = 0;
};

// Reads `input` to its end, and adds the lines of `request` and all lines on
// state changes of hosts.
void ReadTimeline(std::istream* input, const std::string& request,
                  RequestTimeline* timeline);

// Sorts the lines by time of day. Removes state changes of hosts that did not
// log the request, and state changes that are too early or too late to have
// influenced it.
void FinalizeTimeline(const std::string& request, RequestTimeline* timeline);

// Returns the timeline as text, one line per event.
std::string FormatTimeline(const std::string& request,
                           const RequestTimeline& timeline);

}  // namespace harecrank

#endif  // HARECRANK_SRC_CLI_EXPLAIN_H_
