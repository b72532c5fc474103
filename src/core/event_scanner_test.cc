#include "harecrank/core/event_scanner.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

std::string Event(int number) {
  return "id: " + std::to_string(number) + "\ndata: x\n\n";
}

TEST_CASE("Only complete events are returned, however the bytes are split") {
  EventScanner scanner;
  CHECK(scanner.Accept("id: 1\nda").events.empty());
  CHECK(scanner.HasPartial());
  CHECK(scanner.Accept("ta: a\n\nid: 2\n").events == "id: 1\ndata: a\n\n");
  CHECK(scanner.LastId() == "1");
  CHECK(scanner.Accept("data: b\n\n").events == "id: 2\ndata: b\n\n");
  CHECK_FALSE(scanner.HasPartial());
  CHECK(scanner.LastId() == "2");
  CHECK(scanner.Count() == 2);
}

TEST_CASE("BeginRun discards an incomplete event") {
  EventScanner scanner;
  scanner.Accept("id: 1\ndata: a\n\nid: 2\ndata: lost");
  scanner.BeginRun();
  CHECK(scanner.LastId() == "1");
  CHECK(scanner.Accept("id: 2\ndata: b\n\n").events == "id: 2\ndata: b\n\n");
}

TEST_CASE("Lines may end with CRLF") {
  EventScanner scanner;
  CHECK(scanner.Accept("id: 7\r\ndata: x\r\n\r\n").events ==
        "id: 7\r\ndata: x\r\n\r\n");
  CHECK(scanner.LastId() == "7");
}

TEST_CASE(
    "An event without an id is no event and does not change the last id") {
  EventScanner scanner;
  const ScannedEvents scanned = scanner.Accept(Event(1) + "data: b\n\n");
  CHECK(scanned.events == Event(1));
  CHECK(scanned.fault == PieceFault::kNoId);
  CHECK(scanner.LastId() == "1");
}

TEST_CASE("Nothing of a run is taken after a fault, and the next run goes on") {
  EventScanner scanner;
  CHECK(scanner.Accept(Event(1) + "noise\n\n" + Event(2)).fault.has_value());
  CHECK_FALSE(scanner.MayEnd());
  CHECK(scanner.Accept(Event(2)).events.empty());
  scanner.BeginRun();
  CHECK(scanner.Accept(Event(1)).fault == PieceFault::kRepeated);
  scanner.BeginRun();
  CHECK(scanner.Accept(Event(2)).events == Event(2));
  CHECK(scanner.MayEnd());
}

TEST_CASE("An event without end within the limit is a fault") {
  EventScanner scanner;
  scanner.Accept("id: 1\ndata: ");
  const std::string part(EventScanner::kMaxEventBytes, 'x');
  CHECK(scanner.Accept(part).fault == PieceFault::kTooLarge);
  CHECK(scanner.PartialSize() == 0);
}

TEST_CASE("A stream may end after an event, not within one or without any") {
  EventScanner scanner;
  CHECK_FALSE(scanner.MayEnd());
  scanner.Accept(": ping\n\n");
  CHECK_FALSE(scanner.MayEnd());
  scanner.Accept(Event(1));
  CHECK(scanner.MayEnd());
  scanner.Accept("id");
  CHECK_FALSE(scanner.MayEnd());
}

TEST_CASE("A resumed stream brings only what the caller does not have") {
  EventScanner scanner;
  scanner.ResumeAfter("5");
  CHECK(scanner.MayEnd());
  CHECK(scanner.LastId().empty());
  CHECK(scanner.Accept(Event(5)).fault == PieceFault::kNotResumed);
  scanner.BeginRun();
  CHECK(scanner.Accept(Event(6)).events == Event(6));
  CHECK(scanner.Accept(Event(6)).fault == PieceFault::kRepeated);
}

TEST_CASE("An id that no event could have says nothing of a resumed stream") {
  EventScanner scanner;
  for (const char* id : {"", "five", "a\nb", "99999999999999999999"}) {
    scanner.ResumeAfter(id);
  }
  CHECK(scanner.Accept(Event(1)).events == Event(1));
}

TEST_CASE("A mark at the beginning of a stream belongs to no event") {
  const std::string mark = "\xef\xbb\xbf";
  EventScanner scanner;
  CHECK(scanner.Accept(mark + Event(1)).events == Event(1));
  scanner.BeginRun();
  CHECK(scanner.Accept(mark + Event(2)).events == Event(2));
  CHECK(scanner.Accept(mark + Event(3)).fault.has_value());
}

}  // namespace
}  // namespace harecrank
