#include "harecrank/core/planner.h"

#include <catch2/catch.hpp>
#include <memory>
#include <set>

#include "testing/engine_service.h"

namespace harecrank {
namespace {

const ServiceName kService{"writers"};
constexpr int kEngines = 20;

// Twenty engines that prefill 177 tokens per millisecond, and prompts of the
// sizes that occur under overload: short ones, and long ones that need sixteen
// engines.
class PlannerFixture {
 protected:
  PlannerFixture() {
    for (int i = 0; i < kEngines; ++i) {
      EndpointRecord record;
      record.id = EndpointId{"e" + std::to_string(i)};
      record.service = kService;
      record.address = record.id.value + ":1";
      directory_.Upsert(record);
    }
    RoutingDocument document;
    document.version = RoutingVersion{1};
    document.services = {testing::MakeEngineServiceProfile(kService)};
    for (const Millis gap : {Millis(300), Millis(1200)}) {
      RouteRule route;
      route.name = std::to_string(gap.count());
      route.host = "a";
      route.path_prefix = "/" + route.name + "/";
      route.kind = RequestKind::kStreaming;
      route.target_gap = gap;
      route.services = {WeightedService{kService, 1}};
      document.routes.push_back(std::make_shared<const RouteRule>(route));
    }
    table_ = std::make_shared<const RoutingTable>(std::move(document));
    planner_ = MakePlanner();
  }

  std::unique_ptr<Planner> MakePlanner() {
    return std::make_unique<Planner>(
        &directory_, &health_, &start_quotas_, DataCentreId{"a"},
        [this] { return table_; }, policy_, [this] { return now_; },
        [this] { return random_state_ += 77; });
  }

  PlacementQuery ShortQuery(int host) {
    return MakeQuery(host, 5000, Millis(400), Millis(300));
  }
  PlacementQuery LongQuery(int host, std::int64_t prompt = 220000) {
    return MakeQuery(host, prompt, Millis(4000), Millis(1200));
  }

  PlacementQuery MakeQuery(int host, std::int64_t prompt, Millis target,
                           Millis gap) {
    PlacementQuery query;
    query.host = HostAddress{"h" + std::to_string(host)};
    query.incarnation = Incarnation{1};
    query.id = QueryId{++last_id_};
    query.service = kService;
    query.target_latency = target;
    query.target_gap = gap;
    query.prompt = Tokens{prompt};
    query.answer = Tokens{900};
    query.until_late = target;
    return query;
  }

  void EndRequest(const PlacementQuery& query) {
    planner_->OnProgressReport(ProgressReport{
        query.host, query.incarnation, {}, {RequestDone{query.id, false}}});
  }

  // Returns a heartbeat with the work of the placed `queries`, which must be of
  // one host.
  static Heartbeat HeartbeatWithWork(
      const std::vector<std::pair<PlacementQuery, PlannedPlacement>>& queries) {
    Heartbeat heartbeat;
    heartbeat.address = queries.front().first.host;
    heartbeat.incarnation = queries.front().first.incarnation;
    heartbeat.work.emplace();
    for (const auto& [query, placed] : queries) {
      QueryWork work;
      work.id = query.id;
      work.parts.push_back(WorkPart{placed.endpoint, placed.work_class,
                                    placed.prefill_time, query.prompt,
                                    query.target_gap});
      for (const PlannedHelper& helper : placed.helpers) {
        work.parts.push_back(WorkPart{helper.endpoint, WorkClass::kHelper,
                                      placed.prefill_time, helper.held,
                                      Millis(0)});
      }
      heartbeat.work->push_back(std::move(work));
    }
    return heartbeat;
  }

