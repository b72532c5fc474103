#include "src/sidecar/sidecar_stream.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

// A time in the past, so that waits return immediately.
const TimePoint kPast{};

TEST_CASE("Take fails once the credit is used up") {
  FlowWindow window(2);
  CHECK(window.Take(kPast));
  CHECK(window.Take(kPast));
  CHECK_FALSE(window.Take(kPast));
  window.Add(1);
  CHECK(window.Take(kPast));
  CHECK_FALSE(window.Take(kPast));
}

TEST_CASE("Take fails on a closed window even if credit is left") {
  FlowWindow window(5);
  window.Close();
  CHECK_FALSE(window.Take(kPast));
}

TEST_CASE("A log returns its tokens to every reader, and then its end") {
  AnswerLog log;
  log.Append("a");
  log.Append("b");
  CHECK(log.WaitFor(0, kPast) == "a");
  CHECK(log.WaitFor(1, kPast) == "b");
  CHECK(log.WaitFor(0, kPast) == "a");
  CHECK_FALSE(log.WaitFor(2, kPast));
  CHECK_FALSE(log.GetEnd());
  log.End(wire::Finished{});
  CHECK(log.GetEnd());
}

}  // namespace
}  // namespace harecrank
