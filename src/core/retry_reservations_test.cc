#include "harecrank/core/retry_reservations.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

RequestFingerprint RequestOf(std::uint64_t number) {
  return RequestFingerprint{AccountId{"press"}, number, 1};
}

class PromisesFixture {
 protected:
  TimePoint now_{std::chrono::hours(1)};
  RetryReservations promises_{[this] { return now_; }};
};

TEST_CASE_METHOD(PromisesFixture,
                 "A promise holds from the told time on, once") {
  CHECK(promises_.Reserve(RequestOf(1), FractionalMillis(900), now_,
                          Millis(500)) == Millis(500));
  CHECK(promises_.ReservedWork() == FractionalMillis(900));
  CHECK_FALSE(promises_.Redeem(RequestOf(1)).has_value());
  now_ += Millis(500);
  CHECK_FALSE(promises_.Redeem(RequestOf(2)).has_value());
  CHECK(promises_.Redeem(RequestOf(1)) == now_ - Millis(500));
  CHECK_FALSE(promises_.Redeem(RequestOf(1)).has_value());
  CHECK(promises_.ReservedWork() == FractionalMillis(0));
}

TEST_CASE_METHOD(PromisesFixture,
                 "Who repeats at once is told the same time and gains "
                 "nothing") {
  promises_.Reserve(RequestOf(1), FractionalMillis(900), now_, Millis(500));
  now_ += Millis(200);
  CHECK(promises_.Reserve(RequestOf(1), FractionalMillis(900), now_,
                          Millis(2000)) == Millis(300));
  CHECK(promises_.Count() == 1);
  CHECK(promises_.ReservedWork() == FractionalMillis(900));
}

TEST_CASE_METHOD(PromisesFixture, "Room is kept for a while only") {
  promises_.Reserve(RequestOf(1), FractionalMillis(900), now_, Millis(500));
  now_ += Millis(500) + RetryReservations::kGracePeriod + Millis(1);
  CHECK(promises_.ReservedWork() == FractionalMillis(0));
  CHECK_FALSE(promises_.Redeem(RequestOf(1)).has_value());
}

TEST_CASE_METHOD(PromisesFixture,
                 "Beyond its bound the promise that is due first goes") {
  for (std::uint64_t i = 0; i <= RetryReservations::kMaxReservations; ++i) {
    promises_.Reserve(RequestOf(i), FractionalMillis(1), now_,
                      Millis(500 + static_cast<int>(i % 2)));
  }
  CHECK(promises_.Count() == RetryReservations::kMaxReservations);
  now_ += Millis(501);
  CHECK_FALSE(promises_.Redeem(RequestOf(0)).has_value());
  CHECK(promises_.Redeem(RequestOf(1)).has_value());
}

}  // namespace
}  // namespace harecrank
