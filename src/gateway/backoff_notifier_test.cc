#include "src/gateway/backoff_notifier.h"

#include <catch2/catch.hpp>
#include <utility>
#include <vector>

namespace harecrank {
namespace {

class WatchFixture {
 protected:
  void RunSoon() {
    std::vector<std::function<void()>> due = std::move(due_);
    due_.clear();
    for (const auto& run : due) {
      run();
    }
  }

  std::vector<std::function<void()>> due_;
  BackoffNotifier watch_{
      [this](std::function<void()> run) { due_.push_back(std::move(run)); }};
};

TEST_CASE_METHOD(WatchFixture,
                 "Each request that waits looks once after rests that were "
                 "asked for together") {
  int looks = 0;
  watch_.Add([&looks] { ++looks; });
  watch_.Add([&looks] { ++looks; });
  watch_.NotifyBackoff();
  watch_.NotifyBackoff();
  CHECK(looks == 0);
  RunSoon();
  CHECK(looks == 2);
  RunSoon();
  CHECK(looks == 2);
  watch_.NotifyBackoff();
  RunSoon();
  CHECK(looks == 4);
}

TEST_CASE_METHOD(WatchFixture,
                 "A look may end its own wait and that of others") {
  int looks = 0;
  BackoffNotifier::Id second = 0;
  BackoffNotifier::Id first = 0;
  first = watch_.Add([&] {
    ++looks;
    watch_.Remove(first);
    watch_.Remove(second);
  });
  second = watch_.Add([&looks] { ++looks; });
  watch_.NotifyBackoff();
  RunSoon();
  CHECK(looks == 1);
  watch_.NotifyBackoff();
  CHECK(due_.empty());
}

TEST_CASE_METHOD(WatchFixture, "Where nobody waits nothing is looked at") {
  watch_.NotifyBackoff();
  CHECK(due_.empty());
}

}  // namespace
}  // namespace harecrank
