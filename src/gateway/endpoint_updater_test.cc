#include "src/gateway/endpoint_updater.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace harecrank {
namespace {

const EndpointId kId{"a"};

class NewsFixture {
 protected:
  static EndpointRecord Record(std::int64_t incarnation,
                               std::uint64_t revision) {
    EndpointRecord record;
    record.id = kId;
    record.incarnation = EndpointIncarnation{incarnation};
    record.service = ServiceName{"writers"};
    record.address = "127.0.0.1:1";
    record.revision = StoreRevision{revision};
    return record;
  }

  // The endpoint is known, and could not be reached.
  void FailOnce() {
    news_.OnEndpoint(Record(1000, 2));
    health_.OnUnreachable(kId);
    REQUIRE(health_.IsSuspect(kId));
  }

  TimePoint now_{std::chrono::hours(1)};
  MonotonicClock clock_ = [this] { return now_; };
  boost::asio::io_context io_;
  EndpointDirectory directory_{clock_};
  EndpointHealth health_{clock_};
  EndpointConnectionPool connections_{&io_, clock_};
  EventLog log_{"node-1", clock_};
  Metrics metrics_;
  EndpointUpdater news_{&directory_, &health_, &connections_, &log_, &metrics_};
};

TEST_CASE_METHOD(NewsFixture,
                 "A new life under an id starts without the failures before") {
  FailOnce();
  SECTION("Told alone") { news_.OnEndpoint(Record(900, 3)); }
  SECTION("In a listing") {
    news_.OnListing({Record(900, 3)}, StoreRevision{3});
  }
  CHECK_FALSE(health_.IsSuspect(kId));
  CHECK(directory_.Find(kId)->incarnation == EndpointIncarnation{900});
}

TEST_CASE_METHOD(
    NewsFixture,
    "Another word of the same life, or an old one, forgets nothing") {
  FailOnce();
  news_.OnEndpoint(Record(1000, 3));
  CHECK(health_.IsSuspect(kId));
  news_.OnEndpoint(Record(900, 1));
  CHECK(health_.IsSuspect(kId));
  CHECK(directory_.Find(kId)->incarnation == EndpointIncarnation{1000});
}

TEST_CASE_METHOD(NewsFixture, "An unusable entry takes its endpoint away") {
  FailOnce();
  news_.OnUnusable(kId, StoreRevision{3}, "not as servers write theirs");
  CHECK(directory_.Find(kId) == nullptr);
  CHECK_FALSE(health_.IsSuspect(kId));
}

}  // namespace
}  // namespace harecrank
