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

class DrainedFixture {
 protected:
  TimePoint now_{};
  DrainedDataCentres drained_{[this] { return now_; }};
};

TEST_CASE_METHOD(DrainedFixture,
                 "An order applies until it is revoked, and is reported once") {
  CHECK_FALSE(drained_.IsDrained(kA));
  CHECK(drained_.Drain(Order(kA, 5)));
  CHECK_FALSE(drained_.Drain(Order(kA, 5)));
  CHECK(drained_.IsDrained(kA));
  CHECK_FALSE(drained_.IsDrained(kB));
  CHECK(drained_.Restore(kA, StoreRevision{6}));
  CHECK_FALSE(drained_.IsDrained(kA));
}

TEST_CASE_METHOD(DrainedFixture, "Older revisions are ignored") {
  drained_.Drain(Order(kA, 5));
  CHECK_FALSE(drained_.Restore(kA, StoreRevision{4}));
  CHECK(drained_.IsDrained(kA));
  drained_.Restore(kA, StoreRevision{6});
  CHECK_FALSE(drained_.Drain(Order(kA, 5)));
  CHECK_FALSE(drained_.IsDrained(kA));
  CHECK(drained_.Drain(Order(kA, 7)));
  CHECK(drained_.IsDrained(kA));
}

TEST_CASE_METHOD(DrainedFixture,
                 "Orders for different data centres are independent") {
  drained_.Drain(Order(kA, 5));
  drained_.Drain(Order(kB, 6));
  CHECK(drained_.Count() == 2);
  drained_.Restore(kA, StoreRevision{7});
  CHECK_FALSE(drained_.IsDrained(kA));
  CHECK(drained_.IsDrained(kB));
}

TEST_CASE_METHOD(DrainedFixture,
                 "A listing replaces all orders that are not newer") {
  drained_.Drain(Order(kA, 5));
  drained_.Drain(Order(kB, 12));
  const DataCentreId c{"c"};
  const DrainChange change =
      drained_.ReplaceAll({Order(c, 8)}, StoreRevision{10});
  CHECK(change.drained == std::vector<DrainedDataCentre>{Order(c, 8)});
  CHECK(change.restored == std::vector<DrainedDataCentre>{Order(kA, 10)});
  CHECK(drained_.IsDrained(kB));
  CHECK(drained_.IsDrained(c));
  // A delayed order that the listing has revoked.
  CHECK_FALSE(drained_.Drain(Order(kA, 5)));
}

class DrainedDirectoryFixture {
 protected:
  DrainedDirectoryFixture() {
    for (int i = 0; i < kEndpointsPerDataCentre; ++i) {
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

  static constexpr int kEndpointsPerDataCentre = 40;
  TimePoint now_{};
  EndpointDirectory directory_{[this] { return now_; }};
};

TEST_CASE_METHOD(
    DrainedDirectoryFixture,
    "Endpoints of a drained data centre are not usable but can be found") {
  directory_.DrainDataCentre(Order(kA, 5));
  CHECK(UsableIn(kA) == 0);
  CHECK(UsableIn(kB) == kEndpointsPerDataCentre);
  CHECK(directory_.FindUsable(EndpointId{"a1"}, kService) == nullptr);
  CHECK(directory_.FindUsable(EndpointId{"b1"}, kService) != nullptr);
  CHECK(directory_.Find(EndpointId{"a1"}) != nullptr);
  CHECK(directory_.In(kA).size() == kEndpointsPerDataCentre);
}

TEST_CASE_METHOD(DrainedDirectoryFixture,
                 "An endpoint that appears in or moves to a drained data "
                 "centre is not usable") {
  directory_.DrainDataCentre(Order(kA, 5));
  Publish(kA, kEndpointsPerDataCentre);
  CHECK(UsableIn(kA) == 0);
  EndpointRecord moved = *directory_.Find(EndpointId{"b1"});
  moved.data_centre = kA;
  moved.revision = StoreRevision{6};
  directory_.Upsert(moved);
  CHECK(UsableIn(kB) == kEndpointsPerDataCentre - 1);
  CHECK(UsableIn(kA) == 0);
}

TEST_CASE_METHOD(
    DrainedDirectoryFixture,
    "An order for an unknown data centre has no effect on others") {
  directory_.DrainDataCentre(Order(DataCentreId{"nowhere"}, 5));
  CHECK(directory_.UsableOf(kService).size() ==
        std::size_t{2} * kEndpointsPerDataCentre);
}

TEST_CASE_METHOD(DrainedDirectoryFixture,
                 "With all data centres drained no endpoint is usable") {
  directory_.DrainDataCentre(Order(kA, 5));
  directory_.DrainDataCentre(Order(kB, 6));
  CHECK(directory_.UsableOf(kService).empty());
}

// Without a ramp-up all waiting requests would reach endpoints that may be
// cold.
TEST_CASE_METHOD(
    DrainedDirectoryFixture,
    "Endpoints of a restored data centre become usable one after the other") {
  directory_.DrainDataCentre(Order(kA, 5));
  directory_.RestoreDataCentre(kA, StoreRevision{6});
  const std::size_t initially_usable = UsableIn(kA);
  CHECK(initially_usable <= kEndpointsPerDataCentre / 10);
  CHECK(UsableIn(kB) == kEndpointsPerDataCentre);
  // Another host may have learned of the restore earlier, so its choice is
  // accepted.
  CHECK(directory_.FindUsable(EndpointId{"a1"}, kService) != nullptr);
  std::size_t previously_usable = initially_usable;
  std::size_t largest_step = 0;
  constexpr int kSteps = 20;
  for (int i = 0; i < kSteps; ++i) {
    now_ += DrainedDataCentres::kRampUpTime / kSteps;
    const std::size_t usable = UsableIn(kA);
    REQUIRE(usable >= previously_usable);
    largest_step = std::max(largest_step, usable - previously_usable);
    previously_usable = usable;
  }
  CHECK(previously_usable == kEndpointsPerDataCentre);
  CHECK(largest_step <= kEndpointsPerDataCentre / 4);
}

TEST_CASE_METHOD(
    DrainedDirectoryFixture,
    "Endpoints of a restored data centre are usable at once without others") {
  directory_.DrainDataCentre(Order(kA, 5));
  directory_.DrainDataCentre(Order(kB, 6));
  directory_.RestoreDataCentre(kA, StoreRevision{7});
  CHECK(UsableIn(kA) == kEndpointsPerDataCentre);
}

TEST_CASE_METHOD(DrainedDirectoryFixture,
                 "A data centre that was never drained does not ramp up") {
  directory_.RestoreDataCentre(kA, StoreRevision{6});
  directory_.ReplaceDrained({}, StoreRevision{7});
  CHECK(UsableIn(kA) == kEndpointsPerDataCentre);
}

}  // namespace
}  // namespace harecrank
