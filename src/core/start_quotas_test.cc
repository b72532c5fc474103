#include "harecrank/core/start_quotas.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <string>

#include "harecrank/core/planner.h"

namespace harecrank {
namespace {

const ServiceName kService{"svc"};
const EndpointId kEndpoint{"e0"};
// 32 requests per second, times 1.5, plus 5.
constexpr ColdLimit kLimit{1.5, 5};
constexpr double kColdStartsPerS = 32;
constexpr std::size_t kMaxPerSecond = 53;

HostAddress Host(int number) {
  return HostAddress{"h" + std::to_string(number)};
}

EndpointRecord ColdRecord(Millis cold_for) {
  EndpointRecord record;
  record.id = kEndpoint;
  record.service = kService;
  record.revision = StoreRevision{1};
  record.cold_for = cold_for;
  return record;
}

ServiceProfile Service() {
  ServiceProfile service;
  service.name = kService;
  service.cold_requests_per_s = kColdStartsPerS;
  return service;
}

class QuotasFixture {
 protected:
  void Advance(Millis time) { now_ += time; }

  TimePoint now_{std::chrono::hours(1)};
  MonotonicClock clock_ = [this] { return now_; };
  ColdEndpoints cold_endpoints_{clock_};
  EndpointRateLimits rate_limits_{clock_};
};

TEST_CASE_METHOD(
    QuotasFixture,
    "Prefill parts for another endpoint count toward a named limit "
    "but not toward the limit of a cold endpoint") {
  const StartQuotas quotas(
      kLimit, &cold_endpoints_, &rate_limits_, HostBackoffs{}, [] { return 1; },
      clock_);
  StartHistory starts(clock_);
  Placement placement;
  placement.endpoint.id = EndpointId{"writer"};
  PrefillHelper helper;
  helper.record.id = kEndpoint;
  placement.helpers = {helper};
  cold_endpoints_.OnRecord(ColdRecord(Millis(60000)), Millis(0));
  Advance(Millis(1000));
  for (int i = 0; i < 200; ++i) {
    CHECK(quotas.MayStart(starts, Host(0), placement, Service()));
    quotas.Add(placement, Service(), Host(0), &starts);
  }
  rate_limits_.OnAnswer(kEndpoint, RequestRate{2}, now_);
  Advance(Millis(1000));
  REQUIRE(quotas.MayStart(starts, Host(0), placement, Service()));
  quotas.Add(placement, Service(), Host(0), &starts);
  CHECK_FALSE(quotas.MayStart(starts, Host(0), placement, Service()));
  CHECK_FALSE(quotas.MayStart(starts, Host(0), kEndpoint, Service()));
}

TEST_CASE_METHOD(QuotasFixture,
                 "Starts at least a window apart do not count together") {
  StartHistory starts(clock_);
  starts.Add(Host(0), kEndpoint);
  starts.Add(Host(0), kEndpoint);
  Advance(ColdEndpoints::kWindow - Millis(1));
  CHECK(starts.CountWithin(Host(0), kEndpoint, ColdEndpoints::kWindow) == 2);
  CHECK(starts.CountWithin(Host(1), kEndpoint, ColdEndpoints::kWindow) == 0);
  Advance(Millis(1));
  CHECK(starts.CountWithin(Host(0), kEndpoint, ColdEndpoints::kWindow) == 0);
}

TEST_CASE_METHOD(QuotasFixture,
                 "The quotas of all hosts add up to at most the limit") {
  cold_endpoints_.OnRecord(ColdRecord(Millis(3000)), Millis(0));
  const ServiceProfile service = Service();
  for (const int hosts : {1, 3, 24, 53, 54, 100, 300, 810}) {
    const StartQuotas quotas(
        kLimit, &cold_endpoints_, &rate_limits_, HostBackoffs{},
        [hosts] { return hosts; }, clock_);
    // The hash chooses different hosts for each endpoint.
    for (int endpoint = 0; endpoint < 200; ++endpoint) {
      EndpointRecord record = ColdRecord(Millis(3000));
      record.id = EndpointId{"e" + std::to_string(endpoint)};
      cold_endpoints_.OnRecord(record, Millis(0));
      double sum = 0;
      for (int host = 0; host < hosts; ++host) {
        sum += *quotas.QuotaOf(Host(host), record.id, service);
      }
      CHECK(sum <= kMaxPerSecond);
      CHECK(sum >= 1);
    }
  }
}

TEST_CASE_METHOD(QuotasFixture,
                 "A host that does not know the fleet size has no quota") {
  cold_endpoints_.OnRecord(ColdRecord(Millis(3000)), Millis(0));
  const StartQuotas quotas(
      kLimit, &cold_endpoints_, &rate_limits_, HostBackoffs{},
      [] { return std::nullopt; }, clock_);
  CHECK(quotas.QuotaOf(Host(0), kEndpoint, Service()) == 0.0);
}

TEST_CASE_METHOD(QuotasFixture, "Without a limit no endpoint is withheld") {
  cold_endpoints_.OnRecord(ColdRecord(Millis(3000)), Millis(0));
  const StartHistory starts(clock_);
  ServiceProfile unbounded = Service();
  unbounded.cold_requests_per_s = 0;
  const StartQuotas without_limit(
      ColdLimit{}, &cold_endpoints_, &rate_limits_, HostBackoffs{},
      [] { return std::nullopt; }, clock_);
  CHECK(without_limit.Withheld(starts, Host(0), Service()).empty());
  const StartQuotas with_limit(
      kLimit, &cold_endpoints_, &rate_limits_, HostBackoffs{},
      [] { return std::nullopt; }, clock_);
  CHECK(with_limit.Withheld(starts, Host(0), unbounded).empty());
  CHECK(with_limit.Withheld(starts, Host(0), Service()).size() == 1);
}

// Returns the largest number of `times` within one second.
std::size_t MaxInOneSecond(std::vector<TimePoint> times) {
  std::sort(times.begin(), times.end());
  std::size_t largest = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] >= std::chrono::seconds(1)) {
      ++first;
    }
    largest = std::max(largest, last - first + 1);
  }
  return largest;
}

