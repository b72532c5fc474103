#include "harecrank/core/segment_plan.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

SegmentCandidate MakeCandidate(const std::string& id, std::int64_t free) {
  return SegmentCandidate{EndpointId{id}, Tokens{free}, Tokens{free}};
}

TEST_CASE(
    "A prompt is split into the smallest number of even segments that hold "
    "it") {
  const auto plan = PlanSegments(
      Tokens{100}, Tokens{10},
      {MakeCandidate("a", 80), MakeCandidate("b", 80), MakeCandidate("c", 80)});
  REQUIRE(plan);
  REQUIRE(plan->size() == 2);
  CHECK((*plan)[0].length.value == 50);
  CHECK((*plan)[1].reserve.value == 60);
}

TEST_CASE("The segments cover the prompt without a gap") {
  const auto plan =
      PlanSegments(Tokens{1001}, Tokens{10},
                   {MakeCandidate("a", 100), MakeCandidate("b", 700),
                    MakeCandidate("c", 400), MakeCandidate("d", 300)});
  REQUIRE(plan);
  std::int64_t next = 0;
  for (const Segment& segment : *plan) {
    CHECK(segment.begin.value == next);
    next += segment.length.value;
  }
  CHECK(next == 1001);
}

TEST_CASE("No member is asked for more than it has free") {
  const auto plan =
      PlanSegments(Tokens{150}, Tokens{5},
                   {MakeCandidate("a", 100), MakeCandidate("b", 40),
                    MakeCandidate("c", 30)});
  REQUIRE(plan);
  CHECK((*plan)[0].reserve.value <= 100);
  CHECK((*plan)[1].reserve.value <= 40);
  CHECK((*plan)[2].reserve.value <= 30);
}

TEST_CASE("A prompt that no group can hold is not split") {
  CHECK_FALSE(PlanSegments(Tokens{100}, Tokens{1}, {MakeCandidate("a", 100)}));
  CHECK_FALSE(PlanSegments(Tokens{1}, Tokens{1}, {}));
}

}  // namespace
}  // namespace harecrank
