#include "harecrank/core/attempt_timeout.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

constexpr TimePoint kSent{std::chrono::seconds(50)};

RouteRule Stream() {
  RouteRule route;
  route.kind = RequestKind::kStreaming;
  route.target_latency = Millis(300);
  route.target_gap = Millis(250);
  return route;
}

AttemptProgress Waiting() {
  AttemptProgress progress;
  progress.sent_at = kSent;
  progress.last_bytes_at = kSent;
  progress.predicted = FractionalMillis(100);
  return progress;
}

TEST_CASE("A first event is overdue at several times its prediction") {
  CHECK(OverdueAt(Stream(), Waiting()) == kSent + Millis(800));
}

TEST_CASE("An endpoint with helpers may tell first that one has died") {
  AttemptProgress progress = Waiting();
  progress.has_helpers = true;
  CHECK(OverdueAt(Stream(), progress) == kSent + Millis(2000));
}

TEST_CASE("A stream that has begun is overdue after some of its gaps") {
  AttemptProgress progress = Waiting();
  progress.first_event_seen = true;
  progress.last_bytes_at = kSent + Millis(5000);
  CHECK(OverdueAt(Stream(), progress) == kSent + Millis(6300));
}

TEST_CASE("A slow endpoint that is alive is waited for as callers do") {
  AttemptProgress progress = Waiting();
  progress.endpoint_is_alive = true;
  CHECK(OverdueAt(Stream(), progress) == kSent + UsableCallerTimeout(Stream()));
  CHECK(UsableCallerTimeout(Stream()) == Millis(1500));
}

TEST_CASE("A plain answer is overdue at twice its target") {
  RouteRule route = Stream();
  route.kind = RequestKind::kSafe;
  CHECK(OverdueAt(route, Waiting()) == kSent + Millis(600));
}

}  // namespace
}  // namespace harecrank