// A network partition of 24 hosts. Three of them place requests without a
// planner. The others form three groups that do not communicate, each with a
// planner that takes itself for the only one. All hosts know a single cold
// endpoint and have far more work than it takes. Halfway through, the first
// planner is replaced by a new one that does not know of the placements made
// before.
class PartitionedFleet {
 public:
  PartitionedFleet(ColdLimit cold_limit, std::uint64_t seed)
      : random_(seed),
        quotas_(
            cold_limit, &cold_endpoints_, &rate_limits_, HostBackoffs{},
            [] { return kHosts; }, clock_) {
    EndpointRecord record = ColdRecord(kDuration + Millis(1000));
    record.address = "e0:1";
    directory_.Upsert(record);
    cold_endpoints_.OnRecord(record, Millis(0));
    RoutingDocument document;
    document.version = RoutingVersion{1};
    ServiceProfile service = Service();
    service.engine.emplace();
    service.engine->slots = 1000;
    service.engine->memory = Tokens{100000000};
    service.engine->step_ms = 1;
    service.engine->prefill_tokens_per_ms = 1000;
    document.services = {service};
    RouteRule route;
    route.host = "a";
    route.path_prefix = "/";
    route.kind = RequestKind::kStreaming;
    route.target_gap = Millis(1000);
    route.services = {WeightedService{kService, 1}};
    document.routes = {std::make_shared<const RouteRule>(route)};
    table_ = std::make_shared<const RoutingTable>(std::move(document));
    for (int i = 0; i < kPlanners; ++i) {
      planners_.push_back(MakePlanner());
    }
    for (int i = 0; i < kHosts; ++i) {
      starts_.emplace_back(clock_);
    }
  }

