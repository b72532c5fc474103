#include "harecrank/core/attempt_timeout.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

constexpr TimePoint kSentAt{std::chrono::seconds(50)};

RouteRule StreamingRoute() {
  RouteRule route;
  route.kind = RequestKind::kStreaming;
  route.target_latency = Millis(300);
  route.target_gap = Millis(250);
  return route;
}

AttemptProgress WaitingForFirstEvent() {
  AttemptProgress progress;
  progress.sent_at = kSentAt;
  progress.last_bytes_at = kSentAt;
  progress.predicted = FractionalMillis(100);
  return progress;
}

TEST_CASE("The first event is overdue after a multiple of its prediction") {
  CHECK(OverdueAt(StreamingRoute(), WaitingForFirstEvent()) ==
        kSentAt + Millis(800));
}

TEST_CASE("An endpoint with helpers has time to report a dead helper") {
  AttemptProgress progress = WaitingForFirstEvent();
  progress.has_helpers = true;
  CHECK(OverdueAt(StreamingRoute(), progress) == kSentAt + Millis(2000));
}

TEST_CASE("A started stream is overdue after a multiple of its gap") {
  AttemptProgress progress = WaitingForFirstEvent();
  progress.first_event_seen = true;
  progress.last_bytes_at = kSentAt + Millis(5000);
  CHECK(OverdueAt(StreamingRoute(), progress) == kSentAt + Millis(6300));
}

TEST_CASE("A live endpoint may use most of the caller's time-out") {
  AttemptProgress progress = WaitingForFirstEvent();
  progress.endpoint_is_alive = true;
  CHECK(OverdueAt(StreamingRoute(), progress) ==
        kSentAt + UsableCallerTimeout(StreamingRoute()));
  CHECK(UsableCallerTimeout(StreamingRoute()) == Millis(1500));
}

// The endpoint that decodes is alive while it waits for a helper that hangs.
TEST_CASE("A group that is judged is overdue although its endpoint is alive") {
  RouteRule route = StreamingRoute();
  route.target_latency = Millis(4000);
  AttemptProgress progress = WaitingForFirstEvent();
  progress.predicted = FractionalMillis(1000);
  progress.has_helpers = true;
  progress.endpoint_is_alive = true;
  CHECK(OverdueAt(route, progress) == kSentAt + Millis(12000));
  progress.judges_groups = true;
  CHECK(OverdueAt(route, progress) == kSentAt + Millis(6000));
  CHECK(GroupTroubleAt(progress) == kSentAt + Millis(3000));
}

TEST_CASE("A non-streaming response is overdue at twice its target") {
  RouteRule route = StreamingRoute();
  route.kind = RequestKind::kSafe;
  CHECK(OverdueAt(route, WaitingForFirstEvent()) == kSentAt + Millis(600));
}

}  // namespace
}  // namespace harecrank
