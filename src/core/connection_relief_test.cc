#include "harecrank/core/connection_relief.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

constexpr TimePoint kNow{Millis(100000)};
constexpr Millis kPatience{1000};

ConnectionHolding Holding(std::size_t bytes, Millis behind,
                          bool awaits_endpoint = false) {
  return {bytes, kNow - behind, awaits_endpoint};
}

TEST_CASE("Single bytes now and then do not count as a pace") {
  CallerPace pace;
  pace.Restart(kNow);
  TimePoint now = kNow;
  for (int i = 0; i < 20; ++i) {
    now += Millis(500);
    pace.OnBytes(1, now);
  }
  CHECK(now - pace.KeptUntil() > Millis(9900));
}

TEST_CASE(
    "A caller who sends a large body at the slowest allowed pace keeps up") {
  constexpr std::size_t kLargestBody = 4U << 20U;
  constexpr int kSteps = 150;
  CallerPace pace;
  pace.Restart(kNow);
  TimePoint now = kNow;
  for (int i = 0; i < kSteps; ++i) {
    now += Millis(100);
    pace.OnBytes(kLargestBody / kSteps, now);
    CHECK(now - pace.KeptUntil() < kPatience);
  }
}

TEST_CASE("A pause is not made up for by an earlier haste") {
  CallerPace pace;
  pace.Restart(kNow);
  pace.OnBytes(std::size_t{1} << 30U, kNow + Millis(100));
  CHECK(pace.KeptUntil() == kNow + Millis(100));
}

// Forty callers announce the largest bodies and send nothing, among callers of
// small requests.
TEST_CASE("Who holds most for longest makes room for memory first") {
  std::vector<ConnectionHolding> holdings(40, Holding(4U << 20U, Millis(3000)));
  holdings.push_back(Holding(5000, Millis(3000)));
  holdings.push_back(Holding(4U << 20U, Millis(100)));
  holdings.push_back(Holding(4U << 20U, Millis(9000), true));
  holdings.push_back(Holding(4U << 20U, Millis(6000)));
  const auto order = OrderForMemory(holdings, kNow, kPatience);
  REQUIRE(order.size() == 42);
  CHECK(order.front() == 43);
  CHECK(order.back() == 40);
}

TEST_CASE("No one is closed for memory who has only just fallen behind") {
  CHECK(OrderForMemory({Holding(4U << 20U, Millis(900))}, kNow, kPatience)
            .empty());
}

TEST_CASE("Requests at endpoints are closed last, when nothing else is left") {
  const auto order = OrderAllForMemory(
      {Holding(900, Millis(5000), true), Holding(0, Millis(9000)),
       Holding(10, Millis(0)), Holding(1000, Millis(5000), true)},
      kNow, kPatience);
  CHECK(order == std::vector<std::size_t>{2, 3, 0});
}

// Guards against callers who keep up and are closed for the memory that
// answers without end occupy.
TEST_CASE("Answers without end are ended before callers who keep up") {
  ConnectionHolding endless = Holding(300000, Millis(2000), true);
  endless.may_be_endless = true;
  ConnectionHolding larger = endless;
  larger.bytes *= 2;
  const auto order = OrderAllForMemory({Holding(1U << 20U, Millis(10)), endless,
                                        Holding(1U << 20U, Millis(2000), true),
                                        larger, Holding(1000, Millis(1500))},
                                       kNow, kPatience);
  CHECK(order == std::vector<std::size_t>{4, 3, 1, 0, 2});
}

TEST_CASE("The connections that are longest behind make room for others") {
  const auto order =
      OrderForRoom({Holding(0, Millis(3000)), Holding(1000, Millis(1500)),
                    Holding(0, Millis(8000)), Holding(0, Millis(500)),
                    Holding(0, Millis(9000), true)},
                   kNow, kPatience);
  CHECK(order == std::vector<std::size_t>{2, 0, 1});
}

}  // namespace
}  // namespace harecrank