  TimePoint now_{std::chrono::hours(1)};
  std::uint64_t random_state_ = 0;
  std::uint64_t last_id_ = 0;
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

// Hosts that know each other's work with a delay of 0.1 s all choose the engine
// that looks idle first. A burst from a hundred hosts then gives that engine
// 2.9 times the average load. The planner must spread such a burst.
TEST_CASE_METHOD(
    PlannerFixture,
    "A burst of short prompts from a hundred hosts is spread evenly") {
  std::map<EndpointId, int> requests;
  for (int host = 0; host < 100; ++host) {
    const auto placed =
        std::get<PlannedPlacement>(planner_->OnQuery(ShortQuery(host)));
    ++requests[placed.endpoint];
  }
  for (const auto& [endpoint, count] : requests) {
    CHECK(count <= 10);
  }
}

TEST_CASE_METHOD(
    PlannerFixture,
    "Two long prompts of different hosts never share a prefill engine") {
  const auto first =
      std::get<PlannedPlacement>(planner_->OnQuery(LongQuery(1, 45000)));
  const auto second =
      std::get<PlannedPlacement>(planner_->OnQuery(LongQuery(2, 45000)));
  std::set<EndpointId> engines{first.endpoint};
  for (const PlannedHelper& helper : first.helpers) {
    engines.insert(helper.endpoint);
  }
  CHECK(engines.count(second.endpoint) == 0);
  for (const PlannedHelper& helper : second.helpers) {
    CHECK(engines.count(helper.endpoint) == 0);
  }
}

TEST_CASE_METHOD(
    PlannerFixture,
    "A prompt waits while all engines prefill, and starts when they are done") {
  const PlacementQuery first = LongQuery(1);
  REQUIRE(std::holds_alternative<PlannedPlacement>(planner_->OnQuery(first)));
  const PlacementQuery second = LongQuery(2);
  REQUIRE(std::holds_alternative<QueryQueued>(planner_->OnQuery(second)));
  CHECK(planner_->ProcessWaitQueue().empty());
  planner_->OnProgressReport(ProgressReport{
      first.host, first.incarnation, {PrefillDone{first.id, 1}}, {}});
  const auto replies = planner_->ProcessWaitQueue();
  REQUIRE(replies.size() == 1);
  CHECK(replies.front().host == second.host);
  CHECK(replies.front().id == second.id);
  CHECK(std::holds_alternative<PlannedPlacement>(replies.front().decision));
  CHECK(planner_->WaitingCount() == 0);
}

TEST_CASE_METHOD(PlannerFixture,
                 "Of two queued prompts the one with less slack starts first") {
  const PlacementQuery first = LongQuery(1);
  planner_->OnQuery(first);
  const PlacementQuery less_urgent = LongQuery(2);
  planner_->OnQuery(less_urgent);
  PlacementQuery more_urgent = LongQuery(3);
  more_urgent.until_late = FractionalMillis(2000);
  planner_->OnQuery(more_urgent);
  planner_->OnProgressReport(ProgressReport{
      first.host, first.incarnation, {PrefillDone{first.id, 1}}, {}});
  const auto replies = planner_->ProcessWaitQueue();
  REQUIRE_FALSE(replies.empty());
  CHECK(replies.front().id == more_urgent.id);
}

TEST_CASE_METHOD(
    PlannerFixture,
    "A repeated query gets the same reply and no second placement") {
  const PlacementQuery query = LongQuery(1);
  const auto first = std::get<PlannedPlacement>(planner_->OnQuery(query));
  const auto repeated = std::get<PlannedPlacement>(planner_->OnQuery(query));
  CHECK(first.endpoint == repeated.endpoint);
  EndRequest(query);
  // The engines of the first query are idle again.
  CHECK(std::holds_alternative<PlannedPlacement>(
      planner_->OnQuery(LongQuery(2))));
}

TEST_CASE_METHOD(PlannerFixture,
                 "A prompt is rejected at once if a queued one of no greater "
                 "length can no longer meet its target") {
  planner_->OnQuery(LongQuery(1));
  PlacementQuery late = LongQuery(2);
  late.until_late = FractionalMillis(-1);
  REQUIRE(std::holds_alternative<QueryQueued>(planner_->OnQuery(late)));
  CHECK(std::holds_alternative<QueryRejected>(
      planner_->OnQuery(LongQuery(3, 230000))));
  // A request that an endpoint may have run cannot be rejected as not executed.
  PlacementQuery resumed = LongQuery(3, 230000);
  resumed.may_have_run = true;
  CHECK(std::holds_alternative<QueryQueued>(planner_->OnQuery(resumed)));
}

TEST_CASE_METHOD(PlannerFixture,
                 "A new planner learns the active work from heartbeats") {
  const PlacementQuery first = LongQuery(1);
  const auto placed = std::get<PlannedPlacement>(planner_->OnQuery(first));
  planner_ = MakePlanner();
  planner_->OnHeartbeat(HeartbeatWithWork({{first, placed}}));
  CHECK(std::holds_alternative<QueryQueued>(planner_->OnQuery(LongQuery(2))));
}

TEST_CASE_METHOD(PlannerFixture,
                 "A new planner places nothing during its learning period, and "
                 "then every query that it can") {
  const PlacementQuery first = LongQuery(1);
  const auto placed = std::get<PlannedPlacement>(planner_->OnQuery(first));
  planner_ = MakePlanner();
  planner_->Begin({first.host, HostAddress{"silent"}});
  CHECK(std::holds_alternative<QueryQueued>(planner_->OnQuery(LongQuery(2))));
  constexpr int kShortPrompts = 12;
  for (int i = 0; i < kShortPrompts; ++i) {
    CHECK(
        std::holds_alternative<QueryQueued>(planner_->OnQuery(ShortQuery(3))));
  }
  planner_->OnHeartbeat(HeartbeatWithWork({{first, placed}}));
  CHECK(planner_->ProcessWaitQueue().empty());
  // The host that does not report is waited for only this long.
  now_ += Planner::kLearningPeriod;
  CHECK(planner_->ProcessWaitQueue().size() == kShortPrompts);
  CHECK(planner_->WaitingCount() == 1);
}

TEST_CASE_METHOD(PlannerFixture,
                 "The learning period ends when all hosts have reported") {
  planner_->Begin({HostAddress{"h1"}});
  const PlacementQuery query = ShortQuery(1);
  REQUIRE(std::holds_alternative<QueryQueued>(planner_->OnQuery(query)));
  Heartbeat no_work;
  no_work.address = query.host;
  no_work.incarnation = query.incarnation;
  no_work.work.emplace();
  planner_->OnHeartbeat(no_work);
  CHECK(planner_->ProcessWaitQueue().size() == 1);
}

TEST_CASE_METHOD(PlannerFixture,
                 "A placement that is missing from its host's heartbeat is "
                 "released after the grace period") {
  const PlacementQuery taken = LongQuery(1);
  const auto placed = std::get<PlannedPlacement>(planner_->OnQuery(taken));
  Heartbeat no_work = HeartbeatWithWork({{taken, placed}});
  no_work.work->clear();
  planner_->OnHeartbeat(no_work);
  CHECK(std::holds_alternative<QueryQueued>(planner_->OnQuery(LongQuery(2))));
  now_ += Planner::kHeartbeatGrace + Millis(1);
  planner_->OnHeartbeat(no_work);
  CHECK(planner_->ProcessWaitQueue().size() == 1);
}

TEST_CASE_METHOD(PlannerFixture,
                 "The work of silent and restarted hosts is dropped") {
  planner_->OnQuery(LongQuery(1));
  PlacementQuery queued = LongQuery(2);
  REQUIRE(std::holds_alternative<QueryQueued>(planner_->OnQuery(queued)));
  PlacementQuery restarted = LongQuery(1);
  restarted.incarnation = Incarnation{2};
  CHECK(std::holds_alternative<PlannedPlacement>(planner_->OnQuery(restarted)));
  now_ += Planner::kHostTimeout + Millis(1);
  planner_->RemoveSilentHosts();
  CHECK(planner_->HostCount() == 0);
  CHECK(planner_->WaitingCount() == 0);
}

TEST_CASE_METHOD(PlannerFixture,
                 "A queued query that is not repeated times out") {
  planner_->OnQuery(LongQuery(1));
  const PlacementQuery queued = LongQuery(2);
  planner_->OnQuery(queued);
  Heartbeat no_work;
  no_work.address = queued.host;
  no_work.incarnation = queued.incarnation;
  no_work.work.emplace();
  planner_->OnHeartbeat(no_work);
  CHECK(planner_->WaitingCount() == 1);
  now_ += Planner::kQueryTimeout + Millis(1);
  planner_->OnHeartbeat(no_work);
  CHECK(planner_->WaitingCount() == 0);
}

TEST_CASE_METHOD(PlannerFixture,
                 "An endpoint that fails the requests of one host is avoided "
                 "for all hosts") {
  const PlacementQuery query = ShortQuery(1);
  const auto placed = std::get<PlannedPlacement>(planner_->OnQuery(query));
  EndRequest(query);
  for (int i = 0; i < 10; ++i) {
    PlacementQuery failed = ShortQuery(1);
    planner_->OnQuery(failed);
    planner_->OnProgressReport(ProgressReport{
        failed.host, failed.incarnation, {}, {RequestDone{failed.id, true}}});
  }
  const auto later =
      std::get<PlannedPlacement>(planner_->OnQuery(ShortQuery(2)));
  CHECK(later.endpoint != placed.endpoint);
}

TEST_CASE_METHOD(PlannerFixture, "An unknown service has no endpoint") {
  PlacementQuery query = ShortQuery(1);
  query.service = ServiceName{"none"};
  CHECK(std::holds_alternative<NoEndpoint>(planner_->OnQuery(query)));
}

// After a restart of all hosts, callers reconnect within half a second. All
// prompts that enter one pass get their first event at its end, so placing the
// whole burst at once delays every first event to 400 ms or more. The planner
// must place only as many as meet the target.
TEST_CASE_METHOD(PlannerFixture,
                 "Of a burst that is too large to meet its target, only the "
                 "prompts that do are placed, and the rest wait") {
  constexpr int kBurst = 300;
  int placed = 0;
  int waiting = 0;
  for (int host = 0; host < kBurst; ++host) {
    const PlacementDecision decision = planner_->OnQuery(ShortQuery(host));
    if (const auto* place = std::get_if<PlannedPlacement>(&decision)) {
      ++placed;
      CHECK(place->first_event <= FractionalMillis(400));
    } else {
      CHECK(std::holds_alternative<QueryQueued>(decision));
      ++waiting;
    }
  }
  CHECK(placed >= kBurst / 4);
  CHECK(waiting >= kBurst / 4);
  CHECK(planner_->WaitingCount() == static_cast<std::size_t>(waiting));
}

TEST_CASE_METHOD(
    PlannerFixture,
    "Without waiting, all prompts of a burst are placed, and many are late") {
  policy_.short_waits = false;
  planner_ = MakePlanner();
  int late = 0;
  for (int host = 0; host < 300; ++host) {
    const auto place =
        std::get<PlannedPlacement>(planner_->OnQuery(ShortQuery(host)));
    late += place.first_event > FractionalMillis(400) ? 1 : 0;
  }
  CHECK(late > 100);
}

TEST_CASE_METHOD(
    PlannerFixture,
    "A queued short prompt is rejected when it is late by its latency target") {
  std::vector<PlacementQuery> waiting;
  for (int host = 0; host < 300; ++host) {
    const PlacementQuery query = ShortQuery(host);
    if (std::holds_alternative<QueryQueued>(planner_->OnQuery(query))) {
      waiting.push_back(query);
    }
  }
  REQUIRE_FALSE(waiting.empty());
  now_ += Millis(2 * 400 + 1);
  std::size_t rejected = 0;
  for (const DeferredReply& reply : planner_->ProcessWaitQueue()) {
    rejected += std::holds_alternative<QueryRejected>(reply.decision) ? 1 : 0;
  }
  CHECK(rejected == waiting.size());
  CHECK(planner_->WaitingCount() == 0);
}

TEST_CASE_METHOD(
    PlannerFixture,
    "A short prompt that an endpoint may have run is placed even in a burst") {
  for (int host = 0; host < 300; ++host) {
    planner_->OnQuery(ShortQuery(host));
  }
  PlacementQuery resumed = ShortQuery(1);
  resumed.may_have_run = true;
  CHECK(std::holds_alternative<PlannedPlacement>(planner_->OnQuery(resumed)));
}

TEST_CASE_METHOD(
    PlannerFixture,
    "An endpoint is skipped for a host that has no start quota there") {
  const auto first =
      std::get<PlannedPlacement>(planner_->OnQuery(ShortQuery(1)));
  planner_ = MakePlanner();
  const auto same =
      std::get<PlannedPlacement>(planner_->OnQuery(ShortQuery(2)));
  CHECK(same.endpoint == first.endpoint);
  planner_ = MakePlanner();
  PlacementQuery query = ShortQuery(3);
  query.withheld = {first.endpoint};
  const auto other = std::get<PlannedPlacement>(planner_->OnQuery(query));
  CHECK_FALSE(other.endpoint == first.endpoint);
}

// Queries that carry a fingerprint and a deadline, so that admission control
// applies, on engines that are all busy for a long time.
class RejectionFixture : public PlannerFixture {
 protected:
  RejectionFixture() {
    policy_.foresees_room = true;
    planner_ = MakePlanner();
  }