  // Returns the times at which requests reached the endpoint.
  const std::vector<TimePoint>& Run() {
    const TimePoint end = now_ + kDuration;
    const TimePoint halfway = now_ + kDuration / 2;
    bool is_replaced = false;
    while (now_ < end) {
      if (!is_replaced && now_ >= halfway) {
        is_replaced = true;
        planners_[0] = MakePlanner();
      }
      for (int i = 0; i < kRequestsPerStep; ++i) {
        StartRequest(static_cast<int>(random_() % kHosts));
      }
      for (const auto& planner : planners_) {
        for (const DeferredReply& due : planner->ProcessWaitQueue()) {
          OnDecision(HostNumber(due.host), due.decision);
        }
      }
      now_ += kStep;
    }
    return arrivals_;
  }

 private:
  static constexpr int kHosts = 24;
  static constexpr int kPlanners = 3;
  static constexpr int kHostsWithoutPlanner = 3;
  static constexpr int kRequestsPerStep = 3;
  static constexpr Millis kStep{10};
  static constexpr Millis kDuration{6000};

  std::unique_ptr<Planner> MakePlanner() {
    return std::make_unique<Planner>(
        &directory_, &health_, &quotas_, DataCentreId{"a"},
        [this] { return table_; }, PlacementPolicy{}, clock_,
        [this] { return random_(); });
  }

  static int HostNumber(const HostAddress& host) {
    return std::stoi(host.value.substr(1));
  }

  void StartRequest(int host) {
    if (host < kHostsWithoutPlanner) {
      if (HostMayStart(host)) {
        RecordStart(host);
      }
      return;
    }
    PlacementQuery query;
    query.host = Host(host);
    query.incarnation = Incarnation{1};
    query.id = QueryId{++last_id_};
    query.service = kService;
    query.target_latency = Millis(500);
    query.target_gap = Millis(1000);
    query.prompt = Tokens{1000};
    query.answer = Tokens{10};
    query.until_late = Millis(500);
    if (!HostMayStart(host)) {
      query.withheld.insert(kEndpoint);
    }
    OnDecision(
        host,
        planners_[static_cast<std::size_t>(host % kPlanners)]->OnQuery(query));
  }

  void OnDecision(int host, const PlacementDecision& decision) {
    if (std::holds_alternative<PlannedPlacement>(decision) &&
        HostMayStart(host)) {
      RecordStart(host);
    }
  }

  bool HostMayStart(int host) {
    return quotas_.MayStart(starts_[static_cast<std::size_t>(host)], Host(host),
                            kEndpoint, table_->Document().services.front());
  }

  void RecordStart(int host) {
    starts_[static_cast<std::size_t>(host)].Add(Host(host), kEndpoint);
    // One request in four needs a new connection or is sent by a busy host.
    const bool is_slow = random_() % 4 == 0;
    const auto longest =
        is_slow ? EndpointDirectory::kMaxDispatchTime.count() : std::int64_t{5};
    const auto delay = static_cast<std::int64_t>(
        random_() % static_cast<std::uint64_t>(longest));
    arrivals_.push_back(now_ + Millis(delay));
  }

  TimePoint now_{std::chrono::hours(1)};
  MonotonicClock clock_ = [this] { return now_; };
  std::mt19937_64 random_;
  std::uint64_t last_id_ = 0;
  EndpointDirectory directory_{clock_};
  EndpointHealth health_{clock_};
  ColdEndpoints cold_endpoints_{clock_};
  EndpointRateLimits rate_limits_{clock_};
  StartQuotas quotas_;
  std::shared_ptr<const RoutingTable> table_;
  std::vector<std::unique_ptr<Planner>> planners_;
  // The starts of each host.
  std::vector<StartHistory> starts_;
  std::vector<TimePoint> arrivals_;
};

TEST_CASE(
    "A fleet in three partitions stays within the limit of a cold "
    "endpoint") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    PartitionedFleet fleet(kLimit, seed);
    const std::size_t largest = MaxInOneSecond(fleet.Run());
    CHECK(largest <= kMaxPerSecond);
    // Far fewer would leave the endpoint idle.
    CHECK(largest >= kMaxPerSecond / 2);
  }
}

