#include "src/cli/explain.h"

#include <catch2/catch.hpp>
#include <sstream>

namespace harecrank {
namespace {

constexpr char kLogs[] = R"(
{"event":"ended","node":"b","request":"r1","time_ms":10900,"outcome":"refused"}
collector-7: {"event":"placed","node":"b","request":"r1","time_ms":10100,"age_ms":100}
{"event":"placed","node":"c","request":"r2","time_ms":10150}
{"event":"source_lost","node":"b","time_ms":9000,"reason":"read"}
{"event":"source_lost","node":"c","time_ms":9000,"reason":"read"}
{"event":"source_lost","node":"b","time_ms":1000,"reason":"long ago"}
{"event":"placed","node":"b","requ
{"event":"placed","node":"c","request":"r3","time_ms":1,"left_out_before":4}
)";

RequestTimeline TimelineOf(const std::string& request) {
  RequestTimeline timeline;
  std::istringstream input(kLogs);
  ReadTimeline(&input, request, &timeline);
  FinalizeTimeline(request, &timeline);
  return timeline;
}

TEST_CASE(
    "A timeline has the request's lines in order and the state changes of its "
    "host") {
  const RequestTimeline timeline = TimelineOf("r1");
  REQUIRE(timeline.lines.size() == 3);
  CHECK(timeline.lines[0]["event"] == "source_lost");
  CHECK(timeline.lines[1]["event"] == "placed");
  CHECK(timeline.lines[2]["event"] == "ended");
  // The truncated line, and the empty lines at the start and the end.
  CHECK(timeline.unreadable >= 1);
  CHECK(timeline.left_out == 4);
}

TEST_CASE("Times are relative to the request's arrival") {
  const std::string text = FormatTimeline("r1", TimelineOf("r1"));
  CHECK(text.find("100 ms  b  placed") != std::string::npos);
  CHECK(text.find("900 ms  b  ended outcome=\"refused\"") != std::string::npos);
  CHECK(text.find("4 lines were left out") != std::string::npos);
}

TEST_CASE("A request without lines is reported as such") {
  const std::string text = FormatTimeline("r9", TimelineOf("r9"));
  CHECK(text.find("no line in these logs") != std::string::npos);
}

}  // namespace
}  // namespace harecrank
