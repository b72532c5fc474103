#include "harecrank/core/endpoint_scheduler.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

namespace leaf = boost::leaf;

struct Fixture {
  TimePoint now{};
  EndpointScheduler scheduler{MakeOptions(), [this] { return now; }};
  std::uint64_t next_key = 1;

  static SchedulerOptions MakeOptions() {
    SchedulerOptions options;
    options.memory = Tokens{1000};
    options.queue_limit = 10;
    options.max_running = 4;
    options.short_headroom_percent = 20;
    return options;
  }
  QueuedRequest MakeRequest(std::int64_t cost,
                            LengthClass length = LengthClass::kShort) {
    QueuedRequest request;
    request.key = next_key++;
    request.account = AccountId{"a"};
    request.cost = Tokens{cost};
    request.length = length;
    request.start_by = now + Millis(1000);
    return request;
  }
  // Returns the error code with which `request` is rejected, or "".
  std::string Submit(const QueuedRequest& request) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
          BOOST_LEAF_CHECK(scheduler.Submit(request));
          return std::string();
        },
        [](const SubmitError& error) {
          return std::string(SubmitErrorCode(error));
        },
        [] { return std::string("another layer"); });
  }
};

TEST_CASE_METHOD(Fixture,
                 "Memory limits the starts and is freed when a request ends") {
  const QueuedRequest first = MakeRequest(700);
  const QueuedRequest second = MakeRequest(700);
  REQUIRE(Submit(first).empty());
  REQUIRE(Submit(second).empty());
  CHECK(scheduler.TakeStarts() == std::vector<std::uint64_t>{first.key});
  scheduler.Finish(first.key);
  CHECK(scheduler.TakeStarts() == std::vector<std::uint64_t>{second.key});
}

TEST_CASE_METHOD(Fixture, "Long requests leave headroom for short ones") {
  REQUIRE(Submit(MakeRequest(700, LengthClass::kLong)).empty());
  REQUIRE(Submit(MakeRequest(200, LengthClass::kLong)).empty());
  CHECK(scheduler.TakeStarts().size() == 1);
  const QueuedRequest quick = MakeRequest(200);
  REQUIRE(Submit(quick).empty());
  CHECK(scheduler.TakeStarts() == std::vector<std::uint64_t>{quick.key});
}

TEST_CASE_METHOD(Fixture,
                 "A request that arrives past its deadline never starts") {
  QueuedRequest request = MakeRequest(10);
  now += Millis(5000);
  CHECK(Submit(request) == "deadline_exceeded");
}

TEST_CASE_METHOD(Fixture, "A queued request past its deadline never starts") {
  const QueuedRequest request = MakeRequest(10);
  REQUIRE(Submit(request).empty());
  now += Millis(1000);
  CHECK(scheduler.TakeStarts().empty());
  CHECK(scheduler.DropOverdue().size() == 1);
}

TEST_CASE_METHOD(Fixture, "A revoked request never starts") {
  const QueuedRequest request = MakeRequest(10);
  REQUIRE(Submit(request).empty());
  CHECK(scheduler.Revoke(request.key));
  CHECK(scheduler.TakeStarts().empty());
}

TEST_CASE_METHOD(Fixture, "A started request cannot be revoked") {
  const QueuedRequest request = MakeRequest(10);
  REQUIRE(Submit(request).empty());
  REQUIRE(scheduler.TakeStarts().size() == 1);
  CHECK_FALSE(scheduler.Revoke(request.key));
}

TEST_CASE_METHOD(Fixture, "A full queue rejects at once") {
  std::string code;
  for (int i = 0; i < 11; ++i) {
    code = Submit(MakeRequest(900));
  }
  CHECK(code == "overloaded");
}

TEST_CASE_METHOD(Fixture, "A smaller queue limit applies at once") {
  SchedulerOptions options = MakeOptions();
  options.queue_limit = 1;
  scheduler.Reconfigure(options);
  REQUIRE(Submit(MakeRequest(900)).empty());
  CHECK(Submit(MakeRequest(900)) == "overloaded");
}

TEST_CASE_METHOD(Fixture,
                 "A request that would start too late is rejected on arrival") {
  // Measures a rate of 100 tokens per second, then queues work for ten seconds.
  const QueuedRequest first = MakeRequest(100);
  REQUIRE(Submit(first).empty());
  scheduler.TakeStarts();
  now += Millis(1000);
  scheduler.Finish(first.key);
  REQUIRE(Submit(MakeRequest(1000)).empty());
  scheduler.TakeStarts();
  REQUIRE(Submit(MakeRequest(1000)).empty());
  CHECK(Submit(MakeRequest(10)) == "overloaded");
}

TEST_CASE_METHOD(Fixture,
                 "A window with little work does not lower the rate much") {
  // A thousand tokens end in one second and only ten in the next, because the
  // endpoint had little work.
  const QueuedRequest much = MakeRequest(1000);
  REQUIRE(Submit(much).empty());
  scheduler.TakeStarts();
  now += Millis(1000);
  scheduler.Finish(much.key);
  const QueuedRequest little = MakeRequest(10);
  REQUIRE(Submit(little).empty());
  scheduler.TakeStarts();
  now += Millis(1000);
  scheduler.Finish(little.key);
  REQUIRE(Submit(MakeRequest(500)).empty());
  CHECK(Submit(MakeRequest(10)).empty());
}

TEST_CASE_METHOD(
    Fixture, "A draining endpoint rejects requests and completes its work") {
  const QueuedRequest request = MakeRequest(10);
  REQUIRE(Submit(request).empty());
  scheduler.Drain();
  CHECK(Submit(MakeRequest(10)) == "draining");
  CHECK(scheduler.TakeStarts().size() == 1);
  scheduler.Finish(request.key);
  CHECK(scheduler.IsIdle());
}

TEST_CASE_METHOD(Fixture, "A reservation that is not renewed expires") {
  REQUIRE(scheduler.Reserve(7, Tokens{500}, Millis(100)));
  CHECK(scheduler.Report().free_memory.value == 500);
  now += Millis(100);
  CHECK(scheduler.DropExpiredLeases() == std::vector<std::uint64_t>{7});
  CHECK(scheduler.Report().free_memory.value == 1000);
  CHECK_FALSE(scheduler.Renew(7, Millis(100)));
}

}  // namespace
}  // namespace harecrank
