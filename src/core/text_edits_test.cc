#include "harecrank/core/text_edits.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

std::string Joined(const std::vector<std::string>& pieces) {
  std::string text = "{\"version\":1,\"routes\":[";
  for (const std::string& piece : pieces) {
    text += "{\"name\":\"" + piece + "\"},";
  }
  return text + "]}";
}

std::size_t Inserted(const std::vector<TextEdit>& edits) {
  std::size_t bytes = 0;
  for (const TextEdit& edit : edits) {
    bytes += edit.inserted.size();
  }
  return bytes;
}

void CheckLeads(const std::string& base, const std::string& next) {
  CHECK(ApplyEdits(base, DiffTexts(base, next)) == next);
}

TEST_CASE("Edits lead from any text to any other", "[text_edits]") {
  const std::string base = Joined({"a", "b", "c", "d"});
  for (const std::string& next :
       {base, Joined({"a", "x", "c", "d"}), Joined({"d", "c", "b", "a"}),
        Joined({"a", "d"}), Joined({"a", "b", "b", "b", "c", "new", "d"}),
        Joined({}), std::string(), std::string("no braces at all"),
        std::string("}}}")}) {
    CheckLeads(base, next);
    CheckLeads(next, base);
  }
}

TEST_CASE("What is kept is not told again", "[text_edits]") {
  std::vector<std::string> names;
  constexpr int kMany = 1300;
  names.reserve(kMany + 1);
  for (int i = 0; i < kMany; ++i) {
    names.push_back("route-" + std::to_string(i));
  }
  const std::string base = Joined(names);
  names[700] = "another";
  names.insert(names.begin() + 300, "one more");
  names.erase(names.begin() + 20, names.begin() + 60);
  const std::string next = Joined(names);
  const auto edits = DiffTexts(base, next);
  CHECK(Inserted(edits) < 100);
  CHECK(edits.size() < 10);
  CheckLeads(base, next);
}

TEST_CASE("Edits of another text are refused where they exceed it",
          "[text_edits]") {
  const std::string base = Joined({"a", "b", "c"});
  CHECK_FALSE(ApplyEdits("{}", DiffTexts(base, base)).has_value());
  CHECK_FALSE(ApplyEdits(base, {TextEdit{1, std::string::npos, ""}}));
}

}  // namespace
}  // namespace harecrank
