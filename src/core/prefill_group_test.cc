#include "harecrank/core/prefill_group.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

namespace harecrank {
namespace {

constexpr FractionalMillis kTightestGap{250};

EngineProfile Engine() {
  EngineProfile engine;
  engine.slots = 16;
  engine.memory = Tokens{400000};
  engine.step_ms = 1;
  engine.steps_per_pass = 40;
  engine.prefill_tokens_per_ms = 150;
  return engine;
}

// Engines e0, e1 and so on; e0 has the highest rank.
class PrefillGroupFixture {
 protected:
  PrefillGroupFixture() {
    constexpr std::size_t kEngines = 6;
    records_.resize(kEngines);
    for (std::size_t i = 0; i < kEngines; ++i) {
      records_[i].id = EndpointId{"e" + std::to_string(i)};
      EngineCandidate candidate;
      candidate.record = &records_[i];
      candidate.rank = kEngines - i;
      candidates_.push_back(candidate);
    }
    prompt_.prefill_time = FractionalMillis(900);
    prompt_.needed = Tokens{100000};
    prompt_.target = FractionalMillis(3000);
    prompt_.until_late = FractionalMillis(3000);
    prompt_.gap = FractionalMillis(1000);
    prompt_.tightest_gap = kTightestGap;
  }

  void AddStreams(std::size_t engine, int count, FractionalMillis gap) {
    EndpointLoad& load = candidates_[engine].load;
    (gap <= kTightestGap ? load.short_requests : load.long_requests) += count;
    load.tightest_gap = gap;
  }

  std::optional<PrefillGroup> Choose() const {
    return ChoosePrefillGroup(engine_, policy_, prompt_, candidates_);
  }

  static bool IsMember(const PrefillGroup& group, const std::string& id) {
    const auto is = [&id](const EngineCandidate& candidate) {
      return candidate.record->id.value == id;
    };
    return is(group.decode_engine) ||
           std::any_of(group.helpers.begin(), group.helpers.end(), is);
  }

  EngineProfile engine_ = Engine();
  PlacementPolicy policy_;
  LongPrompt prompt_;
  std::vector<EndpointRecord> records_;
  std::vector<EngineCandidate> candidates_;
};

TEST_CASE_METHOD(
    PrefillGroupFixture,
    "No part stalls a stream on its engine for longer than the stream's gap") {
  AddStreams(5, 1, FractionalMillis(600));
  AddStreams(4, 1, kTightestGap);
  // Split among four engines a part takes 300 ms, which e4 does not tolerate.
  prompt_.prefill_time = FractionalMillis(1200);
  prompt_.until_late = FractionalMillis(1000);
  const auto group = Choose();
  REQUIRE(group.has_value());
  CHECK(IsMember(*group, "e5"));
  CHECK_FALSE(IsMember(*group, "e4"));
  CHECK(group->part == FractionalMillis(240));
}

TEST_CASE_METHOD(PrefillGroupFixture,
                 "Long streams are decoded on engines with other long streams "
                 "if those tolerate the part") {
  AddStreams(2, 1, FractionalMillis(600));
  const auto group = Choose();
  REQUIRE(group.has_value());
  CHECK(group->decode_engine.record->id.value == "e2");
  // A prompt whose parts are too large for e2's stream is placed elsewhere.
  prompt_.prefill_time = FractionalMillis(6000);
  prompt_.until_late = FractionalMillis(1800);
  const auto large = Choose();
  REQUIRE(large.has_value());
  CHECK_FALSE(IsMember(*large, "e2"));
}

TEST_CASE_METHOD(
    PrefillGroupFixture,
    "A stream with a tight gap is decoded on an engine with short requests") {
  candidates_[0].reserved_for_short = true;
  prompt_.prefill_time = FractionalMillis(150);
  prompt_.gap = kTightestGap;
  const auto group = Choose();
  REQUIRE(group.has_value());
  CHECK(group->decode_engine.record->id.value == "e0");
}

TEST_CASE_METHOD(
    PrefillGroupFixture,
    "Engines reserved for short requests prefill small parts only") {
  for (std::size_t i = 0; i < 5; ++i) {
    candidates_[i].reserved_for_short = true;
  }
  prompt_.prefill_time = FractionalMillis(6 * 140);
  CHECK(Choose().has_value());
  prompt_.prefill_time = FractionalMillis(6 * 220);
  CHECK_FALSE(Choose().has_value());
}

TEST_CASE_METHOD(PrefillGroupFixture,
                 "An engine with a pending part takes no other") {
  for (EngineCandidate& candidate : candidates_) {
    candidate.load.pending_prefills = 1;
  }
  CHECK_FALSE(Choose().has_value());
}

// A late prompt cannot meet its target in any case. If one engine prefilled it
// as a whole, it would make the prompts behind it late too.
TEST_CASE_METHOD(PrefillGroupFixture, "A late prompt is split like any other") {
  for (std::size_t i = 1; i < 6; ++i) {
    candidates_[i].load.pending_prefills = 1;
  }
  prompt_.prefill_time = FractionalMillis(4000);
  prompt_.until_late = FractionalMillis(-100);
  CHECK_FALSE(Choose().has_value());
  policy_.bound_late_parts = false;
  CHECK(Choose().has_value());
}

}  // namespace
}  // namespace harecrank
