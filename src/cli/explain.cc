#include "src/cli/explain.h"

#include <algorithm>
#include <set>
#include <sstream>
#include <utility>

namespace harecrank {
namespace {

using nlohmann::json;

// Names of the events that report a change of a host's state. Such a change may
// explain how the host handled a request.
const std::set<std::string>& StateChangeEvents() {
  static const std::set<std::string> kEvents = {
      "start",          "stop",        "reload",          "drain",
      "configuration",  "source_lost", "source_regained", "endpoint_gone",
      "endpoints_told", "peer_asked"};
  return kEvents;
}

// Fields that FormatDetails omits.
const std::set<std::string>& CommonFields() {
  static const std::set<std::string> kFields = {"event", "node", "request",
                                                "time_ms", "steady_ms"};
  return kFields;
}

bool BelongsTo(const json& line, const std::string& request) {
  return line.value("request", "") == request;
}

std::string FormatDetails(const json& line) {
  std::ostringstream text;
  for (const auto& [key, value] : line.items()) {
    if (CommonFields().count(key) == 0) {
      text << " " << key << "=" << value.dump();
    }
  }
  return text.str();
}

}  // namespace

void ReadTimeline(std::istream* input, const std::string& request,
                  RequestTimeline* timeline) {
  std::string text;
  while (std::getline(*input, text)) {
    // Log collectors may add a prefix to a line.
    const std::size_t begin = text.find('{');
    constexpr bool kThrow = false;
    json line = begin == std::string::npos
                    ? json()
                    : json::parse(text.substr(begin), nullptr, kThrow);
    if (!line.is_object() || !line.contains("event")) {
      ++timeline->unreadable;
      continue;
    }
    timeline->left_out += line.value("left_out_before", std::size_t{0});
    if (BelongsTo(line, request) ||
        StateChangeEvents().count(line.value("event", "")) != 0) {
      timeline->lines.push_back(std::move(line));
    }
  }
}

void FinalizeTimeline(const std::string& request, RequestTimeline* timeline) {
  std::set<std::string> nodes;
  std::int64_t first = INT64_MAX;
  std::int64_t last = 0;
  for (const json& line : timeline->lines) {
    if (BelongsTo(line, request)) {
      nodes.insert(line.value("node", ""));
      const auto time = line.value("time_ms", std::int64_t{0});
      first = std::min(first, time);
      last = std::max(last, time);
    }
  }
  // Maximum time between a state change and a later first line of the request.
  // Such state changes are kept, because an earlier event, such as an outage of
  // the store, may still have influenced the request.
  constexpr std::int64_t kMaxLeadMs = 5000;
  auto& lines = timeline->lines;
  lines.erase(
      std::remove_if(lines.begin(), lines.end(),
                     [&](const json& line) {
                       const auto time = line.value("time_ms", std::int64_t{0});
                       return !BelongsTo(line, request) &&
                              (nodes.count(line.value("node", "")) == 0 ||
                               time < first - kMaxLeadMs || time > last);
                     }),
      lines.end());
  std::stable_sort(lines.begin(), lines.end(),
                   [](const json& a, const json& b) {
                     return a.value("time_ms", std::int64_t{0}) <
                            b.value("time_ms", std::int64_t{0});
                   });
}

std::string FormatTimeline(const std::string& request,
                           const RequestTimeline& timeline) {
  std::ostringstream text;
  const auto first_line =
      std::find_if(timeline.lines.begin(), timeline.lines.end(),
                   [&](const json& line) { return BelongsTo(line, request); });
  if (first_line == timeline.lines.end()) {
    text << "request " << request << ": no line in these logs\n";
  }
  const std::int64_t start =
      first_line == timeline.lines.end()
          ? 0
          : first_line->value("time_ms", std::int64_t{0}) -
                first_line->value("age_ms", std::int64_t{0});
  for (const json& line : timeline.lines) {
    const auto time = line.value("time_ms", std::int64_t{0});
    text << (BelongsTo(line, request) ? "  " : "  (host) ") << time - start
         << " ms  " << line.value("node", "") << "  " << line.value("event", "")
         << FormatDetails(line) << "\n";
  }
  if (timeline.left_out > 0) {
    text << "  " << timeline.left_out
         << " lines were left out by the processes under load\n";
  }
  if (timeline.unreadable > 0) {
    text << "  " << timeline.unreadable << " lines could not be read\n";
  }
  return text.str();
}

}  // namespace harecrank
