#include "src/gateway/event_loop_monitor.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

TEST_CASE("A task's duration is recorded under its name", "[loop_holds]") {
  TimePoint now{};
  const MonotonicClock clock = [&now] { return now; };
  EventLog log("n", clock);
  Metrics metrics;
  EventLoopMonitor monitor(&log, &metrics, clock);
  {
    const EventLoopMonitor::Span span(&monitor, "listing");
    now += Millis(40);
    CHECK(span.Elapsed() == Millis(40));
  }
  monitor.Record("export", Millis(1));
  const std::string text = metrics.Text();
  CHECK(text.find("harecrank_gateway_loop_held_seconds_count{what="
                  "\"listing\"} 1") != std::string::npos);
  CHECK(text.find("harecrank_gateway_loop_held_seconds_sum{what="
                  "\"listing\"} 0.04") != std::string::npos);
  CHECK(text.find("harecrank_gateway_loop_held_seconds_count{what="
                  "\"export\"} 1") != std::string::npos);
}

}  // namespace
}  // namespace harecrank
