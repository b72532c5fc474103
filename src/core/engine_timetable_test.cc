#include "harecrank/core/engine_timetable.h"

#include <catch2/catch.hpp>
#include <string>

namespace harecrank {
namespace {

constexpr FractionalMillis kTightestGap{250};
// Preferred prefill time of a part at that gap.
constexpr FractionalMillis kPart{150};
constexpr std::size_t kEngines = 6;

// Six engines e0 to e5 without streams, whose passes take no time of their own.
class TimetableFixture {
 protected:
  TimetableFixture() : records_(kEngines), engines_(kEngines) {
    engine_.slots = 16;
    engine_.memory = Tokens{400000};
    for (std::size_t i = 0; i < kEngines; ++i) {
      records_[i].id = EndpointId{"e" + std::to_string(i)};
      engines_[i].candidate.record = &records_[i];
      engines_[i].candidate.rank = kEngines - i;
      engines_[i].free_at = now_;
    }
  }

  EngineTimetable Timetable() const {
    return EngineTimetable(&engine_, &policy_, now_, engines_);
  }

  void SetFreeAt(std::size_t first, std::size_t count, Millis delay) {
    for (std::size_t i = first; i < first + count; ++i) {
      engines_[i].free_at = now_ + delay;
    }
  }

  // Returns a prompt that prefers `parts` parts.
  static LongPrompt Prompt(int parts) {
    LongPrompt prompt;
    prompt.prefill_time = parts * kPart;
    prompt.needed = Tokens{100000};
    prompt.gap = FractionalMillis(1000);
    prompt.tightest_gap = kTightestGap;
    return prompt;
  }

  static std::size_t Size(const PlannedGroup& planned) {
    return planned.group.helpers.size() + 1;
  }

  TimePoint now_{std::chrono::hours(1)};
  EngineProfile engine_;
  PlacementPolicy policy_;
  std::vector<EndpointRecord> records_;
  std::vector<EngineAvailability> engines_;
};

TEST_CASE_METHOD(TimetableFixture,
                 "A group waits for more engines if it ends earlier then") {
  SetFreeAt(2, 4, Millis(100));
  const auto planned = Timetable().EarliestGroup(Prompt(6), now_, {});
  REQUIRE(planned.has_value());
  CHECK(Size(*planned) == 6);
  CHECK(planned->start == now_ + Millis(100));
  CHECK(planned->prefill_end == now_ + Millis(250));
}

TEST_CASE_METHOD(TimetableFixture,
                 "A group starts on few engines if more would end later") {
  SetFreeAt(2, 4, Millis(1000));
  const auto planned = Timetable().EarliestGroup(Prompt(6), now_, {});
  REQUIRE(planned.has_value());
  CHECK(Size(*planned) == 2);
  CHECK(planned->start == now_);
}

TEST_CASE_METHOD(TimetableFixture,
                 "Parts that end before a reservation are backfilled") {
  SetFreeAt(1, 5, Millis(400));
  EngineTimetable timetable = Timetable();
  const auto wide = timetable.EarliestGroup(Prompt(6), now_ + Millis(400), {});
  REQUIRE(wide.has_value());
  timetable.Reserve(*wide);
  CHECK(timetable.ReservedFrom(EndpointId{"e0"}) == now_ + Millis(400));
  CHECK(timetable.LaterStarts().size() == kEngines);

  const auto fits = timetable.EarliestGroup(Prompt(1), now_, {});
  REQUIRE(fits.has_value());
  CHECK(fits->start == now_);
  const auto only_first = [this](const EndpointRecord& record) {
    return record.id == records_[0].id;
  };
  const auto too_long = timetable.EarliestGroup(Prompt(3), now_, only_first);
  REQUIRE(too_long.has_value());
  CHECK(too_long->start == wide->prefill_end);
}

TEST_CASE_METHOD(TimetableFixture,
                 "Two groups that want the same engines follow each other") {
  EngineTimetable timetable = Timetable();
  const auto first = timetable.EarliestGroup(Prompt(6), now_, {});
  REQUIRE(first.has_value());
  timetable.Reserve(*first);
  const auto second = timetable.EarliestGroup(Prompt(6), now_, {});
  REQUIRE(second.has_value());
  CHECK(second->start == first->prefill_end);
  CHECK(Size(*second) == 6);
}

TEST_CASE_METHOD(TimetableFixture,
                 "A part starts when the streams that limit it have ended") {
  for (EngineAvailability& engine : engines_) {
    engine.limits = {PartLimit{FractionalMillis(40), now_ + Millis(500)},
                     PartLimit{FractionalMillis(200), TimePoint::max()}};
  }
  EngineTimetable timetable = Timetable();
  const auto small = timetable.EarliestGroup(Prompt(1), now_, {});
  REQUIRE(small.has_value());
  CHECK(small->start == now_ + Millis(500));
  // Six parts of 300 ms each exceed the permanent limit.
  CHECK_FALSE(timetable.EarliestGroup(Prompt(12), now_, {}).has_value());
}

TEST_CASE_METHOD(TimetableFixture,
                 "A group has the memory that the request needs") {
  LongPrompt prompt = Prompt(2);
  prompt.needed = Tokens{500000};
  const auto planned = Timetable().EarliestGroup(prompt, now_, {});
  REQUIRE(planned.has_value());
  CHECK(Size(*planned) == 2);
  prompt.needed = Tokens{1000000};
  CHECK_FALSE(Timetable().EarliestGroup(prompt, now_, {}).has_value());
}

TEST_CASE_METHOD(TimetableFixture,
                 "A slow engine holds its reservation for longer") {
  engines_[0].candidate.pace = 2;
  const auto only_first = [this](const EndpointRecord& record) {
    return record.id == records_[0].id;
  };
  const auto planned = Timetable().EarliestGroup(Prompt(1), now_, only_first);
  REQUIRE(planned.has_value());
  CHECK(planned->prefill_end == now_ + Millis(300));
}

}  // namespace
}  // namespace harecrank
