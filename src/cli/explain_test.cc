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

RequestTimeline StoryOf(const std::string& request) {
  RequestTimeline story;
  std::istringstream input(kLogs);
  ReadTimeline(&input, request, &story);
  FinalizeTimeline(request, &story);
  return story;
}

TEST_CASE(
    "A story has the request's lines in order and what its host "
    "believed") {
  const RequestTimeline story = StoryOf("r1");
  REQUIRE(story.lines.size() == 3);
  CHECK(story.lines[0]["event"] == "source_lost");
  CHECK(story.lines[1]["event"] == "placed");
  CHECK(story.lines[2]["event"] == "ended");
  // The cut line and the two empty ones.
  CHECK(story.unreadable >= 1);
  CHECK(story.left_out == 4);
}

TEST_CASE("Times are told from the request's arrival") {
  const std::string text = FormatTimeline("r1", StoryOf("r1"));
  CHECK(text.find("100 ms  b  placed") != std::string::npos);
  CHECK(text.find("900 ms  b  ended outcome=\"refused\"") != std::string::npos);
  CHECK(text.find("4 lines were left out") != std::string::npos);
}

TEST_CASE("A request without lines is said to have none") {
  const std::string text = FormatTimeline("r9", StoryOf("r9"));
  CHECK(text.find("no line in these logs") != std::string::npos);
}

}  // namespace
}  // namespace harecrank
