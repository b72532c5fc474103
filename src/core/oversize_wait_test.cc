#include "harecrank/core/oversize_wait.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

constexpr TimePoint kArrived{std::chrono::hours(1)};
constexpr Millis kTarget{4000};

class OversizeWaitFixture {
 protected:
  OversizeWaitFixture() {
    service_.engine.emplace();
    service_.engine->prefill_tokens_per_ms = 10;
    request_.service = &service_;
    request_.target_latency = kTarget;
    // Takes 34 s on one engine and 2 s on one with the maximum number of
    // helpers.
    request_.prompt = Tokens{340000};
  }

  TimePoint WaitEnd(Millis deadline) {
    return OversizeWaitEnd(request_, policy_, kArrived + kTarget,
                           kArrived + deadline);
  }

  PlacementPolicy policy_;
  ServiceProfile service_;
  PlacementRequest request_;
};

TEST_CASE_METHOD(OversizeWaitFixture,
                 "The largest prompts wait beyond their target for engines") {
  CHECK(WaitEnd(Millis(60000)) == kArrived + 3 * kTarget);
  policy_.oversize_wait_share = 0.25;
  CHECK(WaitEnd(Millis(60000)) == kArrived + kTarget / 4);
}

TEST_CASE_METHOD(
    OversizeWaitFixture,
    "The wait ends in time to prefill the prompt before its deadline") {
  CHECK(WaitEnd(Millis(9000)) == kArrived + Millis(7000));
}

}  // namespace
}  // namespace harecrank
