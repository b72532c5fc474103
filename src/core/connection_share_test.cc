#include "harecrank/core/connection_share.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

const HostAddress kPeer{"10.0.0.2:1"};
const HostAddress kOtherPeer{"10.0.0.3:1"};

struct Fixture {
  void Connect(int connections) {
    for (int i = 0; i < connections; ++i) {
      share.OnConnection();
    }
  }

  TimePoint now{Millis(100000)};
  ConnectionShare share{[this] { return now; }};
};

TEST_CASE("Connections count for the length of the window") {
  Fixture test;
  test.Connect(3);
  test.now += ConnectionShare::kWindow - Millis(1);
  test.Connect(2);
  CHECK(test.share.Recent() == 5);
  test.now += Millis(1);
  CHECK(test.share.Recent() == 2);
}

TEST_CASE("A host with most new connections is crowded") {
  Fixture test;
  test.share.OnOtherHost(kPeer, 100);
  test.share.OnOtherHost(kOtherPeer, 200);
  test.Connect(299);
  CHECK_FALSE(test.share.IsCrowded());
  test.Connect(1);
  CHECK(test.share.IsCrowded());
}

TEST_CASE("A difference that chance explains is no crowd") {
  Fixture test;
  test.share.OnOtherHost(kPeer, 4);
  test.Connect(13);
  CHECK_FALSE(test.share.IsCrowded());
  test.Connect(1);
  CHECK(test.share.IsCrowded());
}

TEST_CASE("A host without room does not make another one crowded") {
  Fixture test;
  test.share.OnOtherHost(kPeer, 0);
  test.Connect(100);
  CHECK(test.share.IsCrowded());
  test.share.OnOtherHostWithoutRoom(kPeer);
  CHECK_FALSE(test.share.IsCrowded());
}

TEST_CASE("A few connections are no crowd") {
  Fixture test;
  test.share.OnOtherHost(kPeer, 0);
  test.Connect(ConnectionShare::kMinCrowd - 1);
  CHECK_FALSE(test.share.IsCrowded());
  test.Connect(1);
  CHECK(test.share.IsCrowded());
}

TEST_CASE("A host that hears of no other lately is not crowded") {
  Fixture test;
  test.Connect(100);
  CHECK_FALSE(test.share.IsCrowded());
  test.share.OnOtherHost(kPeer, 0);
  CHECK(test.share.IsCrowded());
  test.now += ConnectionShare::kReportLifetime;
  test.Connect(100);
  CHECK_FALSE(test.share.IsCrowded());
}

}  // namespace
}  // namespace harecrank
