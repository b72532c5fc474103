#include "harecrank/core/body_budget.h"

#include <catch2/catch.hpp>
#include <memory>

namespace harecrank {
namespace {

TEST_CASE("Bodies fit until the limit is reserved, and again once one ends") {
  const BodyBudget budget(100);
  auto first = std::make_unique<BodyBudget::Reservation>(budget, 60);
  CHECK(budget.Fits(40));
  CHECK_FALSE(budget.Fits(41));
  CHECK_FALSE(budget.IsNearlyUsed());
  const BodyBudget::Reservation second(budget, 15);
  CHECK(budget.IsNearlyUsed());
  first.reset();
  CHECK(budget.Reserved() == 15);
  CHECK(budget.Fits(85));
  CHECK_FALSE(budget.IsNearlyUsed());
}

TEST_CASE("A body larger than the limit fits if it is alone") {
  const BodyBudget budget(100);
  CHECK(budget.Fits(1000));
  const BodyBudget::Reservation large(budget, 1000);
  CHECK_FALSE(budget.Fits(1));
}

// Bodies that were admitted are answered by answers of their size.
TEST_CASE("An answer beside admitted bodies does not exceed the limit") {
  const BodyBudget budget(1000);
  const BodyBudget::Reservation bodies(budget, 900);
  BodyBudget::Reservation answer(budget, 0);
  answer.Resize(100);
  CHECK_FALSE(budget.Fits(1));
  CHECK_FALSE(budget.IsExceeded());
  answer.Resize(351);
  CHECK(budget.IsExceeded());
  answer.Resize(0);
  CHECK(budget.Reserved() == 900);
}

TEST_CASE("Without a limit every body fits") {
  const BodyBudget budget(std::nullopt);
  const BodyBudget::Reservation large(budget, 1000000);
  CHECK(budget.Fits(1000000));
  CHECK_FALSE(budget.IsNearlyUsed());
}

}  // namespace
}  // namespace harecrank
