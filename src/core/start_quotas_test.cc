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
// 32 requests a second, times 1.5, and 5.
constexpr ColdLimit kBound{1.5, 5};
constexpr double kColdStartsPerS = 32;
constexpr std::size_t kMostInASecond = 53;

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

class SharesFixture {
 protected:
  void Pass(Millis time) { now_ += time; }

  TimePoint now_{std::chrono::hours(1)};
  MonotonicClock clock_ = [this] { return now_; };
  ColdEndpoints endpoints_{clock_};
  EndpointRateLimits limits_{clock_};
};

TEST_CASE_METHOD(SharesFixture,
                 "Parts that an endpoint reads for another count for a limit "
                 "that it names, and not while it is only cold") {
  const StartQuotas shares(
      kBound, &endpoints_, &limits_, HostBackoffs{}, [] { return 1; }, clock_);
  StartHistory starts(clock_);
  Placement placement;
  placement.endpoint.id = EndpointId{"writer"};
  PrefillHelper helper;
  helper.record.id = kEndpoint;
  placement.helpers = {helper};
  endpoints_.OnRecord(ColdRecord(Millis(60000)), Millis(0));
  Pass(Millis(1000));
  for (int i = 0; i < 200; ++i) {
    CHECK(shares.MayStart(starts, Host(0), placement, Service()));
    shares.Add(placement, Service(), Host(0), &starts);
  }
  limits_.OnAnswer(kEndpoint, RequestRate{2}, now_);
  Pass(Millis(1000));
  REQUIRE(shares.MayStart(starts, Host(0), placement, Service()));
  shares.Add(placement, Service(), Host(0), &starts);
  CHECK_FALSE(shares.MayStart(starts, Host(0), placement, Service()));
  CHECK_FALSE(shares.MayStart(starts, Host(0), kEndpoint, Service()));
}

TEST_CASE_METHOD(SharesFixture, "Two bursts never share a second") {
  StartHistory starts(clock_);
  starts.Add(Host(0), kEndpoint);
  starts.Add(Host(0), kEndpoint);
  Pass(ColdEndpoints::kWindow - Millis(1));
  CHECK(starts.CountWithin(Host(0), kEndpoint, ColdEndpoints::kWindow) == 2);
  CHECK(starts.CountWithin(Host(1), kEndpoint, ColdEndpoints::kWindow) == 0);
  Pass(Millis(1));
  CHECK(starts.CountWithin(Host(0), kEndpoint, ColdEndpoints::kWindow) == 0);
}

TEST_CASE_METHOD(SharesFixture, "The parts of all hosts add up to the bound") {
  endpoints_.OnRecord(ColdRecord(Millis(3000)), Millis(0));
  const ServiceProfile service = Service();
  for (const int hosts : {1, 3, 24, 53, 54, 100, 300, 810}) {
    const StartQuotas shares(
        kBound, &endpoints_, &limits_, HostBackoffs{},
        [hosts] { return hosts; }, clock_);
    // The hash names others for other endpoints.
    for (int endpoint = 0; endpoint < 200; ++endpoint) {
      EndpointRecord record = ColdRecord(Millis(3000));
      record.id = EndpointId{"e" + std::to_string(endpoint)};
      endpoints_.OnRecord(record, Millis(0));
      double sum = 0;
      for (int host = 0; host < hosts; ++host) {
        sum += *shares.QuotaOf(Host(host), record.id, service);
      }
      CHECK(sum <= kMostInASecond);
      CHECK(sum >= 1);
    }
  }
}

TEST_CASE_METHOD(SharesFixture,
                 "A host that does not know the fleet begins nothing there") {
  endpoints_.OnRecord(ColdRecord(Millis(3000)), Millis(0));
  const StartQuotas shares(
      kBound, &endpoints_, &limits_, HostBackoffs{},
      [] { return std::nullopt; }, clock_);
  CHECK(shares.QuotaOf(Host(0), kEndpoint, Service()) == 0.0);
}