TEST_CASE(
    "Without a limit a fleet in three partitions overloads a cold "
    "endpoint") {
  PartitionedFleet unbounded(ColdLimit{}, 1);
  CHECK(MaxInOneSecond(unbounded.Run()) > 2 * kMaxPerSecond);
}

// Three warm endpoints without an engine profile and a cold one, which has had
// no requests for a while. Since it is idle, all hosts choose it as soon as
// they may.
std::vector<int> RunWarmUp(ColdLimit cold_limit, int hosts) {
  constexpr Millis kStep{1};
  constexpr Millis kHalf{500};
  constexpr Millis kCold{3000};
  constexpr Millis kDuration{10000};
  TimePoint now{std::chrono::hours(1)};
  const MonotonicClock clock = [&now] { return now; };
  std::mt19937_64 random(7);
  EndpointDirectory directory(clock);
  EndpointHealth health(clock);
  ColdEndpoints cold(clock);
  const EndpointRateLimits limits(clock);
  const ServiceProfile service = Service();
  EndpointRecord record = ColdRecord(kCold);
  for (const char* id : {"e0", "e1", "e2", "e3"}) {
    record.id = EndpointId{id};
    directory.Upsert(record);
    cold.OnRecord(record, Millis(0));
    record.cold_for = Millis(0);
  }
  const StartQuotas quotas(
      cold_limit, &cold, &limits, HostBackoffs{}, [hosts] { return hosts; },
      clock);
  EndpointLoads loads(clock);
  const Placer placer(
      &directory, &loads, &health, DataCentreId{}, LoadScope::kThisHost,
      [hosts] { return hosts; }, PlacementPolicy{}, [&] { return random(); });
  StartHistory starts(clock);
  struct Running {
    TimePoint ends;
    WorkId work;
  };
  std::deque<Running> running;
  std::vector<int> halves(kDuration / kHalf);
  const TimePoint started = now;
  while (now - started < kDuration) {
    while (!running.empty() && running.front().ends <= now) {
      loads.End(running.front().work);
      running.pop_front();
    }
    const HostAddress host =
        Host(static_cast<int>(random() % static_cast<std::uint64_t>(hosts)));
    PlacementRequest request;
    request.service = &service;
    request.withheld = quotas.Withheld(starts, host, service);
    const auto placement = std::get<Placement>(placer.Choose(request));
    starts.Add(host, placement.endpoint.id);
    for (const WorkPart& part : PartsOf(placement, request)) {
      running.push_back(Running{now + Millis(50), loads.Begin(part)});
    }
    if (placement.endpoint.id == kEndpoint) {
      ++halves[static_cast<std::size_t>((now - started) / kHalf)];
    }
    now += kStep;
  }
  return halves;
}

// Returns the largest excess of the load of a half second over 1.5 times that
// of the half second before. The first two are not compared.
double LargestRise(const std::vector<int>& halves) {
  double largest = 0;
  for (std::size_t i = 2; i < halves.size(); ++i) {
    largest = std::max(largest, halves[i] - 1.5 * halves[i - 1]);
  }
  return largest;
}

TEST_CASE("Work returns gradually to an endpoint that was cold") {
  constexpr double kMaxRise = 6;
  for (const int hosts : {3, 24, 100}) {
    const std::vector<int> halves = RunWarmUp(kLimit, hosts);
    CHECK(LargestRise(halves) <= kMaxRise);
    CHECK(halves.front() <= static_cast<int>(kMaxPerSecond) / 2);
    // In the end the endpoint gets a quarter of 1000 requests per second.
    CHECK(halves.back() >= 110);
  }
}

TEST_CASE("Without a limit a cold endpoint gets all its work at once") {
  CHECK(RunWarmUp(ColdLimit{}, 24).front() >
        2 * static_cast<int>(kMaxPerSecond));
}

}  // namespace
}  // namespace harecrank
