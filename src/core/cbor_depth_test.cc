#include "harecrank/core/cbor_depth.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace harecrank {
namespace {

using nlohmann::json;

std::string Encode(const json& value) {
  std::string bytes;
  json::to_cbor(value, bytes);
  return bytes;
}

json Nested(std::size_t depth) {
  json value = 1;
  for (std::size_t i = 0; i < depth; ++i) {
    value = i % 2 == 0 ? json::array({std::move(value), "x"})
                       : json({{"key", std::move(value)}, {"more", 2.5}});
  }
  return value;
}

TEST_CASE("A message is shallow up to the depth that is allowed") {
  for (const std::size_t depth :
       {std::size_t{0}, std::size_t{1}, kMaxCborDepth - 1, kMaxCborDepth}) {
    CHECK(IsShallowCbor(Encode(Nested(depth))));
  }
  CHECK_FALSE(IsShallowCbor(Encode(Nested(kMaxCborDepth + 1))));
}

TEST_CASE("Wide messages with values of every kind are shallow") {
  json value = {{"empty", json::array()},
                {"none", json::object()},
                {"text", std::string(70000, 'x')},
                {"true", true},
                {"null", nullptr},
                {"negative", -70000},
                {"large", std::uint64_t{1} << 60U},
                {"number", 1e300}};
  for (int i = 0; i < 1000; ++i) {
    value["list"].push_back(i);
    value["map"][std::to_string(i)] = {i};
  }
  CHECK(IsShallowCbor(Encode(value)));
}

TEST_CASE("A message that is cut off anywhere is not shallow") {
  const std::string bytes = Encode({1, "text", {{"key", 70000}}, 2.5});
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(IsShallowCbor(bytes.substr(0, size)));
  }
  CHECK(IsShallowCbor(bytes));
}

TEST_CASE("Beginnings of items without end are not shallow") {
  for (const std::string unit :
       {"\x81", "\xa1\x61\x61", "\xc1", "\x9f", "\xbf\x61\x61", "\x7f"}) {
    std::string bytes;
    for (int i = 0; i < 100000; ++i) {
      bytes += unit;
    }
    CHECK_FALSE(IsShallowCbor(bytes));
  }
}

TEST_CASE("Sizes beyond the message are malformed") {
  const std::string huge(8, '\xff');
  for (const std::string type : {"\x5b", "\x7b", "\x9b", "\xbb", "\xdb"}) {
    CHECK_FALSE(IsShallowCbor(type + huge));
  }
  CHECK_FALSE(IsShallowCbor("\xff"));
  CHECK_FALSE(IsShallowCbor("\x1c"));
  CHECK(IsShallowCbor("\x9f\x01\xff"));
}

}  // namespace
}  // namespace harecrank
