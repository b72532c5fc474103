// Simulates loads that the engines cannot prefill within the latency targets,
// against the planner. The simulated engines behave as predicted: the first
// event comes at the predicted time, and the answer ends a fixed time later.

#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "harecrank/core/planner.h"
#include "testing/engine_service.h"

namespace harecrank {
namespace {

const ServiceName kWriters{"writers"};
constexpr int kEngines = 54;
constexpr Millis kStep{10};

// A kind of prompt and the behaviour of its callers.
struct Traffic {
  std::int64_t prompt = 0;
  Millis target{0};
  Millis gap{0};
  Millis deadline{0};
  Millis decode_time{0};
  double per_second = 0;
  // Maximum number of retries per request, and whether callers wait for the
  // time they are given before they retry.
  int max_retries = 1;
  bool waits_before_retry = true;
};

struct Tally {
  int sent = 0;
  int in_time = 0;
  int late = 0;
  int rejected_again = 0;
  int unserved = 0;
};

class OverloadSimulation {
 public:
  explicit OverloadSimulation(bool foresees_room) {
    policy_.foresees_room = foresees_room;
    for (int i = 0; i < kEngines; ++i) {
      SetEngine(i, true);
    }
    RoutingDocument document;
    document.version = RoutingVersion{1};
    ServiceProfile service = testing::MakeEngineServiceProfile(kWriters);
    service.engine->slots = 12;
    service.engine->memory = Tokens{267750};
    service.engine->steps_per_pass = 57;
    document.services = {service};
    RouteRule route;
    route.name = "any";
    route.host = "a";
    route.path_prefix = "/";
    route.kind = RequestKind::kStreaming;
    route.target_gap = Millis(250);
    route.services = {WeightedService{kWriters, 1}};
    document.routes = {std::make_shared<const RouteRule>(route)};
    table_ = std::make_shared<const RoutingTable>(std::move(document));
    planner_ = std::make_unique<Planner>(
        &directory_, &health_, &start_quotas_, DataCentreId{"a"},
        [this] { return table_; }, policy_, [this] { return now_; },
        [this] { return last_random_ += 77; });
  }

  void SetEngine(int number, bool alive) {
    EndpointRecord record;
    record.id = EndpointId{"e" + std::to_string(number)};
    record.service = kWriters;
    record.address = record.id.value + ":1";
    record.draining = !alive;
    directory_.Upsert(record);
  }

  // Sends `traffic` for `time`, then runs until all requests have ended.
  // Returns the tallies in the order of `traffic`.
  std::vector<Tally> Run(const std::vector<Traffic>& traffic, Millis time,
                         const std::function<void(Millis)>& on_step) {
    tallies_.assign(traffic.size(), Tally{});
    std::vector<double> due_requests(traffic.size(), 0);
    constexpr Millis kDrainTime{16000};
    for (Millis passed(0); passed < time + kDrainTime; passed += kStep) {
      on_step(passed);
      for (std::size_t i = 0; passed < time && i < traffic.size(); ++i) {
        due_requests[i] +=
            traffic[i].per_second * FractionalMillis(kStep).count() / 1000;
        for (; due_requests[i] >= 1; due_requests[i] -= 1) {
          ++tallies_[i].sent;
          Caller caller{&traffic[i], i, now_, ++callers_, 0};
          Send(caller);
        }
      }
      now_ += kStep;
      RunDue();
      for (const DeferredReply& due : planner_->ProcessWaitQueue()) {
        OnDecision(due.id, due.decision);
      }
    }
    return tallies_;
  }

 private:
  struct Caller {
    const Traffic* traffic;
    std::size_t kind;
    TimePoint arrived_at;
    std::uint64_t number;
    int rejections;
  };

