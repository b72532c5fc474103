#include "harecrank/core/event_splitter.h"

#include <catch2/catch.hpp>
#include <vector>

namespace harecrank {
namespace {

using Blocks = std::vector<std::string>;

// Splits `text` that arrives in pieces of `size` bytes.
Blocks Split(const std::string& text, std::size_t size) {
  EventSplitter splitter;
  Blocks blocks;
  for (std::size_t at = 0; at < text.size(); at += size) {
    splitter.Append(std::string_view(text).substr(at, size));
    while (const auto block = splitter.Next()) {
      blocks.emplace_back(*block);
    }
  }
  return blocks;
}

TEST_CASE("A blank line of any form ends a block, however bytes are cut") {
  struct Case {
    std::string text;
    Blocks blocks;
  };
  const std::vector<Case> cases = {
      {"a\nb\n\nc\n\n", {"a\nb\n\n", "c\n\n"}},
      {"a\r\n\r\nb\r\n\r\n", {"a\r\n\r\n", "b\r\n\r\n"}},
      {"a\r\rb\r\r", {"a\r\r", "b\r\r"}},
      {"a\n\r\nb\r\n\n", {"a\n\r\n", "b\r\n\n"}},
      {"a\r\n\rb\n\n", {"a\r\n\r", "b\n\n"}},
      // The LF belongs to a block that ended already.
      {"a\r\r\nb\n\n", {"a\r\r", "b\n\n"}},
      {"\n\na\n\n", {"\n", "\n", "a\n\n"}}};
  for (const Case& c : cases) {
    CAPTURE(c.text);
    for (std::size_t size = 1; size <= c.text.size(); ++size) {
      CAPTURE(size);
      CHECK(Split(c.text, size) == c.blocks);
    }
  }
}

TEST_CASE("A block that may go on is not returned") {
  CHECK(Split("a\nb", 1).empty());
  CHECK(Split("a\r\n\r", 1).empty());
}

TEST_CASE("Clear forgets an incomplete block") {
  EventSplitter splitter;
  splitter.Append("a\r\nb\r");
  CHECK_FALSE(splitter.Next().has_value());
  CHECK(splitter.PendingSize() == 5);
  splitter.Clear();
  splitter.Append("c\n\n");
  CHECK(splitter.Next() == "c\n\n");
  CHECK(splitter.PendingSize() == 0);
}

}  // namespace
}  // namespace harecrank
