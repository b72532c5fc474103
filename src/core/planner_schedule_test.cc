// Replays loads of long prompts against the planner, with and without plans
// ahead. The simulated engines behave as predicted.

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "harecrank/core/planner.h"
#include "testing/engine_service.h"

namespace harecrank {
namespace {

const ServiceName kService{"writers"};
constexpr Millis kStep{10};

// A kind of prompt. The callers of short prompts expect a tight gap.
struct Kind {
  std::int64_t prompt = 0;
  Millis target{0};
  Millis gap{0};
  // Deadline of the whole answer; none if zero.
  Millis deadline{0};
  // Time that the callers have waited elsewhere before.
  Millis waited{0};
};

const Kind kShort{5000, Millis(400), Millis(300)};
const Kind kMiddle{40000, Millis(1500), Millis(600)};
const Kind kLongest{220000, Millis(4000), Millis(1200)};

struct Tally {
  int sent = 0;
  int in_time = 0;
  int late = 0;
  int rejected = 0;
};

// A fleet of engines in one data centre, one host and its planner.
class Replay {
 public:
  Replay(LongPlacing long_placing, int engines) : engines_(engines) {
    policy_.long_placing = long_placing;
    for (int i = 0; i < engines; ++i) {
      SetEngine(i, true);
    }
    RoutingDocument document;
    document.version = RoutingVersion{1};
    document.services = {testing::MakeEngineServiceProfile(kService)};
    RouteRule route;
    route.name = "any";
    route.host = "a";
    route.path_prefix = "/";
    route.kind = RequestKind::kStreaming;
    route.target_gap = kShort.gap;
    route.services = {WeightedService{kService, 1}};
    document.routes = {std::make_shared<const RouteRule>(route)};
    table_ = std::make_shared<const RoutingTable>(std::move(document));
    planner_ = std::make_unique<Planner>(
        &directory_, &health_, &start_quotas_, DataCentreId{"a"},
        [this] { return table_; }, policy_, [this] { return now_; },
        [this] { return last_random_ += 77; });
  }

  void SetEngine(int number, bool usable) {
    EndpointRecord record;
    record.id = EndpointId{"e" + std::to_string(number)};
    record.service = kService;
    record.address = record.id.value + ":1";
    record.draining = !usable;
    directory_.Upsert(record);
  }

  QueryId Send(const Kind& kind) {
    PlacementQuery query;
    query.host = host_;
    query.incarnation = Incarnation{1};
    query.id = QueryId{++last_id_};
    query.service = kService;
    query.target_latency = kind.target;
    query.target_gap = kind.gap;
    query.prompt = Tokens{kind.prompt};
    query.answer = Tokens{200};
    query.until_late = kind.target - kind.waited;
    query.until_deadline = kind.deadline;
    callers_[query.id] = Caller{kind.prompt, now_ + kind.target - kind.waited};
    ++tallies_[kind.prompt].sent;
    OnDecision(query.id, planner_->OnQuery(query));
    return query.id;
  }

  // Ends a request of any state, as when its caller leaves.
  void Leave(QueryId id) {
    callers_.erase(id);
    Report(id, true);
  }

  // Runs for `time`, and calls `on_step` with the time that has passed.
  void Run(Millis time, const std::function<void(Millis)>& on_step = {}) {
    for (Millis passed(0); passed < time; passed += kStep) {
      if (on_step) {
        on_step(passed);
      }
      now_ += kStep;
      RunDue();
      for (const DeferredReply& reply : planner_->ProcessWaitQueue()) {
        OnDecision(reply.id, reply.decision);
      }
    }
  }

  const Tally& TallyOf(const Kind& kind) { return tallies_[kind.prompt]; }
  const PlannedPlacement* PlacementOf(QueryId id) const {
    const auto found = placements_.find(id);
    return found == placements_.end() ? nullptr : &found->second;
  }
  Planner& GetPlanner() { return *planner_; }
  EndpointHealth& Health() { return health_; }
  TimePoint Now() const { return now_; }

 private:
  struct Caller {
    std::int64_t kind = 0;
    TimePoint due;
  };

