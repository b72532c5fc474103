#include "harecrank/core/planner.h"

#include <catch2/catch.hpp>
#include <memory>
#include <set>

#include "testing/engine_service.h"

namespace harecrank {
namespace {

const ServiceName kWriters{"writers"};
constexpr int kEngines = 20;

// Twenty engines that read 177 tokens a millisecond, and prompts as a day at
// its worst brings them: short ones, and long ones that want sixteen engines.
class PlannerFixture {
 protected:
  PlannerFixture() {
    for (int i = 0; i < kEngines; ++i) {
      EndpointRecord record;
      record.id = EndpointId{"e" + std::to_string(i)};
      record.service = kWriters;
      record.address = record.id.value + ":1";
      directory_.Upsert(record);
    }
    RoutingDocument document;
    document.version = RoutingVersion{1};
    document.services = {testing::MakeEngineServiceProfile(kWriters)};
    for (const Millis gap : {Millis(300), Millis(1200)}) {
      RouteRule route;
      route.name = std::to_string(gap.count());
      route.host = "a";
      route.path_prefix = "/" + route.name + "/";
      route.kind = RequestKind::kStreaming;
      route.target_gap = gap;
      route.services = {WeightedService{kWriters, 1}};
      document.routes.push_back(std::make_shared<const RouteRule>(route));
    }
    table_ = std::make_shared<const RoutingTable>(std::move(document));
    planner_ = MakePlanner();
  }

  std::unique_ptr<Planner> MakePlanner() {
    return std::make_unique<Planner>(
        &directory_, &health_, &start_shares_, DataCentreId{"a"},
        [this] { return table_; }, policy_, [this] { return now_; },
        [this] { return drawn_ += 77; });
  }

  PlacementQuery Short(int host) {
    return Ask(host, 5000, Millis(400), Millis(300));
  }
  PlacementQuery Long(int host, std::int64_t prompt = 220000) {
    return Ask(host, prompt, Millis(4000), Millis(1200));
  }

  PlacementQuery Ask(int host, std::int64_t prompt, Millis target, Millis gap) {
    PlacementQuery ask;
    ask.host = HostAddress{"h" + std::to_string(host)};
    ask.incarnation = Incarnation{1};
    ask.id = QueryId{++last_id_};
    ask.service = kWriters;
    ask.target_latency = target;
    ask.target_gap = gap;
    ask.prompt = Tokens{prompt};
    ask.answer = Tokens{900};
    ask.until_late = target;
    return ask;
  }

  void End(const PlacementQuery& ask) {
    planner_->OnProgressReport(ProgressReport{
        ask.host, ask.incarnation, {}, {RequestDone{ask.id, false}}});
  }

  // Returns the account of a host that has under way what `asks` were given.
  static Heartbeat AccountOf(
      const std::vector<std::pair<PlacementQuery, PlannedPlacement>>& asks) {
    Heartbeat word;
    word.address = asks.front().first.host;
    word.incarnation = asks.front().first.incarnation;
    word.work.emplace();
    for (const auto& [ask, placed] : asks) {
      QueryWork work;
      work.id = ask.id;
      work.parts.push_back(WorkPart{placed.endpoint, placed.work_class,
                                    placed.prefill_time, ask.prompt,
                                    ask.target_gap});
      for (const PlannedHelper& helper : placed.helpers) {
        work.parts.push_back(WorkPart{helper.endpoint, WorkClass::kHelper,
                                      placed.prefill_time, helper.held,
                                      Millis(0)});
      }
      word.work->push_back(std::move(work));
    }
    return word;
  }