TEST_CASE_METHOD(SharesFixture, "Without a bound nothing is withheld") {
  endpoints_.OnRecord(ColdRecord(Millis(3000)), Millis(0));
  const StartHistory starts(clock_);
  ServiceProfile unbounded = Service();
  unbounded.cold_requests_per_s = 0;
  const StartQuotas none(
      ColdLimit{}, &endpoints_, &limits_, HostBackoffs{},
      [] { return std::nullopt; }, clock_);
  CHECK(none.Withheld(starts, Host(0), Service()).empty());
  const StartQuotas bound(
      kBound, &endpoints_, &limits_, HostBackoffs{},
      [] { return std::nullopt; }, clock_);
  CHECK(bound.Withheld(starts, Host(0), unbounded).empty());
  CHECK(bound.Withheld(starts, Host(0), Service()).size() == 1);
}

// Returns the most of `times` that lie within one second.
std::size_t MostInASecond(std::vector<TimePoint> times) {
  std::sort(times.begin(), times.end());
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] >= std::chrono::seconds(1)) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

// Twenty-four hosts in three parts that do not hear of each other, each with a
// planner that takes itself for the only one, and three hosts that place alone.
// All of them know one endpoint, which is cold, and have far more work than it
// takes. Halfway the first planner dies, and a new one follows it that knows
// nothing of what it gave.
class CutFleet {
 public:
  CutFleet(ColdLimit bound, std::uint64_t seed)
      : random_(seed),
        shares_(
            bound, &endpoints_, &limits_, HostBackoffs{}, [] { return kHosts; },
            clock_) {
    EndpointRecord record = ColdRecord(kPlayed + Millis(1000));
    record.address = "e0:1";
    directory_.Upsert(record);
    endpoints_.OnRecord(record, Millis(0));
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
      begun_.emplace_back(clock_);
    }
  }

  // Returns when requests reached the endpoint.
  const std::vector<TimePoint>& Play() {
    const TimePoint end = now_ + kPlayed;
    const TimePoint halfway = now_ + kPlayed / 2;
    bool has_followed = false;
    while (now_ < end) {
      if (!has_followed && now_ >= halfway) {
        has_followed = true;
        planners_[0] = MakePlanner();
      }
      for (int i = 0; i < kRequestsInAStep; ++i) {
        StartRequest(static_cast<int>(random_() % kHosts));
      }
      for (const auto& planner : planners_) {
        for (const DeferredReply& due : planner->ProcessWaitQueue()) {
          OnDecision(HostNumber(due.host), due.decision);
        }
      }
      now_ += kStep;
    }
    return arrived_;
  }

 private:
  static constexpr int kHosts = 24;
  static constexpr int kPlanners = 3;
  static constexpr int kAlone = 3;
  static constexpr int kRequestsInAStep = 3;
  static constexpr Millis kStep{10};
  static constexpr Millis kPlayed{6000};

  std::unique_ptr<Planner> MakePlanner() {
    return std::make_unique<Planner>(
        &directory_, &health_, &shares_, DataCentreId{"a"},
        [this] { return table_; }, PlacementPolicy{}, clock_,
        [this] { return random_(); });
  }

  static int HostNumber(const HostAddress& host) {
    return std::stoi(host.value.substr(1));
  }

  void StartRequest(int host) {
    if (host < kAlone) {
      if (MayBegin(host)) {
        Begin(host);
      }
      return;
    }
    PlacementQuery ask;
    ask.host = Host(host);
    ask.incarnation = Incarnation{1};
    ask.id = QueryId{++last_id_};
    ask.service = kService;
    ask.target_latency = Millis(500);
    ask.target_gap = Millis(1000);
    ask.prompt = Tokens{1000};
    ask.answer = Tokens{10};
    ask.until_late = Millis(500);
    if (!MayBegin(host)) {
      ask.withheld.insert(kEndpoint);
    }
    OnDecision(
        host,
        planners_[static_cast<std::size_t>(host % kPlanners)]->OnQuery(ask));
  }

  void OnDecision(int host, const PlacementDecision& decision) {
    if (std::holds_alternative<PlannedPlacement>(decision) && MayBegin(host)) {
      Begin(host);
    }
  }

  bool MayBegin(int host) {
    return shares_.MayStart(begun_[static_cast<std::size_t>(host)], Host(host),
                            kEndpoint, table_->Document().services.front());
  }

  void Begin(int host) {
    begun_[static_cast<std::size_t>(host)].Add(Host(host), kEndpoint);
    // One in four needs a new connection, and the host is busy at times.
    const bool is_slow = random_() % 4 == 0;
    const auto longest =
        is_slow ? EndpointDirectory::kMaxDispatchTime.count() : std::int64_t{5};
    const auto delay = static_cast<std::int64_t>(
        random_() % static_cast<std::uint64_t>(longest));
    arrived_.push_back(now_ + Millis(delay));
  }

  TimePoint now_{std::chrono::hours(1)};
  MonotonicClock clock_ = [this] { return now_; };
  std::mt19937_64 random_;
  std::uint64_t last_id_ = 0;
  EndpointDirectory directory_{clock_};
  EndpointHealth health_{clock_};
  ColdEndpoints endpoints_{clock_};
  EndpointRateLimits limits_{clock_};
  StartQuotas shares_;
  std::shared_ptr<const RoutingTable> table_;
  std::vector<std::unique_ptr<Planner>> planners_;
  // What each host has begun.
  std::vector<StartHistory> begun_;
  std::vector<TimePoint> arrived_;
};

