#include "harecrank/core/part_history.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

PromptPartId Part(std::size_t number) { return PromptPartId{number}; }
TimePoint At(int ms) { return TimePoint{} + Millis(ms); }

TEST_CASE("The last sound answer counts, in whatever order they are told") {
  PartHistory history;
  CHECK_FALSE(history.LastSound(Part(1)).has_value());
  history.OnSound(Part(1), At(20));
  history.OnSound(Part(1), At(10));
  CHECK(history.LastSound(Part(1)) == At(20));
  history.OnSent(Part(1));
  CHECK(history.SentCount(Part(1)) == 1);
  CHECK(history.SentCount(Part(2)) == 0);
}

TEST_CASE("A flood of names is bounded and does not displace a part in use") {
  PartHistory history;
  constexpr std::size_t kNames = 20 * PartHistory::kGenerationSize;
  constexpr std::size_t kUseInterval = 100;
  for (std::size_t i = 1; i < kNames; ++i) {
    history.OnSent(Part(i));
    if (i % kUseInterval == 0) {
      history.OnSent(Part(0));
      history.OnSound(Part(0), At(static_cast<int>(i)));
    }
    REQUIRE(history.Count() <= 2 * PartHistory::kGenerationSize);
    REQUIRE((i < kUseInterval || history.LastSound(Part(0)).has_value()));
  }
  CHECK(history.SentCount(Part(0)) == (kNames - 1) / kUseInterval);
  CHECK(history.SentCount(Part(1)) == 0);
}

}  // namespace
}  // namespace harecrank
