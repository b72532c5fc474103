#include "harecrank/core/fair_queue.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

struct Fixture {
  FairQueue queue{1000, 50};
  std::uint64_t next_key = 1;

  std::uint64_t Push(const std::string& account, std::int64_t cost,
                     LengthClass length = LengthClass::kShort, int weight = 1) {
    QueuedRequest request;
    request.key = next_key++;
    request.account = AccountId{account};
    request.account_weight = weight;
    request.length = length;
    request.cost = Tokens{cost};
    request.start_by = TimePoint{} + Millis(1000);
    REQUIRE(queue.Push(request));
    return request.key;
  }
  static bool Anything(const QueuedRequest&) { return true; }
};

TEST_CASE_METHOD(Fixture,
                 "A burst from one account does not delay another account") {
  for (int i = 0; i < 100; ++i) {
    Push("flood", 1000);
  }
  const std::uint64_t late = Push("quiet", 1000);
  int before = 0;
  while (queue.PopFirst(Anything)->key != late) {
    ++before;
  }
  INFO(before << " requests of the flood went first");
  CHECK(before <= 1);
}

TEST_CASE_METHOD(Fixture, "A short request does not wait behind a long one") {
  Push("a", 1000000, LengthClass::kLong);
  Push("a", 1000000, LengthClass::kLong);
  const std::uint64_t quick = Push("a", 1000);
  queue.PopFirst(Anything);
  CHECK(queue.PopFirst(Anything)->key == quick);
}

TEST_CASE_METHOD(Fixture,
                 "An account with twice the weight gets twice the service") {
  for (int i = 0; i < 100; ++i) {
    Push("single", 1000);
    Push("double", 1000, LengthClass::kShort, 2);
  }
  int doubles = 0;
  for (int i = 0; i < 60; ++i) {
    doubles += queue.PopFirst(Anything)->account.value == "double" ? 1 : 0;
  }
  INFO("of 60 starts " << doubles << " were of the double weight");
  CHECK(doubles >= 38);
  CHECK(doubles <= 42);
}

TEST_CASE_METHOD(Fixture,
                 "A request that does not fit is bypassed a limited number of "
                 "times") {
  const std::uint64_t large = Push("a", 500);
  for (int i = 0; i < 100; ++i) {
    Push("b", 1);
  }
  const auto fits = [&](const QueuedRequest& request) {
    return request.key != large;
  };
  int passed = 0;
  while (queue.PopFirst(fits)) {
    ++passed;
  }
  CHECK(passed == FairQueue::kMaxBypasses);
}

TEST_CASE_METHOD(Fixture, "A full queue accepts no request") {
  FairQueue small(1, 50);
  QueuedRequest request;
  CHECK(small.Push(request));
  CHECK_FALSE(small.Push(request));
}

TEST_CASE_METHOD(Fixture, "Overdue requests are removed and returned") {
  const std::uint64_t key = Push("a", 1);
  CHECK(queue.DropOverdue(TimePoint{} + Millis(999)).empty());
  const auto overdue = queue.DropOverdue(TimePoint{} + Millis(1000));
  REQUIRE(overdue.size() == 1);
  CHECK(overdue.front().key == key);
  CHECK(queue.Size() == 0);
}

}  // namespace
}  // namespace harecrank