  void OnDecision(QueryId id, const PlacementDecision& decision) {
    if (std::holds_alternative<QueryQueued>(decision)) {
      return;
    }
    const auto* placed = std::get_if<PlannedPlacement>(&decision);
    if (placed == nullptr) {
      ++tallies_[callers_.at(id).kind].rejected;
      return;
    }
    placements_[id] = *placed;
    const TimePoint first_event =
        now_ +
        std::chrono::duration_cast<TimePoint::duration>(placed->first_event);
    due_.emplace(first_event, [this, id] { OnFirstEvent(id); });
    due_.emplace(first_event + kDecodeTime, [this, id] { Report(id, true); });
  }

  void OnFirstEvent(QueryId id) {
    const auto caller = callers_.find(id);
    if (caller == callers_.end()) {
      return;
    }
    Tally& tally = tallies_[caller->second.kind];
    ++(now_ <= caller->second.due ? tally.in_time : tally.late);
    Report(id, false);
  }

  void Report(QueryId id, bool ended) {
    ProgressReport report{host_, Incarnation{1}, {}, {}};
    if (ended) {
      report.ended.push_back(RequestDone{id, false});
    } else {
      report.read.push_back(PrefillDone{id, 1});
    }
    planner_->OnProgressReport(report);
  }

  void RunDue() {
    while (!due_.empty() && due_.begin()->first <= now_) {
      const auto action = due_.begin()->second;
      due_.erase(due_.begin());
      action();
    }
  }

  static constexpr Millis kDecodeTime{350};
  HostAddress host_{"h"};
  int engines_;
  TimePoint now_{std::chrono::hours(1)};
  std::uint64_t last_random_ = 0;
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
  std::map<QueryId, Caller> callers_;
  std::map<QueryId, PlannedPlacement> placements_;
  std::map<std::int64_t, Tally> tallies_;
  std::multimap<TimePoint, std::function<void()>> due_;
};

bool Uses(const PlannedPlacement& placed, const EndpointId& engine) {
  return placed.endpoint == engine ||
         std::any_of(placed.helpers.begin(), placed.helpers.end(),
                     [&engine](const PlannedHelper& helper) {
                       return helper.endpoint == engine;
                     });
}

// Middle prompts come steadily while one of the longest prompts arrives.
void SendSteadyMiddle(Replay* replay, Millis interval) {
  bool sent = false;
  replay->Run(Millis(20000), [&](Millis passed) {
    if (passed % interval < kStep && passed < Millis(12000)) {
      replay->Send(kMiddle);
    }
    if (!sent && passed >= Millis(1000)) {
      replay->Send(kLongest);
      sent = true;
    }
  });
}

TEST_CASE("The longest prompt gets engines that middle prompts keep taking") {
  constexpr int kEngines = 12;
  constexpr Millis kInterval{70};
  Replay when_free(WhenEnginesAreFree{}, kEngines);
  SendSteadyMiddle(&when_free, kInterval);
  CHECK(when_free.TallyOf(kLongest).in_time == 0);

  Replay ahead(ReserveEnginesAhead{}, kEngines);
  SendSteadyMiddle(&ahead, kInterval);
  CHECK(ahead.TallyOf(kLongest).in_time == 1);
  CHECK(ahead.TallyOf(kMiddle).in_time == ahead.TallyOf(kMiddle).sent);
  CHECK(ahead.GetPlanner().PlanningTotals().backfilled > 0);
}

// Two thirds of 24 engines are left, and the longest prompts come at 2.6 times
// their usual rate, beside middle and short ones.
void SendBurst(Replay* replay, Millis longest_interval) {
  replay->Run(Millis(30000), [&](Millis passed) {
    if (passed == Millis(1000)) {
      for (int engine = 0; engine < 24; engine += 3) {
        replay->SetEngine(engine, false);
      }
    }
    if (passed >= Millis(15000)) {
      return;
    }
    if (passed % longest_interval < kStep) {
      replay->Send(kLongest);
    }
    if (passed % Millis(200) < kStep) {
      replay->Send(kMiddle);
    }
    if (passed % Millis(30) < kStep) {
      replay->Send(kShort);
    }
  });
}

TEST_CASE("More of a burst of the longest prompts are in time") {
  constexpr int kEngines = 24;
  constexpr Millis kInterval{500};
  Replay when_free(WhenEnginesAreFree{}, kEngines);
  SendBurst(&when_free, kInterval);
  const Tally before = when_free.TallyOf(kLongest);
  CHECK(before.in_time < before.sent * 2 / 3);

  Replay ahead(ReserveEnginesAhead{}, kEngines);
  SendBurst(&ahead, kInterval);
  const Tally after = ahead.TallyOf(kLongest);
  CHECK(after.in_time > after.sent * 4 / 5);
  CHECK(after.rejected <= before.rejected);
  CHECK(ahead.TallyOf(kShort).in_time == ahead.TallyOf(kShort).sent);
  CHECK(ahead.TallyOf(kMiddle).in_time == ahead.TallyOf(kMiddle).sent);
}

// A prompt that can only be late waits while prompts that can meet their target
// fill all engines.
TEST_CASE("A late prompt is placed before it is of no use") {
  Replay replay(ReserveEnginesAhead{}, 4);
  const Kind late{45000, Millis(1500), Millis(600), Millis(0), Millis(1600)};
  QueryId id;
  replay.Run(Millis(8000), [&](Millis passed) {
    if (passed % Millis(220) < kStep) {
      replay.Send(kMiddle);
    }
    if (passed == Millis(1000)) {
      id = replay.Send(late);
    }
  });
  CHECK(replay.PlacementOf(id) != nullptr);
  CHECK(replay.TallyOf(late).late == 1);
}

// Four engines, which a prompt keeps busy, and a second prompt that waits.
class WaitingReplay {
 public:
  WaitingReplay() : replay(ReserveEnginesAhead{}, 4) {
    running = replay.Send(kMiddle);
    REQUIRE(replay.PlacementOf(running) != nullptr);
    waiting = replay.Send(kMiddle);
    REQUIRE(replay.PlacementOf(waiting) == nullptr);
    replay.Run(kStep);
    REQUIRE(replay.GetPlanner().NextStarts().size() == 1);
  }

