#include "harecrank/core/drained_data_centres.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "harecrank/core/endpoint_directory.h"

namespace harecrank {
namespace {

const DataCentreId kA{"a"};
const DataCentreId kB{"b"};
const ServiceName kService{"writers"};

DrainedDataCentre Order(const DataCentreId& id, std::uint64_t revision) {
  return DrainedDataCentre{id, StoreRevision{revision}};
}

class ClosedFixture {
 protected:
  TimePoint now_{};
  DrainedDataCentres closed_{[this] { return now_; }};
};

TEST_CASE_METHOD(ClosedFixture,
                 "An order holds until it is taken back, and is news once") {
  CHECK_FALSE(closed_.IsDrained(kA));
  CHECK(closed_.Drain(Order(kA, 5)));
  CHECK_FALSE(closed_.Drain(Order(kA, 5)));
  CHECK(closed_.IsDrained(kA));
  CHECK_FALSE(closed_.IsDrained(kB));
  CHECK(closed_.Restore(kA, StoreRevision{6}));
  CHECK_FALSE(closed_.IsDrained(kA));
}

TEST_CASE_METHOD(ClosedFixture, "Older words change nothing") {
  closed_.Drain(Order(kA, 5));
  CHECK_FALSE(closed_.Restore(kA, StoreRevision{4}));
  CHECK(closed_.IsDrained(kA));
  closed_.Restore(kA, StoreRevision{6});
  CHECK_FALSE(closed_.Drain(Order(kA, 5)));
  CHECK_FALSE(closed_.IsDrained(kA));
  CHECK(closed_.Drain(Order(kA, 7)));
  CHECK(closed_.IsDrained(kA));
}

TEST_CASE_METHOD(ClosedFixture,
                 "Two data centres ordered one after the other, and taken back "
                 "in the same order, do not disturb each other") {
  closed_.Drain(Order(kA, 5));
  closed_.Drain(Order(kB, 6));
  CHECK(closed_.Count() == 2);
  closed_.Restore(kA, StoreRevision{7});
  CHECK_FALSE(closed_.IsDrained(kA));
  CHECK(closed_.IsDrained(kB));
}

TEST_CASE_METHOD(ClosedFixture,
                 "A listing replaces all but what was heard since") {
  closed_.Drain(Order(kA, 5));
  closed_.Drain(Order(kB, 12));
  const DataCentreId c{"c"};
  const DrainChange change =
      closed_.ReplaceAll({Order(c, 8)}, StoreRevision{10});
  CHECK(change.drained == std::vector<DrainedDataCentre>{Order(c, 8)});
  CHECK(change.restored == std::vector<DrainedDataCentre>{Order(kA, 10)});
  CHECK(closed_.IsDrained(kB));
  CHECK(closed_.IsDrained(c));
  // A late word of what the listing has taken back.
  CHECK_FALSE(closed_.Drain(Order(kA, 5)));
}

class ClosedDirectoryFixture {
 protected:
  ClosedDirectoryFixture() {
    for (int i = 0; i < kEach; ++i) {
      Publish(DataCentreId{"a"}, i);
      Publish(DataCentreId{"b"}, i);
    }
  }

  void Publish(const DataCentreId& data_centre, int number) {
    EndpointRecord record;
    record.id = EndpointId{data_centre.value + std::to_string(number)};
    record.service = kService;
    record.data_centre = data_centre;
    record.revision = StoreRevision{1};
    directory_.Upsert(record);
  }

  std::size_t UsableIn(const DataCentreId& data_centre) const {
    std::size_t count = 0;
    for (const EndpointRecord* record : directory_.UsableOf(kService)) {
      count += record->data_centre == data_centre ? 1 : 0;
    }
    return count;
  }

  static constexpr int kEach = 40;
  TimePoint now_{};
  EndpointDirectory directory_{[this] { return now_; }};
};

TEST_CASE_METHOD(ClosedDirectoryFixture,
                 "Endpoints of a closed data centre are neither chosen nor "
                 "accepted from another host's choice, and are still known") {
  directory_.DrainDataCentre(Order(kA, 5));
  CHECK(UsableIn(kA) == 0);
  CHECK(UsableIn(kB) == kEach);
  CHECK(directory_.FindUsable(EndpointId{"a1"}, kService) == nullptr);
  CHECK(directory_.FindUsable(EndpointId{"b1"}, kService) != nullptr);
  CHECK(directory_.Find(EndpointId{"a1"}) != nullptr);
  CHECK(directory_.In(kA).size() == kEach);
}

TEST_CASE_METHOD(ClosedDirectoryFixture,
                 "An endpoint that appears in a closed data centre, or moves "
                 "there, takes nothing") {
  directory_.DrainDataCentre(Order(kA, 5));
  Publish(kA, kEach);
  CHECK(UsableIn(kA) == 0);
  EndpointRecord moved = *directory_.Find(EndpointId{"b1"});
  moved.data_centre = kA;
  moved.revision = StoreRevision{6};
  directory_.Upsert(moved);
  CHECK(UsableIn(kB) == kEach - 1);
  CHECK(UsableIn(kA) == 0);
}

TEST_CASE_METHOD(ClosedDirectoryFixture,
                 "An order for a data centre that nobody knows leaves the rest "
                 "as it is") {
  directory_.DrainDataCentre(Order(DataCentreId{"nowhere"}, 5));
  CHECK(directory_.UsableOf(kService).size() == std::size_t{2} * kEach);
}

TEST_CASE_METHOD(ClosedDirectoryFixture,
                 "With all data centres closed nothing is usable") {
  directory_.DrainDataCentre(Order(kA, 5));
  directory_.DrainDataCentre(Order(kB, 6));
  CHECK(directory_.UsableOf(kService).empty());
}

// All that waited for room would land on endpoints that may be cold.
TEST_CASE_METHOD(ClosedDirectoryFixture,
                 "Endpoints of a data centre that is open again are chosen one "
                 "after the other") {
  directory_.DrainDataCentre(Order(kA, 5));
  directory_.RestoreDataCentre(kA, StoreRevision{6});
  const std::size_t at_first = UsableIn(kA);
  CHECK(at_first <= kEach / 10);
  CHECK(UsableIn(kB) == kEach);
  // Another host may have heard of it before: its choice is taken.
  CHECK(directory_.FindUsable(EndpointId{"a1"}, kService) != nullptr);
  std::size_t last = at_first;
  std::size_t largest_step = 0;
  constexpr int kSteps = 20;
  for (int i = 0; i < kSteps; ++i) {
    now_ += DrainedDataCentres::kRampUpTime / kSteps;
    const std::size_t usable = UsableIn(kA);
    REQUIRE(usable >= last);
    largest_step = std::max(largest_step, usable - last);
    last = usable;
  }
  CHECK(last == kEach);
  CHECK(largest_step <= kEach / 4);
}

TEST_CASE_METHOD(ClosedDirectoryFixture,
                 "Where no other endpoint is left, those that return are used "
                 "at once") {
  directory_.DrainDataCentre(Order(kA, 5));
  directory_.DrainDataCentre(Order(kB, 6));
  directory_.RestoreDataCentre(kA, StoreRevision{7});
  CHECK(UsableIn(kA) == kEach);
}

TEST_CASE_METHOD(ClosedDirectoryFixture,
                 "A data centre that was never closed, or is listed as open "
                 "for the first time, is used whole") {
  directory_.RestoreDataCentre(kA, StoreRevision{6});
  directory_.ReplaceDrained({}, StoreRevision{7});
  CHECK(UsableIn(kA) == kEach);
}

}  // namespace
}  // namespace harecrank
