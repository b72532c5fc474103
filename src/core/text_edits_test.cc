#include "harecrank/core/text_edits.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

std::string JoinChunks(const std::vector<std::string>& route_names) {
  std::string text = "{\"version\":1,\"routes\":[";
  for (const std::string& name : route_names) {
    text += "{\"name\":\"" + name + "\"},";
  }
  return text + "]}";
}

std::size_t InsertedBytes(const std::vector<TextEdit>& edits) {
  std::size_t bytes = 0;
  for (const TextEdit& edit : edits) {
    bytes += edit.inserted.size();
  }
  return bytes;
}

void CheckRoundTrip(const std::string& base, const std::string& next) {
  CHECK(ApplyEdits(base, DiffTexts(base, next)) == next);
}

TEST_CASE("Edits transform any text into any other", "[text_edits]") {
  const std::string base = JoinChunks({"a", "b", "c", "d"});
  for (const std::string& next :
       {base, JoinChunks({"a", "x", "c", "d"}),
        JoinChunks({"d", "c", "b", "a"}), JoinChunks({"a", "d"}),
        JoinChunks({"a", "b", "b", "b", "c", "new", "d"}), JoinChunks({}),
        std::string(), std::string("no braces at all"), std::string("}}}")}) {
    CheckRoundTrip(base, next);
    CheckRoundTrip(next, base);
  }
}

TEST_CASE("Unchanged text is copied, not inserted", "[text_edits]") {
  std::vector<std::string> names;
  constexpr int kRoutes = 1300;
  names.reserve(kRoutes + 1);
  for (int i = 0; i < kRoutes; ++i) {
    names.push_back("route-" + std::to_string(i));
  }
  const std::string base = JoinChunks(names);
  names[700] = "another";
  names.insert(names.begin() + 300, "one more");
  names.erase(names.begin() + 20, names.begin() + 60);
  const std::string next = JoinChunks(names);
  const auto edits = DiffTexts(base, next);
  CHECK(InsertedBytes(edits) < 100);
  CHECK(edits.size() < 10);
  CheckRoundTrip(base, next);
}

TEST_CASE("Edits that copy beyond the end of the base are rejected",
          "[text_edits]") {
  const std::string base = JoinChunks({"a", "b", "c"});
  CHECK_FALSE(ApplyEdits("{}", DiffTexts(base, base)).has_value());
  CHECK_FALSE(ApplyEdits(base, {TextEdit{1, std::string::npos, ""}}));
}

}  // namespace
}  // namespace harecrank
