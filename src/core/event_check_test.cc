#include "harecrank/core/event_check.h"

#include <catch2/catch.hpp>
#include <vector>

namespace harecrank {
namespace {

bool IsNext(const EventVerdict& verdict) {
  return std::holds_alternative<NextEvent>(verdict);
}

PieceFault FaultAfter(const std::string& first, const std::string& block) {
  EventCheck check;
  REQUIRE(IsNext(check.Accept(first)));
  const EventVerdict verdict = check.Accept(block);
  REQUIRE(std::holds_alternative<PieceFault>(verdict));
  CHECK(check.Count() == 1);
  return std::get<PieceFault>(verdict);
}

TEST_CASE("An event has text, data and one id that rises") {
  const std::string first = "id: 4\ndata: a\n\n";
  struct Case {
    std::string block;
    PieceFault fault;
  };
  const std::vector<Case> cases = {
      {"data: b\n\n", PieceFault::kNoId},
      {"bytes that are no answer\n\n", PieceFault::kNoId},
      {"id\ndata: b\n\n", PieceFault::kNoId},
      {"id: 5\n\n", PieceFault::kNoData},
      {"id: 5\nid: 6\ndata: b\n\n", PieceFault::kSeveralIds},
      {"id: 4\ndata: a\n\n", PieceFault::kRepeated},
      {"id: 3\ndata: b\n\n", PieceFault::kBackwards},
      {"id: x5\ndata: b\n\n", PieceFault::kForeignId},
      {"id: five\ndata: b\n\n", PieceFault::kMalformedId},
      {"id: 5 5\ndata: b\n\n", PieceFault::kMalformedId},
      {"id: 9999999999999999999\ndata: b\n\n", PieceFault::kMalformedId},
      {"id: " + std::string(200, '5') + "\ndata: b\n\n",
       PieceFault::kMalformedId},
      {"id: 5\ndata: \xff\n\n", PieceFault::kNotText},
      // A text that ends inside a character, and a surrogate.
      {"id: 5\ndata: \xe2\x82\n\n", PieceFault::kNotText},
      {"id: 5\ndata: \xed\xa0\x80\n\n", PieceFault::kNotText}};
  for (const Case& c : cases) {
    CAPTURE(c.block);
    CHECK(FaultAfter(first, c.block) == c.fault);
  }
}

TEST_CASE("What the format allows in an event is accepted") {
  EventCheck check;
  CHECK(IsNext(check.Accept("id: 1\ndata: a\n\n")));
  CHECK(IsNext(check.Accept("version: 7\r\nid:2\r\nevent: x\r\ndata\r\n\r\n")));
  CHECK(IsNext(check.Accept(": note\ndata: a\ndata: b\nid: 30\n\n")));
  CHECK(IsNext(check.Accept("id: 31\rdata: \xe2\x82\xac\r\r")));
  CHECK(check.LastId() == "31");
  CHECK(check.Count() == 4);
}

TEST_CASE("Ids of other forms rise by the number at their end") {
  EventCheck check;
  CHECK(IsNext(check.Accept("id: run-7.009\ndata: a\n\n")));
  CHECK(IsNext(check.Accept("id: run-7.010\ndata: a\n\n")));
  CHECK(check.LastId() == "run-7.010");
}

TEST_CASE("Blank lines, comments and settings are no events") {
  EventCheck check;
  for (const char* block : {"\n", "\r\n", ": ping\n\n", ":\n\n",
                            "retry: 500\n\n", "event: x\n\n"}) {
    CAPTURE(block);
    CHECK(std::holds_alternative<NoEvent>(check.Accept(block)));
  }
  CHECK(check.Count() == 0);
}

}  // namespace
}  // namespace harecrank