  TimePoint now_{std::chrono::hours(1)};
  std::uint64_t drawn_ = 0;
  std::uint64_t last_id_ = 0;
  PlacementPolicy policy_;
  EndpointDirectory directory_{[this] { return now_; }};
  EndpointHealth health_{[this] { return now_; }};
  ColdEndpoints cold_{[this] { return now_; }};
  EndpointRateLimits limits_{[this] { return now_; }};
  StartQuotas start_shares_{ColdLimit{},      &cold_,
                            &limits_,         HostBackoffs{},
                            [] { return 1; }, [this] { return now_; }};
  std::shared_ptr<const RoutingTable> table_;
  std::unique_ptr<Planner> planner_;
};

// A hundred hosts that know each other's work 0.1 s late put the wave on the
// engine that looked free first: it then had 2.9 times the mean.
TEST_CASE_METHOD(PlannerFixture,
                 "A wave of short prompts from as many hosts is laid evenly") {
  std::map<EndpointId, int> members;
  for (int host = 0; host < 100; ++host) {
    const auto placed =
        std::get<PlannedPlacement>(planner_->OnQuery(Short(host)));
    ++members[placed.endpoint];
  }
  for (const auto& [endpoint, count] : members) {
    CHECK(count <= 10);
  }
}

TEST_CASE_METHOD(PlannerFixture,
                 "Two long prompts of different hosts never share a reader") {
  const auto first =
      std::get<PlannedPlacement>(planner_->OnQuery(Long(1, 45000)));
  const auto second =
      std::get<PlannedPlacement>(planner_->OnQuery(Long(2, 45000)));
  std::set<EndpointId> readers{first.endpoint};
  for (const PlannedHelper& helper : first.helpers) {
    readers.insert(helper.endpoint);
  }
  CHECK(readers.count(second.endpoint) == 0);
  for (const PlannedHelper& helper : second.helpers) {
    CHECK(readers.count(helper.endpoint) == 0);
  }
}

TEST_CASE_METHOD(PlannerFixture,
                 "A prompt that finds all engines reading waits, and starts "
                 "when they have read") {
  const PlacementQuery first = Long(1);
  REQUIRE(std::holds_alternative<PlannedPlacement>(planner_->OnQuery(first)));
  const PlacementQuery second = Long(2);
  REQUIRE(std::holds_alternative<QueryQueued>(planner_->OnQuery(second)));
  CHECK(planner_->ProcessWaitQueue().empty());
  planner_->OnProgressReport(ProgressReport{
      first.host, first.incarnation, {PrefillDone{first.id, 1}}, {}});
  const auto due = planner_->ProcessWaitQueue();
  REQUIRE(due.size() == 1);
  CHECK(due.front().host == second.host);
  CHECK(due.front().id == second.id);
  CHECK(std::holds_alternative<PlannedPlacement>(due.front().decision));
  CHECK(planner_->WaitingCount() == 0);
}

TEST_CASE_METHOD(PlannerFixture,
                 "Of two that wait the one with less time to spare starts "
                 "first") {
  const PlacementQuery first = Long(1);
  planner_->OnQuery(first);
  const PlacementQuery patient = Long(2);
  planner_->OnQuery(patient);
  PlacementQuery pressed = Long(3);
  pressed.until_late = FractionalMillis(2000);
  planner_->OnQuery(pressed);
  planner_->OnProgressReport(ProgressReport{
      first.host, first.incarnation, {PrefillDone{first.id, 1}}, {}});
  const auto due = planner_->ProcessWaitQueue();
  REQUIRE_FALSE(due.empty());
  CHECK(due.front().id == pressed.id);
}

TEST_CASE_METHOD(PlannerFixture,
                 "The same ask once more gets the same answer and no second "
                 "place") {
  const PlacementQuery ask = Long(1);
  const auto first = std::get<PlannedPlacement>(planner_->OnQuery(ask));
  const auto again = std::get<PlannedPlacement>(planner_->OnQuery(ask));
  CHECK(first.endpoint == again.endpoint);
  End(ask);
  // All of it is free again.
  CHECK(std::holds_alternative<PlannedPlacement>(planner_->OnQuery(Long(2))));
}

TEST_CASE_METHOD(PlannerFixture,
                 "A prompt is refused at once where one that takes no longer "
                 "can no longer be in time") {
  planner_->OnQuery(Long(1));
  PlacementQuery late = Long(2);
  late.until_late = FractionalMillis(-1);
  REQUIRE(std::holds_alternative<QueryQueued>(planner_->OnQuery(late)));
  CHECK(std::holds_alternative<QueryRejected>(
      planner_->OnQuery(Long(3, 230000))));
  // One that an endpoint may have run is never told that it was not.
  PlacementQuery started = Long(3, 230000);
  started.may_have_run = true;
  CHECK(std::holds_alternative<QueryQueued>(planner_->OnQuery(started)));
}

TEST_CASE_METHOD(PlannerFixture,
                 "A planner that is new learns from the hosts what is under "
                 "way") {
  const PlacementQuery first = Long(1);
  const auto placed = std::get<PlannedPlacement>(planner_->OnQuery(first));
  planner_ = MakePlanner();
  planner_->OnHeartbeat(AccountOf({{first, placed}}));
  CHECK(std::holds_alternative<QueryQueued>(planner_->OnQuery(Long(2))));
}

TEST_CASE_METHOD(PlannerFixture,
                 "A planner that is new gives no place before it has learnt "
                 "what is under way, and then all that can be given") {
  const PlacementQuery first = Long(1);
  const auto placed = std::get<PlannedPlacement>(planner_->OnQuery(first));
  planner_ = MakePlanner();
  planner_->Begin({first.host, HostAddress{"silent"}});
  CHECK(std::holds_alternative<QueryQueued>(planner_->OnQuery(Long(2))));
  constexpr int kMore = 12;
  for (int i = 0; i < kMore; ++i) {
    CHECK(std::holds_alternative<QueryQueued>(planner_->OnQuery(Short(3))));
  }
  planner_->OnHeartbeat(AccountOf({{first, placed}}));
  CHECK(planner_->ProcessWaitQueue().empty());
  // One that does not answer is not waited for.
  now_ += Planner::kLearningPeriod;
  CHECK(planner_->ProcessWaitQueue().size() == kMore);
  CHECK(planner_->WaitingCount() == 1);
}

TEST_CASE_METHOD(PlannerFixture,
                 "A planner that all hosts have told goes on at once") {
  planner_->Begin({HostAddress{"h1"}});
  const PlacementQuery ask = Short(1);
  REQUIRE(std::holds_alternative<QueryQueued>(planner_->OnQuery(ask)));
  Heartbeat nothing;
  nothing.address = ask.host;
  nothing.incarnation = ask.incarnation;
  nothing.work.emplace();
  planner_->OnHeartbeat(nothing);
  CHECK(planner_->ProcessWaitQueue().size() == 1);
}

TEST_CASE_METHOD(PlannerFixture,
                 "A place that its host does not tell of is free again, but "
                 "not before the host can have told") {
  const PlacementQuery taken = Long(1);
  const auto placed = std::get<PlannedPlacement>(planner_->OnQuery(taken));
  Heartbeat nothing = AccountOf({{taken, placed}});
  nothing.work->clear();
  planner_->OnHeartbeat(nothing);
  CHECK(std::holds_alternative<QueryQueued>(planner_->OnQuery(Long(2))));
  now_ += Planner::kHeartbeatGrace + Millis(1);
  planner_->OnHeartbeat(nothing);
  CHECK(planner_->ProcessWaitQueue().size() == 1);
}

TEST_CASE_METHOD(PlannerFixture,
                 "What silent and restarted hosts had under way is forgotten") {
  planner_->OnQuery(Long(1));
  PlacementQuery waits = Long(2);
  REQUIRE(std::holds_alternative<QueryQueued>(planner_->OnQuery(waits)));
  PlacementQuery reborn = Long(1);
  reborn.incarnation = Incarnation{2};
  CHECK(std::holds_alternative<PlannedPlacement>(planner_->OnQuery(reborn)));
  now_ += Planner::kHostTimeout + Millis(1);
  planner_->RemoveSilentHosts();
  CHECK(planner_->HostCount() == 0);
  CHECK(planner_->WaitingCount() == 0);
}

TEST_CASE_METHOD(PlannerFixture,
                 "An ask that waits and is not repeated was given up") {
  planner_->OnQuery(Long(1));
  const PlacementQuery waits = Long(2);
  planner_->OnQuery(waits);
  Heartbeat alive;
  alive.address = waits.host;
  alive.incarnation = waits.incarnation;
  alive.work.emplace();
  planner_->OnHeartbeat(alive);
  CHECK(planner_->WaitingCount() == 1);
  now_ += Planner::kQueryTimeout + Millis(1);
  planner_->OnHeartbeat(alive);
  CHECK(planner_->WaitingCount() == 0);
}

TEST_CASE_METHOD(PlannerFixture,
                 "An endpoint that failed a host's requests is left alone for "
                 "all") {
  const PlacementQuery ask = Short(1);
  const auto placed = std::get<PlannedPlacement>(planner_->OnQuery(ask));
  End(ask);
  for (int i = 0; i < 10; ++i) {
    PlacementQuery again = Short(1);
    planner_->OnQuery(again);
    planner_->OnProgressReport(ProgressReport{
        again.host, again.incarnation, {}, {RequestDone{again.id, true}}});
  }
  const auto later = std::get<PlannedPlacement>(planner_->OnQuery(Short(2)));
  CHECK(later.endpoint != placed.endpoint);
}

TEST_CASE_METHOD(PlannerFixture, "An unknown service has no endpoint") {
  PlacementQuery ask = Short(1);
  ask.service = ServiceName{"none"};
  CHECK(std::holds_alternative<NoEndpoint>(planner_->OnQuery(ask)));
}

// After a stop of all hosts callers come back within half a second. With all of
// them placed at once every first event came at 400 ms and later, since all
// that enters one pass is answered at its end.
TEST_CASE_METHOD(PlannerFixture,
                 "Of a wave that no fleet brings in time as a whole, as many "
                 "are placed as are in time, and the rest wait for a pass") {
  constexpr int kWave = 300;
  int placed = 0;
  int waiting = 0;
  for (int host = 0; host < kWave; ++host) {
    const PlacementDecision decision = planner_->OnQuery(Short(host));
    if (const auto* place = std::get_if<PlannedPlacement>(&decision)) {
      ++placed;
      CHECK(place->first_event <= FractionalMillis(400));
    } else {
      CHECK(std::holds_alternative<QueryQueued>(decision));
      ++waiting;
    }
  }
  CHECK(placed >= kWave / 4);
  CHECK(waiting >= kWave / 4);
  CHECK(planner_->WaitingCount() == static_cast<std::size_t>(waiting));
}

TEST_CASE_METHOD(
    PlannerFixture,
    "Without waiting a wave is placed whole, and most of it late") {
  policy_.short_waits = false;
  planner_ = MakePlanner();
  int late = 0;
  for (int host = 0; host < 300; ++host) {
    const auto place =
        std::get<PlannedPlacement>(planner_->OnQuery(Short(host)));
    late += place.first_event > FractionalMillis(400) ? 1 : 0;
  }
  CHECK(late > 100);
}

TEST_CASE_METHOD(PlannerFixture,
                 "A short prompt that waits is refused when it has been late "
                 "for as long as its target") {
  std::vector<PlacementQuery> waiting;
  for (int host = 0; host < 300; ++host) {
    const PlacementQuery ask = Short(host);
    if (std::holds_alternative<QueryQueued>(planner_->OnQuery(ask))) {
      waiting.push_back(ask);
    }
  }
  REQUIRE_FALSE(waiting.empty());
  now_ += Millis(2 * 400 + 1);
  std::size_t refused = 0;
  for (const DeferredReply& due : planner_->ProcessWaitQueue()) {
    refused += std::holds_alternative<QueryRejected>(due.decision) ? 1 : 0;
  }
  CHECK(refused == waiting.size());
  CHECK(planner_->WaitingCount() == 0);
}

TEST_CASE_METHOD(PlannerFixture,
                 "A short prompt that an endpoint may have run is placed even "
                 "in a wave") {
  for (int host = 0; host < 300; ++host) {
    planner_->OnQuery(Short(host));
  }
  PlacementQuery resumed = Short(1);
  resumed.may_have_run = true;
  CHECK(std::holds_alternative<PlannedPlacement>(planner_->OnQuery(resumed)));
}

TEST_CASE_METHOD(PlannerFixture,
                 "An endpoint is passed over for the host that may begin "
                 "nothing there") {
  const auto first = std::get<PlannedPlacement>(planner_->OnQuery(Short(1)));
  planner_ = MakePlanner();
  const auto same = std::get<PlannedPlacement>(planner_->OnQuery(Short(2)));
  CHECK(same.endpoint == first.endpoint);
  planner_ = MakePlanner();
  PlacementQuery ask = Short(3);
  ask.withheld = {first.endpoint};
  const auto other = std::get<PlannedPlacement>(planner_->OnQuery(ask));
  CHECK_FALSE(other.endpoint == first.endpoint);
}

// Asks that tell what room is foreseen by, on engines that all read for long.
class TurnedAwayFixture : public PlannerFixture {
 protected:
  TurnedAwayFixture() {
    policy_.foresees_room = true;
    planner_ = MakePlanner();
  }

