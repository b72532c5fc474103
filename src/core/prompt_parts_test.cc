#include "harecrank/core/prompt_parts.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

TEST_CASE("The last part of a prompt is not shared") {
  const std::vector<PromptPartId> parts =
      SharedPartsOf("5c1e07a2:800,91bd3f06:410,e4402b7d:250");
  REQUIRE(parts.size() == 2);
  CHECK(LogName(parts[0]) == "5c1e07a2");
  CHECK(LogName(parts[1]) == "91bd3f06");
  CHECK(SharedPartsOf("5c1e07a2:800").empty());
  CHECK(SharedPartsOf("").empty());
}

TEST_CASE("Names of parts may have blanks around them and any characters") {
  const auto parts =
      SharedPartsOf(" a1:8 , no hex:4,,:3,a1:9,ffffffffffffff:1");
  REQUIRE(parts.size() == 2);
  CHECK(parts[0] == PromptPartId{0xa1});
  CHECK(parts[1] == SharedPartsOf("no hex,x").front());
  // A number that does not fit is a name like any other.
  CHECK(SharedPartsOf("11112222333344445:1,2").size() == 1);
}

TEST_CASE("A prompt of very many parts costs no more than others") {
  std::string list;
  for (int i = 0; i < 5000; ++i) {
    list += std::to_string(i) + ":1,";
  }
  CHECK(SharedPartsOf(list).size() == kMaxSharedParts);
}

}  // namespace
}  // namespace harecrank
