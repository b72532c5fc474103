#include "harecrank/core/event_scanner.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

TEST_CASE("Only complete events are returned, however the bytes are split") {
  EventScanner scanner;
  CHECK(scanner.Accept("id: 1\nda").empty());
  CHECK(scanner.HasPartial());
  CHECK(scanner.Accept("ta: a\n\nid: 2\n") == "id: 1\ndata: a\n\n");
  CHECK(scanner.LastId() == "1");
  CHECK(scanner.Accept("data: b\n\n") == "id: 2\ndata: b\n\n");
  CHECK_FALSE(scanner.HasPartial());
  CHECK(scanner.LastId() == "2");
  CHECK(scanner.Count() == 2);
}

TEST_CASE("DropPartial discards an incomplete event") {
  EventScanner scanner;
  scanner.Accept("id: 1\n\nid: 2\ndata: lost");
  scanner.DropPartial();
  CHECK(scanner.LastId() == "1");
  CHECK(scanner.Accept("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
}

TEST_CASE("Lines may end with CRLF") {
  EventScanner scanner;
  CHECK(scanner.Accept("id: 7\r\n\r\n") == "id: 7\r\n\r\n");
  CHECK(scanner.LastId() == "7");
}

TEST_CASE("An event without an id does not change the last id") {
  EventScanner scanner;
  scanner.Accept("id: 1\n\ndata: b\n\n");
  CHECK(scanner.LastId() == "1");
}

}  // namespace
}  // namespace harecrank
