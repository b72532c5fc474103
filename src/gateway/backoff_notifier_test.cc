#include "src/gateway/backoff_notifier.h"

#include <catch2/catch.hpp>
#include <utility>
#include <vector>

namespace harecrank {
namespace {

class NotifierFixture {
 protected:
  void RunSoon() {
    std::vector<std::function<void()>> scheduled = std::move(scheduled_);
    scheduled_.clear();
    for (const auto& run : scheduled) {
      run();
    }
  }

  std::vector<std::function<void()>> scheduled_;
  BackoffNotifier notifier_{[this](std::function<void()> run) {
    scheduled_.push_back(std::move(run));
  }};
};

TEST_CASE_METHOD(NotifierFixture,
                 "Back-offs that come together are notified once") {
  int calls = 0;
  notifier_.Add([&calls] { ++calls; });
  notifier_.Add([&calls] { ++calls; });
  notifier_.NotifyBackoff();
  notifier_.NotifyBackoff();
  CHECK(calls == 0);
  RunSoon();
  CHECK(calls == 2);
  RunSoon();
  CHECK(calls == 2);
  notifier_.NotifyBackoff();
  RunSoon();
  CHECK(calls == 4);
}

TEST_CASE_METHOD(NotifierFixture, "A callback may remove itself and others") {
  int calls = 0;
  BackoffNotifier::Id second = 0;
  BackoffNotifier::Id first = 0;
  first = notifier_.Add([&] {
    ++calls;
    notifier_.Remove(first);
    notifier_.Remove(second);
  });
  second = notifier_.Add([&calls] { ++calls; });
  notifier_.NotifyBackoff();
  RunSoon();
  CHECK(calls == 1);
  notifier_.NotifyBackoff();
  CHECK(scheduled_.empty());
}

TEST_CASE_METHOD(NotifierFixture, "Without callbacks nothing is scheduled") {
  notifier_.NotifyBackoff();
  CHECK(scheduled_.empty());
}

}  // namespace
}  // namespace harecrank