  PlacementQuery WithFingerprint(PlacementQuery query, std::uint64_t request) {
    query.until_deadline = FractionalMillis(15000);
    query.origin.request = RequestFingerprint{AccountId{"press"}, request, 1};
    return query;
  }

  // Queues enough long prompts that the next one is rejected.
  void FillQueue() {
    constexpr int kPrompts = 60;
    for (int i = 0; i < kPrompts; ++i) {
      planner_->OnQuery(WithFingerprint(LongQuery(i), ++other_requests_));
    }
  }

  // Returns the retry time of `query` when it is rejected in an overload.
  Millis RejectInOverload(const PlacementQuery& query) {
    FillQueue();
    return std::get<QueryRejected>(planner_->OnQuery(query))
        .retry_after.value();
  }

  PlacementQuery MakeRetry(PlacementQuery query) {
    query.id = QueryId{++last_id_};
    query.until_deadline = FractionalMillis(9000);
    return query;
  }

  std::uint64_t other_requests_ = 100;
};

TEST_CASE_METHOD(RejectionFixture,
                 "A rejected caller that retries at the given time is not "
                 "rejected again, while a new caller is") {
  const PlacementQuery query = WithFingerprint(LongQuery(1), 1);
  const Millis after = RejectInOverload(query);
  CHECK(after <= Millis(5000));
  // An early retry gets the same retry time again.
  now_ += Millis(100);
  const auto early_retry = planner_->OnQuery(MakeRetry(query));
  CHECK(std::get<QueryRejected>(early_retry).retry_after ==
        after - Millis(100));
  CHECK(planner_->PromiseCount() > 0);
  now_ += after - Millis(100);
  FillQueue();
  CHECK(
      std::holds_alternative<QueryQueued>(planner_->OnQuery(MakeRetry(query))));
  CHECK(std::holds_alternative<QueryRejected>(
      planner_->OnQuery(MakeRetry(WithFingerprint(LongQuery(2), 2)))));
}

TEST_CASE_METHOD(RejectionFixture,
                 "A new planner does not know the reservations of its "
                 "predecessor and serves a retry as a new request") {
  const PlacementQuery query = WithFingerprint(LongQuery(1), 1);
  now_ += RejectInOverload(query);
  planner_ = MakePlanner();
  CHECK(planner_->PromiseCount() == 0);
  CHECK(std::holds_alternative<PlannedPlacement>(
      planner_->OnQuery(MakeRetry(query))));
}

TEST_CASE_METHOD(RejectionFixture,
                 "A caller whose reserved capacity was lost waits while it can "
                 "be served, and is rejected when it cannot") {
  const PlacementQuery query = WithFingerprint(LongQuery(1), 1);
  now_ += RejectInOverload(query);
  for (int i = 0; i + 1 < kEngines; ++i) {
    EndpointRecord lost;
    lost.id = EndpointId{"e" + std::to_string(i)};
    lost.service = kService;
    lost.address = lost.id.value + ":1";
    lost.draining = true;
    directory_.Upsert(lost);
  }
  const PlacementQuery retry = MakeRetry(query);
  REQUIRE(std::holds_alternative<QueryQueued>(planner_->OnQuery(retry)));
  now_ += Millis(8800);
  bool is_rejected = false;
  for (const DeferredReply& reply : planner_->ProcessWaitQueue()) {
    is_rejected =
        is_rejected || (reply.id == retry.id &&
                        std::holds_alternative<QueryRejected>(reply.decision));
  }
  CHECK(is_rejected);
}

}  // namespace
}  // namespace harecrank
