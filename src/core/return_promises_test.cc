#include "harecrank/core/return_promises.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

const ServiceName kService{"writers"};

RequestFingerprint RequestOf(std::uint64_t number) {
  return RequestFingerprint{AccountId{"press"}, number, 1};
}

class PromisesFixture {
 protected:
  // Returns a promise, without room, to return after `delay`.
  ReturnPromise PromiseOf(std::uint64_t number, Millis delay) const {
    ReturnPromise promise;
    promise.request = RequestOf(number);
    promise.prompt.prefill_time = FractionalMillis(900);
    promise.return_at = now_ + delay;
    promise.first_event_due = now_;
    promise.last_useful_event = now_ + Millis(9000);
    return promise;
  }
  ReturnPromise PromiseWithRoom(std::uint64_t number, Millis delay) const {
    ReturnPromise promise = PromiseOf(number, delay);
    promise.service = kService;
    return promise;
  }

  TimePoint now_{std::chrono::hours(1)};
  ReturnPromises promises_{[this] { return now_; }};
};

TEST_CASE_METHOD(PromisesFixture,
                 "A promise can be redeemed once, from its due time on") {
  CHECK(promises_.Make(PromiseOf(1, Millis(500))) == Millis(500));
  CHECK(promises_.PromisedWork() == FractionalMillis(900));
  CHECK_FALSE(promises_.Redeem(RequestOf(1)).has_value());
  now_ += Millis(500);
  CHECK_FALSE(promises_.Redeem(RequestOf(2)).has_value());
  const auto redeemed = promises_.Redeem(RequestOf(1));
  REQUIRE(redeemed.has_value());
  CHECK(redeemed->first_event_due == now_ - Millis(500));
  CHECK_FALSE(promises_.Redeem(RequestOf(1)).has_value());
  CHECK(promises_.PromisedWork() == FractionalMillis(0));
}

TEST_CASE_METHOD(PromisesFixture,
                 "An early return is told the time left until its promise is "
                 "due") {
  promises_.Make(PromiseOf(1, Millis(500)));
  now_ += Millis(200);
  CHECK(promises_.Make(PromiseOf(1, Millis(2000))) == Millis(300));
  CHECK(promises_.Count() == 1);
  CHECK(promises_.PromisedWork() == FractionalMillis(900));
  CHECK(promises_.Counts().made == 1);
}

TEST_CASE_METHOD(PromisesFixture,
                 "A second promise counts the target from the first arrival") {
  promises_.Make(PromiseOf(1, Millis(500)));
  const TimePoint first_due = now_;
  now_ += Millis(600);
  CHECK(promises_.Make(PromiseOf(1, Millis(700))) == Millis(700));
  CHECK(promises_.Find(RequestOf(1))->first_event_due == first_due);
}

TEST_CASE_METHOD(PromisesFixture, "A promise expires after its grace period") {
  promises_.Make(PromiseOf(1, Millis(500)));
  now_ += Millis(500) + ReturnPromises::kGracePeriod + Millis(1);
  CHECK(promises_.PromisedWork() == FractionalMillis(0));
  CHECK_FALSE(promises_.Redeem(RequestOf(1)).has_value());
  CHECK(promises_.Find(RequestOf(1)) == nullptr);
}

TEST_CASE_METHOD(PromisesFixture,
                 "At the maximum number the promise that is due first is "
                 "dropped") {
  for (std::uint64_t i = 0; i <= ReturnPromises::kMaxPromises; ++i) {
    promises_.Make(PromiseOf(i, Millis(500 + static_cast<int>(i % 2))));
  }
  CHECK(promises_.Count() == ReturnPromises::kMaxPromises);
  now_ += Millis(501);
  CHECK_FALSE(promises_.Redeem(RequestOf(0)).has_value());
  CHECK(promises_.Redeem(RequestOf(1)).has_value());
}

TEST_CASE_METHOD(PromisesFixture,
                 "Promised prompts with room wait until their due time, the "
                 "first due first") {
  promises_.Make(PromiseWithRoom(1, Millis(700)));
  promises_.Make(PromiseWithRoom(2, Millis(500)));
  promises_.Make(PromiseOf(3, Millis(400)));
  const auto open = promises_.Open(kService, 9);
  REQUIRE(open.size() == 2);
  CHECK(open.front().not_before == now_ + Millis(500));
  CHECK(open.front().has_promise);
  CHECK(ReturnPromises::IsPromise(open.front().id));
  CHECK_FALSE(open.front().id == open.back().id);
  CHECK(promises_.Open(kService, 1).size() == 1);
  CHECK(promises_.Open(ServiceName{"other"}, 9).empty());
}

TEST_CASE_METHOD(PromisesFixture,
                 "The room of an overdue caller is free before its promise "
                 "expires") {
  promises_.Make(PromiseWithRoom(1, Millis(500)));
  now_ += Millis(500) + ReturnPromises::kRoomGrace;
  REQUIRE(promises_.Open(kService, 9).size() == 1);
  CHECK(promises_.Open(kService, 9).front().not_before == now_);
  now_ += Millis(1);
  CHECK(promises_.Open(kService, 9).empty());
  CHECK(promises_.Find(RequestOf(1)) != nullptr);
}

TEST_CASE_METHOD(PromisesFixture,
                 "Another host restores the promises without counting them") {
  promises_.Make(PromiseWithRoom(1, Millis(500)));
  promises_.Make(PromiseWithRoom(2, Millis(700)));
  ReturnPromises successor([this] { return now_; });
  for (const ReturnPromise& promise : promises_.Entries()) {
    successor.Restore(promise);
    successor.Restore(promise);
  }
  CHECK(successor.Count() == 2);
  CHECK(successor.PromisedWork() == promises_.PromisedWork());
  CHECK(successor.Counts().made == 0);
  now_ += Millis(500);
  CHECK(successor.Redeem(RequestOf(1)).has_value());
}

TEST_CASE_METHOD(PromisesFixture, "Broken promises are counted by cause") {
  promises_.OnBroken(BrokenPromiseCause::kEnginesLeft);
  promises_.OnBroken(BrokenPromiseCause::kNearerDeadline);
  promises_.OnBroken(BrokenPromiseCause::kOther);
  CHECK(promises_.Counts().broken == 3);
  CHECK(promises_.Counts().broken_engines_left == 1);
  CHECK(promises_.Counts().broken_nearer_deadline == 1);
}

}  // namespace
}  // namespace harecrank
