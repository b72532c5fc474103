#include "harecrank/core/fleet_size.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

class FleetSizeFixture {
 protected:
  TimePoint now_{std::chrono::hours(1)};
  FleetSize size_{[this] { return now_; }};
};

TEST_CASE_METHOD(FleetSizeFixture, "The size is unknown just after the start") {
  size_.OnReported(24);
  CHECK_FALSE(size_.MaxHosts().has_value());
  now_ += FleetSize::kStartupGrace;
  CHECK(size_.MaxHosts() == 24);
}

TEST_CASE_METHOD(FleetSizeFixture,
                 "A host that has just started has no part of a limit that its "
                 "predecessor may have used") {
  constexpr Millis kWindow{10000};
  size_.OnReported(24);
  now_ += kWindow - Millis(1);
  CHECK(size_.MaxHosts() == 24);
  CHECK_FALSE(size_.MaxHostsSharing(kWindow).has_value());
  now_ += Millis(1);
  CHECK(size_.MaxHostsSharing(kWindow) == 24);
}

TEST_CASE_METHOD(FleetSizeFixture,
                 "At the first start of the fleet no predecessor has used a "
                 "part") {
  size_.SetIsFirstStart(true);
  size_.OnReported(24);
  CHECK(size_.MaxHostsSharing(Millis(10000)) == 24);
}

TEST_CASE_METHOD(FleetSizeFixture,
                 "A host with seeds that has heard of no other host does not "
                 "know the size") {
  size_.OnObserved(1);
  now_ += FleetSize::kStartupGrace;
  CHECK_FALSE(size_.MaxHosts().has_value());
}

TEST_CASE_METHOD(FleetSizeFixture,
                 "A host without other seeds is a fleet of one") {
  size_.SetHasOtherSeeds(false);
  now_ += FleetSize::kStartupGrace;
  CHECK(size_.MaxHosts() == 1);
}

TEST_CASE_METHOD(FleetSizeFixture,
                 "A partitioned host keeps the size of the whole fleet") {
  size_.OnObserved(24);
  for (int minute = 0; minute < 9; ++minute) {
    now_ += std::chrono::minutes(1);
    size_.OnObserved(3);
  }
  CHECK(size_.MaxHosts() == 24);
}

TEST_CASE_METHOD(
    FleetSizeFixture,
    "The size of a fleet that has shrunk decreases after the window") {
  size_.OnObserved(24);
  for (int minute = 0; minute < 21; ++minute) {
    now_ += std::chrono::minutes(1);
    size_.OnObserved(3);
  }
  CHECK(size_.MaxHosts() == 3);
}

TEST_CASE_METHOD(FleetSizeFixture,
                 "Numbers reported by others are not passed on") {
  size_.OnObserved(3);
  size_.OnReported(24);
  CHECK(size_.PeakObserved() == 3);
}

}  // namespace
}  // namespace harecrank
