#include "src/gateway/endpoint_updater.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace harecrank {
namespace {

const EndpointId kId{"a"};

class UpdaterFixture {
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

  // Adds the endpoint and marks it as unreachable.
  void AddUnreachable() {
    updater_.OnEndpoint(Record(1000, 2));
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
  EndpointUpdater updater_{&directory_, &health_, &connections_, &log_,
                           &metrics_};
};

TEST_CASE_METHOD(UpdaterFixture,
                 "A new incarnation of an endpoint starts with clean health") {
  AddUnreachable();
  SECTION("In a single update") { updater_.OnEndpoint(Record(900, 3)); }
  SECTION("In a listing") {
    updater_.OnListing({Record(900, 3)}, StoreRevision{3});
  }
  CHECK_FALSE(health_.IsSuspect(kId));
  CHECK(directory_.Find(kId)->incarnation == EndpointIncarnation{900});
}

TEST_CASE_METHOD(
    UpdaterFixture,
    "An update of the same or an older incarnation keeps the health") {
  AddUnreachable();
  updater_.OnEndpoint(Record(1000, 3));
  CHECK(health_.IsSuspect(kId));
  updater_.OnEndpoint(Record(900, 1));
  CHECK(health_.IsSuspect(kId));
  CHECK(directory_.Find(kId)->incarnation == EndpointIncarnation{1000});
}

TEST_CASE_METHOD(UpdaterFixture, "An unusable entry removes its endpoint") {
  AddUnreachable();
  updater_.OnUnusable(kId, StoreRevision{3}, "not as servers write theirs");
  CHECK(directory_.Find(kId) == nullptr);
  CHECK_FALSE(health_.IsSuspect(kId));
}

}  // namespace
}  // namespace harecrank
