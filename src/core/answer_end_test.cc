#include "harecrank/core/answer_end.h"

#include <catch2/catch.hpp>

#include "harecrank/core/http_status.h"

namespace harecrank {
namespace {

TEST_CASE("Only an orderly end without any error may end a whole answer") {
  CHECK(MayBeWhole({true, false}));
  CHECK_FALSE(MayBeWhole({true, true}));
  CHECK_FALSE(MayBeWhole({false, false}));
  CHECK_FALSE(MayBeWhole({false, true}));
}

TEST_CASE("A process that says it is another one is not the endpoint's") {
  const EndpointId endpoint{"i-1"};
  CHECK_FALSE(IsSameProcess(endpoint, {http_status::kMisdirected, {}}));
  CHECK_FALSE(IsSameProcess(endpoint, {http_status::kMisdirected, "i-1"}));
  CHECK_FALSE(IsSameProcess(endpoint, {http_status::kOk, "i-2"}));
  CHECK_FALSE(IsSameProcess(endpoint, {http_status::kUnavailable, "i-2"}));
}

TEST_CASE("A process that is full or about to leave is still the endpoint's") {
  const EndpointId endpoint{"i-1"};
  CHECK(IsSameProcess(endpoint, {http_status::kOk, "i-1"}));
  CHECK(IsSameProcess(endpoint, {http_status::kUnavailable, "i-1"}));
  CHECK(IsSameProcess(endpoint, {http_status::kUnavailable, {}}));
}

}  // namespace
}  // namespace harecrank
