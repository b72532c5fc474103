#include "src/adapters/json_values.h"

#include <catch2/catch.hpp>
#include <string>

namespace harecrank {
namespace {

TEST_CASE("Values of JSON are counted outside of strings") {
  CHECK(HasFewJsonValues(R"({"a":[1,2],"b":"x,y,[{"})", 6));
  CHECK_FALSE(HasFewJsonValues(R"({"a":[1,2],"b":"x,y,[{"})", 4));
  CHECK(HasFewJsonValues(R"("\",,,,")", 1));
}

TEST_CASE("A long prompt is one value") {
  CHECK(HasFewJsonValues("{\"prompt\":\"" + std::string(4000000, ',') + "\"}"));
}

TEST_CASE("A body of many small values has too many") {
  std::string body = "[0";
  for (std::size_t i = 0; i < kMaxJsonValues; ++i) {
    body += ",0";
  }
  CHECK_FALSE(HasFewJsonValues(body + "]"));
}

}  // namespace
}  // namespace harecrank
