#include "harecrank/core/answer_end.h"

#include <catch2/catch.hpp>

#include "harecrank/core/http_status.h"

namespace harecrank {
namespace {

TEST_CASE("Only an orderly end without any error may end a whole answer") {
  CHECK(JudgeEnd({true, false}) == EndVerdict::kMayBeWhole);
  CHECK(JudgeEnd({true, true}) == EndVerdict::kCutOff);
  CHECK(JudgeEnd({false, false}) == EndVerdict::kCutOff);
  CHECK(JudgeEnd({false, true}) == EndVerdict::kCutOff);
}

TEST_CASE("A connection that was reset ends no whole answer") {
  CHECK(JudgeEnd({true, false, true, true}) == EndVerdict::kCutOff);
  CHECK(JudgeEnd({true, false, true, false}) == EndVerdict::kCutOff);
}

TEST_CASE("The end of an early answer is asked for again") {
  CHECK(JudgeEnd({true, false, false, false}) == EndVerdict::kTooEarly);
  CHECK(JudgeEnd({true, true, false, false}) == EndVerdict::kCutOff);
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
