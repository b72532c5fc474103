#include "src/sidecar/sidecar_stream.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

// A time in the past, so that waits return immediately.
const TimePoint kPast{};

TEST_CASE("Without credit nothing more is sent") {
  FlowWindow window(2);
  CHECK(window.Take(kPast));
  CHECK(window.Take(kPast));
  CHECK_FALSE(window.Take(kPast));
  window.Add(1);
  CHECK(window.Take(kPast));
  CHECK_FALSE(window.Take(kPast));
}

TEST_CASE("A closed window lets nothing through whatever its credit") {
  FlowWindow window(5);
  window.Close();
  CHECK_FALSE(window.Take(kPast));
}

TEST_CASE("A log gives its tokens to each that asks, and then its end") {
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
