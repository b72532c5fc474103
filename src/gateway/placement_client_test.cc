// Tests what waiting queries do when another host becomes the planner.

#include "src/gateway/placement_client.h"

#include <catch2/catch.hpp>

#include "testing/engine_service.h"

namespace harecrank {
namespace {

const HostAddress kSelf{"self"};
const HostAddress kPlanner{"a"};
const HostAddress kStandby{"b"};
constexpr Incarnation kIncarnation{4};

// A client with one query that waits in the queue of kPlanner, and a fleet that
// records its messages.
class WaitingQueryFixture {
 protected:
  void Start(OnTakeover on_takeover) {
    PlacementClientPorts ports;
    ports.planner = [this] { return planner_; };
    ports.send = [this](const HostAddress& to, const FleetMessage& message) {
      Record(to, message);
    };
    ports.on_unresponsive = [](const HostAddress& /*host*/) {};
    ports.on_redirect = [](const HostAddress& /*host*/,
                           const HostAddress& /*planner*/) {};
    ports.on_placed_twice = [this] { ++placed_twice_; };
    client_ = std::make_unique<PlacementClient>(
        &io_, kSelf, kIncarnation, on_takeover, std::move(ports),
        [] { return BootClock::now(); });
    PlacementRequest request;
    request.service = &service_;
    request.until_late = Millis(4000);
    request.until_deadline = Millis(15000);
    id_ = client_->SendQuery(request, false, [this](const QueryResult& result) {
      if (!std::holds_alternative<QueryQueued>(result)) {
        results_.push_back(result);
      }
    });
    Reply(kPlanner, QueryQueued{});
  }

  void Record(const HostAddress& to, const FleetMessage& message) {
    if (std::holds_alternative<PlacementQuery>(message)) {
      ++queries_[to];
    }
    if (const auto* report = std::get_if<ProgressReport>(&message)) {
      released_[to] += static_cast<int>(report->ended.size());
    }
  }

  void Reply(const HostAddress& from, const PlacementDecision& decision) {
    client_->OnReply(PlacementReply{from, kIncarnation, id_, decision});
  }

  void ChangePlanner() {
    planner_ = kStandby;
    client_->OnPlannerChanged();
  }

  void RunFor(Millis time) {
    io_.restart();
    io_.run_for(time);
  }

  boost::asio::io_context io_;
  ServiceProfile service_ =
      testing::MakeEngineServiceProfile(ServiceName{"writers"});
  std::optional<HostAddress> planner_ = kPlanner;
  std::unique_ptr<PlacementClient> client_;
  QueryId id_;
  std::map<HostAddress, int> queries_;
  std::map<HostAddress, int> released_;
  std::vector<QueryResult> results_;
  int placed_twice_ = 0;
};

TEST_CASE_METHOD(WaitingQueryFixture,
                 "A waiting query is not sent to a new planner that has it") {
  Start(OnTakeover::kAwaitReply);
  ChangePlanner();
  Reply(kStandby, QueryQueued{});
  RunFor(PlacementClient::kTakeoverGrace + Millis(20));
  CHECK(queries_[kStandby] == 0);
  CHECK(queries_[kPlanner] == 1);
  Reply(kStandby, PlannedPlacement{});
  CHECK(results_.size() == 1);
}

TEST_CASE_METHOD(WaitingQueryFixture,
                 "A waiting query is sent to a new planner that does not reply "
                 "within the grace period") {
  Start(OnTakeover::kAwaitReply);
  ChangePlanner();
  CHECK(queries_[kStandby] == 0);
  RunFor(PlacementClient::kTakeoverGrace + Millis(20));
  CHECK(queries_[kStandby] == 1);
}

TEST_CASE_METHOD(WaitingQueryFixture,
                 "Without standbys a waiting query is sent to a new planner at "
                 "once") {
  Start(OnTakeover::kAskAnew);
  ChangePlanner();
  CHECK(queries_[kStandby] == 1);
}

TEST_CASE_METHOD(WaitingQueryFixture,
                 "Of the placements of two planners the first is used and the "
                 "other is given back") {
  Start(OnTakeover::kAwaitReply);
  const bool standby_first = GENERATE(true, false);
  const HostAddress first = standby_first ? kStandby : kPlanner;
  const HostAddress second = standby_first ? kPlanner : kStandby;
  Reply(first, PlannedPlacement{});
  REQUIRE(results_.size() == 1);
  client_->OnStarted(id_, std::vector<WorkPart>(1));
  const int released = released_[second];
  Reply(second, PlannedPlacement{});
  CHECK(results_.size() == 1);
  CHECK(released_[second] == released + 1);
  CHECK(released_[first] == 0);
  CHECK(placed_twice_ == 1);
  // A repeated reply gives nothing back.
  Reply(first, PlannedPlacement{});
  CHECK(released_[first] == 0);
}

TEST_CASE_METHOD(WaitingQueryFixture,
                 "A rejection of a host that is not the planner is ignored") {
  Start(OnTakeover::kAwaitReply);
  Reply(kStandby, QueryRejected{});
  CHECK(results_.empty());
  ChangePlanner();
  Reply(kStandby, QueryRejected{});
  CHECK(results_.size() == 1);
}

}  // namespace
}  // namespace harecrank