  Replay replay;
  QueryId running;
  QueryId waiting;
};

TEST_CASE_METHOD(WaitingReplay,
                 "A prompt whose engine is drained is planned on the others") {
  const EndpointId drained = replay.PlacementOf(running)->endpoint;
  replay.SetEngine(std::stoi(drained.value.substr(1)), false);
  replay.Run(Millis(1500));
  REQUIRE(replay.PlacementOf(waiting) != nullptr);
  CHECK_FALSE(Uses(*replay.PlacementOf(waiting), drained));
  CHECK(replay.TallyOf(kMiddle).in_time == 2);
}

TEST_CASE_METHOD(WaitingReplay,
                 "A prompt is planned without an engine that turns slow") {
  const EndpointId slow = replay.PlacementOf(running)->endpoint;
  constexpr double kSlowdown = 8;
  for (int i = 0; i < 10; ++i) {
    replay.Health().OnSuccess(slow, kSlowdown);
  }
  replay.Run(Millis(1500));
  REQUIRE(replay.PlacementOf(waiting) != nullptr);
  CHECK_FALSE(Uses(*replay.PlacementOf(waiting), slow));
}

TEST_CASE_METHOD(WaitingReplay,
                 "A caller that leaves frees the engines reserved for it") {
  const QueryId next = replay.Send(kMiddle);
  replay.Run(kStep);
  CHECK(replay.GetPlanner().NextStarts().size() == 2);
  const Millis behind = replay.GetPlanner().NextStarts().back();
  replay.Leave(waiting);
  replay.Run(kStep);
  REQUIRE(replay.GetPlanner().NextStarts().size() == 1);
  CHECK(replay.GetPlanner().NextStarts().front() < behind);
  replay.Run(Millis(1500));
  CHECK(replay.PlacementOf(next) != nullptr);
}

}  // namespace
}  // namespace harecrank
