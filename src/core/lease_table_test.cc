#include "harecrank/core/lease_table.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

struct Fixture {
  TimePoint now;
  LeaseTable table{Tokens{100}, [this] { return now; }};
};

TEST_CASE_METHOD(Fixture, "The memory of an expired lease is freed") {
  REQUIRE(table.Acquire(Tokens{80}, Millis(10)));
  CHECK(table.Available().value == 20);
  now += Millis(10);
  CHECK(table.Available().value == 100);
}

TEST_CASE_METHOD(Fixture, "An expired lease cannot be renewed") {
  const LeaseId id = table.Acquire(Tokens{80}, Millis(10)).value();
  now += Millis(11);
  CHECK_FALSE(table.Renew(id, Millis(10)));
}

TEST_CASE_METHOD(Fixture, "A late release does not free memory twice") {
  const LeaseId id = table.Acquire(Tokens{80}, Millis(10)).value();
  now += Millis(10);
  CHECK(table.Available().value == 100);
  table.Release(id);
  CHECK(table.Available().value == 100);
}

TEST_CASE_METHOD(Fixture, "Headroom stays free") {
  CHECK_FALSE(table.Acquire(Tokens{95}, Millis(10), Tokens{10}));
  CHECK(table.Acquire(Tokens{95}, Millis(10)));
}

}  // namespace
}  // namespace harecrank
