// A planner and the engines of one service, for tests that replay a load
// against the planner on a clock of their own.

#ifndef HARECRANK_TESTING_PLANNED_ENGINES_H_
#define HARECRANK_TESTING_PLANNED_ENGINES_H_

#include <memory>
#include <string>
#include <utility>

#include "harecrank/core/planner.h"
#include "testing/engine_service.h"

namespace harecrank::testing {

inline const ServiceName kPlannedService{"writers"};

// Engines e0, e1 and so on of one service, and their planner.
class PlannedEngines {
 public:
  // `tightest_gap` is the gap of the only route to the service.
  PlannedEngines(int engines, Millis tightest_gap,
                 const PlacementPolicy& policy)
      : policy_(policy) {
    for (int i = 0; i < engines; ++i) {
      SetEngine(i, true);
    }
    RoutingDocument document;
    document.version = RoutingVersion{1};
    document.services = {MakeEngineServiceProfile(kPlannedService)};
    RouteRule route;
    route.name = "any";
    route.host = "a";
    route.path_prefix = "/";
    route.kind = RequestKind::kStreaming;
    route.target_gap = tightest_gap;
    route.services = {WeightedService{kPlannedService, 1}};
    document.routes = {std::make_shared<const RouteRule>(route)};
    table_ = std::make_shared<const RoutingTable>(std::move(document));
    StartPlanner();
  }

  // Replaces the planner by one that knows nothing of the queries so far.
  void StartPlanner() {
    planner_ = std::make_unique<Planner>(
        &directory_, &health_, &start_quotas_, DataCentreId{"a"},
        [this] { return table_; }, policy_, [this] { return now_; },
        [this] { return last_random_ += 77; });
  }

  void SetEngine(int number, bool usable) {
    EndpointRecord record;
    record.id = EndpointId{"e" + std::to_string(number)};
    record.service = kPlannedService;
    record.address = record.id.value + ":1";
    record.draining = !usable;
    directory_.Upsert(record);
  }

  Planner& PlannerUnderTest() { return *planner_; }
  TimePoint Now() const { return now_; }
  void Advance(Millis time) { now_ += time; }

 private:
  TimePoint now_{std::chrono::hours(1)};
  std::uint64_t last_random_ = 0;
  PlacementPolicy policy_;
  EndpointDirectory directory_{[this] { return now_; }};
  EndpointHealth health_{[this] { return now_; }};
  ColdEndpoints cold_{[this] { return now_; }};
  EndpointRateLimits limits_{[this] { return now_; }};
  StartQuotas start_quotas_{ColdLimit{},      &cold_,
                            &limits_,         HostBackoffs{},
                            [] { return 1; }, [this] { return now_; }};
  std::shared_ptr<const RoutingTable> table_;
  std::unique_ptr<Planner> planner_;
};

}  // namespace harecrank::testing

#endif  // HARECRANK_TESTING_PLANNED_ENGINES_H_
