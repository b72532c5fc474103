// Two regions, north and south, of three data centres each, with four engines
// in each data centre.

#include "harecrank/core/region_rule.h"

#include <catch2/catch.hpp>
#include <memory>

#include "harecrank/core/endpoint_eligibility.h"
#include "harecrank/core/planner.h"
#include "testing/engine_service.h"

namespace harecrank {
namespace {

const ServiceName kService{"writers"};
const RegionId kNorth{"north"};
const RegionId kSouth{"south"};
const RegionId kUnknown{"west"};
constexpr std::int64_t kLongPrompt = 90000;

DataCentreRegions TwoRegions() {
  return DataCentreRegions({{DataCentreId{"n1"}, kNorth},
                            {DataCentreId{"n2"}, kNorth},
                            {DataCentreId{"n3"}, kNorth},
                            {DataCentreId{"s1"}, kSouth},
                            {DataCentreId{"s2"}, kSouth},
                            {DataCentreId{"s3"}, kSouth}});
}

TEST_CASE("The lists of the route and of the account both bind") {
  const DataCentreRegions regions = TwoRegions();
  const auto count = [&regions](const std::vector<RegionId>& route,
                                const std::vector<RegionId>& account) {
    return regions.PermittedBy(route, account)->size();
  };
  CHECK_FALSE(regions.PermittedBy({}, {}).has_value());
  CHECK(count({kNorth}, {}) == 3);
  CHECK(count({}, {kNorth, kSouth}) == 6);
  CHECK(count({kNorth, kSouth}, {kSouth}) == 3);
  CHECK(count({kNorth}, {kSouth}) == 0);
  CHECK(count({kUnknown}, {}) == 0);
  CHECK(count({kUnknown, kNorth}, {}) == 3);
  CHECK_FALSE(IsPermitted(regions.PermittedBy({kNorth}, {}),
                          DataCentreId{"without-region"}));
  CHECK(IsPermitted(std::nullopt, DataCentreId{"without-region"}));
}

TEST_CASE(
    "Regions that no data centre is in are found in routes and accounts") {
  RouteRule route;
  route.permitted_regions = {kNorth, kUnknown};
  AccountEntry account;
  account.permitted_regions = {RegionId{"east"}, kUnknown};
  RoutingDocument document;
  document.routes = {std::make_shared<const RouteRule>(route)};
  document.accounts = {account};
  CHECK(FindUnknownRegions(document, TwoRegions()) ==
        std::set<RegionId>{RegionId{"east"}, kUnknown});
}

// Seen from data centre s1.
class RegionFixture {
 protected:
  RegionFixture() {
    for (const auto& [data_centre, region] : regions_.All()) {
      for (int i = 0; i < 4; ++i) {
        EndpointRecord record;
        record.id = EndpointId{data_centre.value + "-" + std::to_string(i)};
        record.service = kService;
        record.data_centre = data_centre;
        directory_.Upsert(record);
      }
    }
    RoutingDocument document;
    document.services = {testing::MakeEngineServiceProfile(kService)};
    RouteRule route;
    route.host = "a";
    route.path_prefix = "/";
    route.target_gap = Millis(300);
    route.services = {WeightedService{kService, 1}};
    document.routes = {std::make_shared<const RouteRule>(route)};
    table_ = std::make_shared<const RoutingTable>(std::move(document));
  }

  bool IsIn(const RegionId& region, const EndpointId& id) const {
    return regions_.All().at(directory_.Find(id)->data_centre) == region;
  }

  PlacementRequest Request(const PermittedDataCentres& permitted) const {
    PlacementRequest request;
    request.service = table_->FindService(kService);
    request.target_latency = Millis(1500);
    request.target_gap = request.tightest_gap = Millis(300);
    request.prompt = Tokens{kLongPrompt};
    request.answer = Tokens{900};
    request.until_late = request.target_latency;
    request.permitted = permitted;
    return request;
  }

  PlacementQuery Query(const PermittedDataCentres& permitted) {
    const PlacementRequest request = Request(permitted);
    PlacementQuery query;
    query.host = HostAddress{"h"};
    query.id = QueryId{++last_id_};
    query.service = kService;
    query.target_latency = request.target_latency;
    query.target_gap = request.target_gap;
    query.prompt = request.prompt;
    query.answer = request.answer;
    query.until_late = request.until_late;
    query.permitted = permitted;
    return query;
  }

