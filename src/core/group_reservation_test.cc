#include "harecrank/core/group_reservation.h"

#include <catch2/catch.hpp>
#include <random>

namespace harecrank {
namespace {

Segment MakeSegment(const std::string& member, std::int64_t length) {
  return Segment{EndpointId{member}, Tokens{0}, Tokens{length}, Tokens{length}};
}

struct GroupFixture {
  TimePoint now{};
  GroupReservation group{now + Millis(1000), [this] { return now; },
                         [] { return std::uint64_t{0}; }};
};

TEST_CASE_METHOD(GroupFixture,
                 "A group is reserved once all members have agreed") {
  group.Begin({MakeSegment("a", 1), MakeSegment("b", 1)});
  CHECK(std::holds_alternative<WaitForMembers>(
      group.OnReserved(EndpointId{"a"})));
  CHECK(
      std::holds_alternative<GroupReserved>(group.OnReserved(EndpointId{"b"})));
}

TEST_CASE_METHOD(GroupFixture,
                 "One refusal releases all reservations of the round") {
  group.Begin({MakeSegment("a", 1), MakeSegment("b", 1)});
  group.OnReserved(EndpointId{"a"});
  const GroupStep step = group.OnRefused(EndpointId{"b"});
  REQUIRE(std::holds_alternative<ReleaseMembers>(step));
  CHECK(std::get<ReleaseMembers>(step).members ==
        std::vector<EndpointId>{EndpointId{"a"}});
}

TEST_CASE_METHOD(GroupFixture, "A group that runs out of time is refused") {
  group.Begin({MakeSegment("a", 1)});
  now += Millis(1000);
  CHECK(std::holds_alternative<GroupRefused>(group.OnRefused(EndpointId{"a"})));
}

// Twelve groups compete for memory that is enough for three. Every group must
// end, and only reservations that are complete may be kept.
TEST_CASE(
    "Competing groups all end, and incomplete reservations are released") {
  std::mt19937_64 random(7);
  constexpr int kGroups = 12;
  constexpr std::int64_t kMemory = 3;
  TimePoint now{};
  std::map<EndpointId, std::int64_t> free;
  for (const char* id : {"a", "b", "c", "d"}) {
    free[EndpointId{id}] = kMemory;
  }
  int done = 0;
  for (int i = 0; i < kGroups; ++i) {
    GroupReservation group(
        now + Millis(10000), [&] { return now; }, [&] { return random(); });
    GroupStep step = group.Begin(
        {MakeSegment("a", 1), MakeSegment("b", 1), MakeSegment("c", 1)});
    for (const char* id : {"a", "b", "c"}) {
      auto& available = free[EndpointId{id}];
      const bool fits = available > 0;
      available -= fits ? 1 : 0;
      step = fits ? group.OnReserved(EndpointId{id})
                  : group.OnRefused(EndpointId{id});
    }
    if (const auto* release = std::get_if<ReleaseMembers>(&step)) {
      for (const EndpointId& id : release->members) {
        ++free[id];
      }
      continue;
    }
    REQUIRE(std::holds_alternative<GroupReserved>(step));
    ++done;
  }
  CHECK(done == kMemory);
  CHECK(free[EndpointId{"a"}] == 0);
}

}  // namespace
}  // namespace harecrank
