#include "harecrank/core/retry_reservations.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

RequestFingerprint RequestOf(std::uint64_t number) {
  return RequestFingerprint{AccountId{"press"}, number, 1};
}

class ReservationsFixture {
 protected:
  TimePoint now_{std::chrono::hours(1)};
  RetryReservations reservations_{[this] { return now_; }};
};

TEST_CASE_METHOD(ReservationsFixture,
                 "A reservation can be redeemed once, from its due time on") {
  CHECK(reservations_.Reserve(RequestOf(1), FractionalMillis(900), now_,
                              Millis(500)) == Millis(500));
  CHECK(reservations_.ReservedWork() == FractionalMillis(900));
  CHECK_FALSE(reservations_.Redeem(RequestOf(1)).has_value());
  now_ += Millis(500);
  CHECK_FALSE(reservations_.Redeem(RequestOf(2)).has_value());
  CHECK(reservations_.Redeem(RequestOf(1)) == now_ - Millis(500));
  CHECK_FALSE(reservations_.Redeem(RequestOf(1)).has_value());
  CHECK(reservations_.ReservedWork() == FractionalMillis(0));
}

TEST_CASE_METHOD(
    ReservationsFixture,
    "An early retry is told the time left until its reservation is "
    "due") {
  reservations_.Reserve(RequestOf(1), FractionalMillis(900), now_, Millis(500));
  now_ += Millis(200);
  CHECK(reservations_.Reserve(RequestOf(1), FractionalMillis(900), now_,
                              Millis(2000)) == Millis(300));
  CHECK(reservations_.Count() == 1);
  CHECK(reservations_.ReservedWork() == FractionalMillis(900));
}

TEST_CASE_METHOD(ReservationsFixture, "A reservation expires") {
  reservations_.Reserve(RequestOf(1), FractionalMillis(900), now_, Millis(500));
  now_ += Millis(500) + RetryReservations::kGracePeriod + Millis(1);
  CHECK(reservations_.ReservedWork() == FractionalMillis(0));
  CHECK_FALSE(reservations_.Redeem(RequestOf(1)).has_value());
}

TEST_CASE_METHOD(ReservationsFixture,
                 "At the maximum number the reservation that is due first is "
                 "dropped") {
  for (std::uint64_t i = 0; i <= RetryReservations::kMaxReservations; ++i) {
    reservations_.Reserve(RequestOf(i), FractionalMillis(1), now_,
                          Millis(500 + static_cast<int>(i % 2)));
  }
  CHECK(reservations_.Count() == RetryReservations::kMaxReservations);
  now_ += Millis(501);
  CHECK_FALSE(reservations_.Redeem(RequestOf(0)).has_value());
  CHECK(reservations_.Redeem(RequestOf(1)).has_value());
}

}  // namespace
}  // namespace harecrank