  TimePoint now_{std::chrono::hours(1)};
  MonotonicClock clock_ = [this] { return now_; };
  std::uint64_t random_state_ = 0;
  RandomSource random_ = [this] { return random_state_ += 77; };
  std::uint64_t last_id_ = 0;
  DataCentreRegions regions_ = TwoRegions();
  PermittedDataCentres in_north_ = regions_.PermittedBy({kNorth}, {});
  EndpointDirectory directory_{clock_};
  EndpointHealth health_{clock_};
  ColdEndpoints cold_{clock_};
  EndpointRateLimits limits_{clock_};
  StartQuotas start_quotas_{ColdLimit{},    &cold_,           &limits_,
                            HostBackoffs{}, [] { return 1; }, clock_};
  std::shared_ptr<const RoutingTable> table_;
};

TEST_CASE_METHOD(
    RegionFixture,
    "A planner or a host that places alone gives no part of a request to a "
    "region that is not permitted, and does so without a bound") {
  const LoadScope scope = GENERATE(LoadScope::kAllHosts, LoadScope::kThisHost);
  const bool bound = GENERATE(true, false);
  EndpointLoads loads(clock_);
  const Placer placer(
      &directory_, &loads, &health_, DataCentreId{"s1"}, scope,
      [] { return 1; }, PlacementPolicy{}, random_);
  int placed = 0;
  int parts_in_south = 0;
  for (int i = 0; i < 12; ++i) {
    const PlacementRequest request =
        Request(bound ? in_north_ : PermittedDataCentres{});
    const PlacementResult result = placer.Choose(request);
    const auto* placement = std::get_if<Placement>(&result);
    if (placement == nullptr) {
      continue;
    }
    ++placed;
    for (const WorkPart& part : PartsOf(*placement, request)) {
      parts_in_south += IsIn(kSouth, part.endpoint) ? 1 : 0;
      loads.Begin(part);
    }
  }
  CHECK(placed > 0);
  CHECK((parts_in_south == 0) == bound);
}

TEST_CASE_METHOD(RegionFixture,
                 "At the planner, a request waits for the permitted engines "
                 "while engines of other regions are idle") {
  Planner planner(
      &directory_, &health_, &start_quotas_, DataCentreId{"s1"},
      [this] { return table_; }, PlacementPolicy{}, clock_, random_);
  std::vector<PlacementQuery> placed;
  PlacementDecision decision;
  do {
    placed.push_back(Query(in_north_));
    decision = planner.OnQuery(placed.back());
    const auto* planned = std::get_if<PlannedPlacement>(&decision);
    CHECK((planned == nullptr || IsIn(kNorth, planned->endpoint)));
  } while (std::holds_alternative<PlannedPlacement>(decision));
  CHECK_FALSE(std::holds_alternative<NoEndpoint>(decision));
  CHECK(std::holds_alternative<PlannedPlacement>(
      planner.OnQuery(Query(std::nullopt))));
}

TEST_CASE_METHOD(
    RegionFixture,
    "A start limit makes a request wait only if it holds at an endpoint that "
    "the request may use") {
  EndpointLoads loads(clock_);
  const Placer placer(
      &directory_, &loads, &health_, DataCentreId{"s1"}, LoadScope::kAllHosts,
      [] { return 1; }, PlacementPolicy{}, random_);
  PlacementRequest request = Request(in_north_);
  for (const EndpointRecord& record : directory_.All()) {
    const bool in_north = IsIn(kNorth, record.id);
    CHECK(MayUse(request, record) == in_north);
    (in_north ? request.tried : request.withheld).insert(record.id);
    CHECK_FALSE(MayUse(request, record));
  }
  CHECK(std::holds_alternative<NoEndpoint>(placer.Choose(request)));
  request.withheld = request.tried;
  request.tried.clear();
  CHECK(std::holds_alternative<EnginesBusy>(placer.Choose(request)));
}

TEST_CASE_METHOD(
    RegionFixture,
    "Endpoints that cannot be used now are not the same as endpoints that are "
    "not permitted") {
  CHECK_FALSE(AreAllForbidden(directory_, kService, in_north_));
  CHECK_FALSE(AreAllForbidden(directory_, kService, std::nullopt));
  CHECK(AreAllForbidden(directory_, kService, std::set<DataCentreId>{}));
  CHECK(AreAllForbidden(directory_, kService,
                        std::set<DataCentreId>{DataCentreId{"n4"}}));
  CHECK_FALSE(AreAllForbidden(directory_, ServiceName{"other"}, in_north_));
  for (const DataCentreId& data_centre : *in_north_) {
    directory_.DrainDataCentre(DrainedDataCentre{data_centre, StoreRevision{}});
  }
  CHECK_FALSE(AreAllForbidden(directory_, kService, in_north_));
}

}  // namespace
}  // namespace harecrank