TEST_CASE("A fleet that is cut in three stays within a cold endpoint's bound") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CutFleet fleet(kBound, seed);
    const std::size_t most = MostInASecond(fleet.Play());
    CHECK(most <= kMostInASecond);
    // Far less would leave the endpoint idle.
    CHECK(most >= kMostInASecond / 2);
  }
}

TEST_CASE("A fleet that is cut in three presses on a cold endpoint") {
  CutFleet unbounded(ColdLimit{}, 1);
  CHECK(MostInASecond(unbounded.Play()) > 2 * kMostInASecond);
}

// Three warm plain endpoints and a cold one, to which nobody has sent for a
// while: as it is idle, all hosts choose it as soon as they may.
std::vector<int> PlayRise(ColdLimit bound, int hosts) {
  constexpr Millis kStep{1};
  constexpr Millis kHalf{500};
  constexpr Millis kCold{3000};
  constexpr Millis kPlayed{10000};
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
  const StartQuotas shares(
      bound, &cold, &limits, HostBackoffs{}, [hosts] { return hosts; }, clock);
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
  std::vector<int> halves(kPlayed / kHalf);
  const TimePoint began = now;
  while (now - began < kPlayed) {
    while (!running.empty() && running.front().ends <= now) {
      loads.End(running.front().work);
      running.pop_front();
    }
    const HostAddress host =
        Host(static_cast<int>(random() % static_cast<std::uint64_t>(hosts)));
    PlacementRequest request;
    request.service = &service;
    request.withheld = shares.Withheld(starts, host, service);
    const auto placement = std::get<Placement>(placer.Choose(request));
    starts.Add(host, placement.endpoint.id);
    for (const WorkPart& part : PartsOf(placement, request)) {
      running.push_back(Running{now + Millis(50), loads.Begin(part)});
    }
    if (placement.endpoint.id == kEndpoint) {
      ++halves[static_cast<std::size_t>((now - began) / kHalf)];
    }
    now += kStep;
  }
  return halves;
}

// Returns by how much a half second's load is above one and a half times the
// one before, at the most, and that of the first half second.
double Wave(const std::vector<int>& halves) {
  double most = 0;
  for (std::size_t i = 2; i < halves.size(); ++i) {
    most = std::max(most, halves[i] - 1.5 * halves[i - 1]);
  }
  return most;
}

TEST_CASE("Work returns to an endpoint that was cold without a wave") {
  constexpr double kSmall = 6;
  for (const int hosts : {3, 24, 100}) {
    const std::vector<int> halves = PlayRise(kBound, hosts);
    CHECK(Wave(halves) <= kSmall);
    CHECK(halves.front() <= static_cast<int>(kMostInASecond) / 2);
    // A quarter of a thousand a second, in the end.
    CHECK(halves.back() >= 110);
  }
}

TEST_CASE("Without a bound a cold endpoint gets all its work at once") {
  CHECK(PlayRise(ColdLimit{}, 24).front() >
        2 * static_cast<int>(kMostInASecond));
}

}  // namespace
}  // namespace harecrank
