#include "harecrank/core/catch_up.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

CatchUp::State At(std::uint64_t routing, std::uint64_t known_up_to) {
  return {RoutingVersion{routing}, StoreRevision{known_up_to}};
}

class CatchUpFixture {
 protected:
  TimePoint now_{std::chrono::seconds(1)};
  CatchUp catch_up_{[this] { return now_; }};
};

TEST_CASE_METHOD(CatchUpFixture,
                 "A host that is behind asks for what came after its revision "
                 "and tells since when") {
  CHECK(catch_up_.BehindFor() == Millis(0));
  catch_up_.OnBehind(At(3, 7), false);
  now_ += Millis(40);
  catch_up_.OnBehind(At(3, 7), false);
  CHECK(catch_up_.AskAfter() == StoreRevision{7});
  CHECK(catch_up_.Pause() == Millis(0));
  CHECK(catch_up_.BehindFor() == Millis(40));
  catch_up_.OnCaughtUp();
  CHECK(catch_up_.BehindFor() == Millis(0));
}

// Guards against a host that keeps an old configuration while it takes answer
// after answer, and new entries with each.
TEST_CASE_METHOD(CatchUpFixture,
                 "A host that lacks the configuration after several answers "
                 "asks for a full copy, whatever else arrives") {
  for (int i = 0; i < CatchUp::kAnswersInVain; ++i) {
    catch_up_.OnBehind(At(3, 7 + static_cast<std::uint64_t>(i)), true);
    CHECK(catch_up_.AskAfter() != StoreRevision{});
    catch_up_.OnAnswer();
  }
  catch_up_.OnBehind(At(3, 20), true);
  CHECK(catch_up_.AskAfter() == StoreRevision{});
  catch_up_.OnBehind(At(4, 20), true);
  CHECK(catch_up_.AskAfter() == StoreRevision{20});
}

TEST_CASE_METHOD(CatchUpFixture,
                 "Answers that cannot be used lead to a full copy, and those "
                 "that help do not") {
  for (int i = 0; i < 2 * CatchUp::kAnswersInVain; ++i) {
    catch_up_.OnBehind(At(3, 7 + static_cast<std::uint64_t>(i)), false);
    CHECK(catch_up_.AskAfter() != StoreRevision{});
    catch_up_.OnAnswer();
  }
  for (int i = 0; i < CatchUp::kAnswersInVain; ++i) {
    catch_up_.OnBehind(At(3, 30), false);
    catch_up_.OnAnswer();
  }
  catch_up_.OnBehind(At(3, 30), false);
  CHECK(catch_up_.AskAfter() == StoreRevision{});
}

TEST_CASE_METHOD(CatchUpFixture,
                 "Full copies that do not help are asked for less and less "
                 "often") {
  catch_up_.OnBehind(At(3, 7), true);
  for (int i = 0; i < CatchUp::kAnswersInVain; ++i) {
    catch_up_.OnAnswer();
  }
  CHECK(catch_up_.Pause() == Millis(0));
  catch_up_.OnAnswer();
  CHECK(catch_up_.Pause() == CatchUp::kFirstPause);
  catch_up_.OnAnswer();
  CHECK(catch_up_.Pause() == 2 * CatchUp::kFirstPause);
  for (int i = 0; i < 100; ++i) {
    catch_up_.OnAnswer();
  }
  CHECK(catch_up_.Pause() == CatchUp::kMaxPause);
  CHECK(catch_up_.AskAfter() == StoreRevision{});
}

}  // namespace
}  // namespace harecrank
