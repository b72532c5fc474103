#include "src/adapters/body_memory.h"

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

namespace harecrank {
namespace {

constexpr std::size_t kLimit = 8U << 20U;

// Forty senders of large bodies, which all grow in steps, and then ordinary
// callers.
TEST_CASE("Large bodies leave room for small ones") {
  BodyMemory memory(kLimit);
  std::vector<std::unique_ptr<BodyMemory::Holding>> large;
  constexpr std::size_t kSenders = 40;
  large.reserve(kSenders);
  for (std::size_t i = 0; i < kSenders; ++i) {
    large.push_back(std::make_unique<BodyMemory::Holding>(&memory));
  }
  for (std::size_t bytes = 100000; bytes < kLimit; bytes += 100000) {
    for (const auto& holding : large) {
      holding->TryResize(bytes);
      CHECK(memory.Held() <= kLimit - kLimit / 4);
    }
  }
  BodyMemory::Holding small(&memory);
  CHECK(small.TryResize(5000));
}

TEST_CASE("What a body has held is free again once it ends") {
  BodyMemory memory(kLimit);
  {
    BodyMemory::Holding body(&memory);
    CHECK(body.TryResize(5U << 20U));
    CHECK_FALSE(body.TryResize(7U << 20U));
    CHECK(memory.Held() == (5U << 20U));
    CHECK(body.TryResize(1000));
    CHECK(memory.Held() == 1000);
  }
  CHECK(memory.Held() == 0);
}

}  // namespace
}  // namespace harecrank