  void Send(const Caller& caller) {
    const Traffic& traffic = *caller.traffic;
    PlacementQuery query;
    query.host = HostAddress{"h"};
    query.incarnation = Incarnation{1};
    query.id = QueryId{++last_id_};
    query.service = kWriters;
    query.target_latency = traffic.target;
    query.target_gap = traffic.gap;
    query.prompt = Tokens{traffic.prompt};
    query.answer = Tokens{900};
    query.until_late = traffic.target;
    query.until_deadline = caller.arrived_at + traffic.deadline - now_;
    query.origin.request =
        RequestFingerprint{AccountId{"press"}, caller.number, 1};
    waiting_.emplace(query.id, caller);
    const QueryId id = query.id;
    const FractionalMillis timeout = std::max(
        {FractionalMillis(2000), 4.0 * FractionalMillis(query.target_latency),
         8.0 * FractionalMillis(query.target_gap)});
    After(std::min(query.until_deadline, timeout), [this, id] { GiveUp(id); });
    OnDecision(id, planner_->OnQuery(query));
  }

  void GiveUp(QueryId id) {
    const auto found = waiting_.find(id);
    if (found != waiting_.end()) {
      ++tallies_[found->second.kind].unserved;
      waiting_.erase(found);
      Report(id, true);
    }
  }

  void Report(QueryId id, bool ended) {
    ProgressReport note{HostAddress{"h"}, Incarnation{1}, {}, {}};
    if (ended) {
      note.ended.push_back(RequestDone{id, false});
    } else {
      note.read.push_back(PrefillDone{id, 1});
    }
    planner_->OnProgressReport(note);
  }

  void OnDecision(QueryId id, const PlacementDecision& decision) {
    if (std::holds_alternative<QueryQueued>(decision)) {
      return;
    }
    const Caller caller = waiting_.at(id);
    waiting_.erase(id);
    if (const auto* placed = std::get_if<PlannedPlacement>(&decision)) {
      Serve(caller, id, *placed);
    } else {
      const auto* refused = std::get_if<QueryRejected>(&decision);
      Reject(caller, refused == nullptr ? std::nullopt : refused->retry_after);
    }
  }

  void Serve(const Caller& caller, QueryId id, const PlannedPlacement& placed) {
    const FractionalMillis age = now_ - caller.arrived_at;
    const bool in_time =
        age + placed.first_event <= FractionalMillis(caller.traffic->target);
    ++(in_time ? tallies_[caller.kind].in_time : tallies_[caller.kind].late);
    After(placed.first_event, [this, id] { Report(id, false); });
    After(placed.first_event + FractionalMillis(caller.traffic->decode_time),
          [this, id] { Report(id, true); });
  }

  void Reject(Caller caller, std::optional<Millis> after) {
    Tally& tally = tallies_[caller.kind];
    const Traffic& traffic = *caller.traffic;
    const FractionalMillis left = caller.arrived_at + traffic.deadline - now_;
    ++caller.rejections;
    if (caller.rejections > traffic.max_retries || left < FractionalMillis(0)) {
      tally.rejected_again += caller.rejections > 1 ? 1 : 0;
      ++tally.unserved;
      return;
    }
    const FractionalMillis retry_delay =
        std::min(FractionalMillis(after.value_or(traffic.target)), left / 3);
    After(traffic.waits_before_retry ? retry_delay : FractionalMillis(20),
          [this, caller] { Send(caller); });
  }

  void After(FractionalMillis time, std::function<void()> action) {
    due_.emplace(now_ + std::chrono::duration_cast<TimePoint::duration>(time),
                 std::move(action));
  }

  void RunDue() {
    while (!due_.empty() && due_.begin()->first <= now_) {
      const auto action = std::move(due_.begin()->second);
      due_.erase(due_.begin());
      action();
    }
  }

