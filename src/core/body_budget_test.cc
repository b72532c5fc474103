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

TEST_CASE("Without a limit every body fits") {
  const BodyBudget budget(std::nullopt);
  const BodyBudget::Reservation large(budget, 1000000);
  CHECK(budget.Fits(1000000));
  CHECK_FALSE(budget.IsNearlyUsed());
}

}  // namespace
}  // namespace harecrank