  PlacementQuery Told(PlacementQuery ask, std::uint64_t request) {
    ask.until_deadline = FractionalMillis(15000);
    ask.origin.request = RequestFingerprint{AccountId{"press"}, request, 1};
    return ask;
  }

  // Lets so many long prompts come that the next is turned away.
  void Flood() {
    constexpr int kMany = 60;
    for (int i = 0; i < kMany; ++i) {
      planner_->OnQuery(Told(Long(i), ++strangers_));
    }
  }

  // Returns when `ask` is told to return in a flood.
  Millis TurnAway(const PlacementQuery& ask) {
    Flood();
    return std::get<QueryRejected>(planner_->OnQuery(ask)).retry_after.value();
  }

  PlacementQuery Return(PlacementQuery ask) {
    ask.id = QueryId{++last_id_};
    ask.until_deadline = FractionalMillis(9000);
    return ask;
  }

  std::uint64_t strangers_ = 100;
};

TEST_CASE_METHOD(TurnedAwayFixture,
                 "Who is turned away and returns when it was told to is not "
                 "turned away again, and a stranger is") {
  const PlacementQuery ask = Told(Long(1), 1);
  const Millis after = TurnAway(ask);
  CHECK(after <= Millis(5000));
  // Sooner it gains nothing: the same time is told again.
  now_ += Millis(100);
  const auto sooner = planner_->OnQuery(Return(ask));
  CHECK(std::get<QueryRejected>(sooner).retry_after == after - Millis(100));
  CHECK(planner_->ReservationCount() > 0);
  now_ += after - Millis(100);
  Flood();
  CHECK(std::holds_alternative<QueryQueued>(planner_->OnQuery(Return(ask))));
  CHECK(std::holds_alternative<QueryRejected>(
      planner_->OnQuery(Return(Told(Long(2), 2)))));
}

TEST_CASE_METHOD(TurnedAwayFixture,
                 "A planner that is replaced between refusal and return has "
                 "forgotten the promise and serves who returns as any other") {
  const PlacementQuery ask = Told(Long(1), 1);
  now_ += TurnAway(ask);
  planner_ = MakePlanner();
  CHECK(planner_->ReservationCount() == 0);
  CHECK(
      std::holds_alternative<PlannedPlacement>(planner_->OnQuery(Return(ask))));
}

TEST_CASE_METHOD(TurnedAwayFixture,
                 "Who was promised room that is lost since waits while it can "
                 "be served, and is told at once when it can not") {
  const PlacementQuery ask = Told(Long(1), 1);
  now_ += TurnAway(ask);
  for (int i = 0; i + 1 < kEngines; ++i) {
    EndpointRecord lost;
    lost.id = EndpointId{"e" + std::to_string(i)};
    lost.service = kWriters;
    lost.address = lost.id.value + ":1";
    lost.draining = true;
    directory_.Upsert(lost);
  }
  const PlacementQuery returned = Return(ask);
  REQUIRE(std::holds_alternative<QueryQueued>(planner_->OnQuery(returned)));
  now_ += Millis(8800);
  bool is_told = false;
  for (const DeferredReply& due : planner_->ProcessWaitQueue()) {
    is_told = is_told || (due.id == returned.id &&
                          std::holds_alternative<QueryRejected>(due.decision));
  }
  CHECK(is_told);
}

}  // namespace
}  // namespace harecrank