  TimePoint now_{std::chrono::hours(1)};
  std::uint64_t last_random_ = 0;
  std::uint64_t last_id_ = 0;
  std::uint64_t callers_ = 0;
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
  std::map<QueryId, Caller> waiting_;
  std::multimap<TimePoint, std::function<void()>> due_;
  std::vector<Tally> tallies_;
};

class WithAdmissionControl : public OverloadSimulation {
 public:
  WithAdmissionControl() : OverloadSimulation(true) {}
};
class WithoutAdmissionControl : public OverloadSimulation {
 public:
  WithoutAdmissionControl() : OverloadSimulation(false) {}
};

const Traffic kShortPrompts{
    5000, Millis(300), Millis(250), Millis(10000), Millis(1600), 120, 1, true};

// Long prompts of `prompt` tokens.
Traffic LongPrompts(std::int64_t prompt, double per_second) {
  return Traffic{prompt,
                 Millis(4000),
                 Millis(1000),
                 Millis(15000),
                 Millis(800),
                 per_second,
                 1,
                 true};
}

// The peak of a burst of short prompts, together with 2.8 times the usual
// number of long ones. A third of the long ones do not fit into the memory of
// any single engine.
std::vector<Tally> RunLongPromptOverload(OverloadSimulation* simulation) {
  return simulation->Run({kShortPrompts, LongPrompts(160000, 2),
                          LongPrompts(220000, 2), LongPrompts(400000, 1.9)},
                         Millis(12000), [](Millis /*passed*/) {});
}

// A quarter of the engines is down for 16 s while short prompts arrive at the
// rate that all engines together could prefill. Half of the callers wait for
// the time they are given; the others retry at once, up to four times.
std::vector<Tally> RunEngineOutage(OverloadSimulation* simulation) {
  constexpr int kDownEngines = 13;
  constexpr Millis kDownAt{4000};
  constexpr Millis kUpAt{20000};
  Traffic patient = kShortPrompts;
  patient.per_second = 160;
  Traffic impatient = patient;
  impatient.max_retries = 4;
  impatient.waits_before_retry = false;
  return simulation->Run(
      {patient, impatient}, Millis(24000), [=](Millis passed) {
        for (int i = 0; i < kDownEngines && passed == kDownAt; ++i) {
          simulation->SetEngine(i, false);
        }
        for (int i = 0; i < kDownEngines && passed == kUpAt; ++i) {
          simulation->SetEngine(i, true);
        }
      });
}

Tally Sum(const std::vector<Tally>& tallies) {
  Tally sum;
  for (const Tally& one : tallies) {
    sum.sent += one.sent;
    sum.in_time += one.in_time;
    sum.late += one.late;
    sum.rejected_again += one.rejected_again;
    sum.unserved += one.unserved;
  }
  return sum;
}

TEST_CASE(
    "With too many long prompts fewer retries are rejected, and short "
    "prompts meet their target") {
  WithAdmissionControl with;
  WithoutAdmissionControl without;
  const std::vector<Tally> with_tallies = RunLongPromptOverload(&with);
  const std::vector<Tally> without_tallies = RunLongPromptOverload(&without);
  CHECK(with_tallies.front().in_time == with_tallies.front().sent);
  CHECK(Sum(with_tallies).rejected_again <
        Sum(without_tallies).rejected_again / 2);
  CHECK(Sum(with_tallies).unserved < Sum(without_tallies).unserved / 2);
  // The largest prompts do not starve: they are served, if late.
  CHECK(with_tallies.back().in_time + with_tallies.back().late >
        without_tallies.back().in_time + without_tallies.back().late);
}

TEST_CASE(
    "With a quarter of the engines down more short prompts meet their "
    "target, and retrying at once gains nothing over waiting") {
  WithAdmissionControl with;
  WithoutAdmissionControl without;
  const std::vector<Tally> with_tallies = RunEngineOutage(&with);
  const std::vector<Tally> without_tallies = RunEngineOutage(&without);
  CHECK(Sum(with_tallies).in_time > Sum(without_tallies).in_time * 3 / 2);
  const Tally& patient = with_tallies.front();
  const Tally& impatient = with_tallies.back();
  CAPTURE(patient.in_time, patient.late, patient.unserved);
  CAPTURE(impatient.in_time, impatient.late, impatient.unserved);
  CHECK(impatient.in_time <= patient.in_time);
}

}  // namespace
}  // namespace harecrank
