#include "harecrank/core/request_share.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

const HostAddress kPeer{"10.0.0.2:1"};
const HostAddress kOtherPeer{"10.0.0.3:1"};

struct Fixture {
  void Request(int requests) {
    for (int i = 0; i < requests; ++i) {
      share.OnRequest();
    }
  }

  TimePoint now{Millis(100000)};
  RequestShare share{[this] { return now; }};
};

TEST_CASE("Requests count for the length of the window") {
  Fixture test;
  test.Request(3);
  test.now += RequestShare::kWindow - Millis(1);
  test.Request(2);
  CHECK(test.share.Recent() == 5);
  test.now += Millis(1);
  CHECK(test.share.Recent() == 2);
}

TEST_CASE("A host with most requests is crowded") {
  Fixture test;
  test.share.OnOtherHost(kPeer, 100);
  test.share.OnOtherHost(kOtherPeer, 200);
  test.Request(374);
  CHECK_FALSE(test.share.IsCrowded());
  test.Request(1);
  CHECK(test.share.IsCrowded());
}

TEST_CASE("A difference that chance explains is no crowd") {
  Fixture test;
  test.share.OnOtherHost(kPeer, 9);
  test.share.OnOtherHost(kOtherPeer, 9);
  test.Request(23);
  CHECK_FALSE(test.share.IsCrowded());
  test.Request(1);
  CHECK(test.share.IsCrowded());
}

TEST_CASE("A host without room does not make another one crowded") {
  Fixture test;
  test.share.OnOtherHost(kPeer, 0);
  test.share.OnOtherHost(kOtherPeer, 0);
  test.Request(100);
  CHECK(test.share.IsCrowded());
  test.share.OnOtherHost(kPeer, std::nullopt);
  CHECK_FALSE(test.share.IsCrowded());
}

TEST_CASE("A few requests are no crowd") {
  Fixture test;
  test.share.OnOtherHost(kPeer, 0);
  test.share.OnOtherHost(kOtherPeer, 0);
  test.Request(RequestShare::kMinCrowd - 1);
  CHECK_FALSE(test.share.IsCrowded());
  test.Request(1);
  CHECK(test.share.IsCrowded());
}

TEST_CASE("A host that hears of fewer than two others lately is not crowded") {
  Fixture test;
  test.Request(100);
  test.share.OnOtherHost(kPeer, 0);
  CHECK_FALSE(test.share.IsCrowded());
  test.share.OnOtherHost(kOtherPeer, 0);
  CHECK(test.share.IsCrowded());
  test.now += RequestShare::kReportLifetime;
  test.Request(100);
  CHECK_FALSE(test.share.IsCrowded());
}

}  // namespace
}  // namespace harecrank
