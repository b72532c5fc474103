// Replays loads that the engines cannot read in time, against the planner. What
// engines do is taken from what was predicted: a first event comes when it was
// foreseen to, and the answer ends a while later.

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

// A kind of prompt and who sends it.
struct Traffic {
  std::int64_t prompt = 0;
  Millis target{0};
  Millis gap{0};
  Millis deadline{0};
  Millis writes{0};
  double per_second = 0;
  // How often its callers come again, and whether they wait until they are
  // told to.
  int returns = 1;
  bool waits_to_return = true;
};

struct Tally {
  int asked = 0;
  int in_time = 0;
  int late = 0;
  int refused_again = 0;
  int lost = 0;
};

class TooLittleRoom {
 public:
  explicit TooLittleRoom(bool foresees_room) {
    policy_.foresees_room = foresees_room;
    for (int i = 0; i < kEngines; ++i) {
      SetEngine(i, true);
    }
    RoutingDocument document;
    document.version = RoutingVersion{1};
    ServiceProfile service = testing::EngineService(kWriters);
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
        &directory_, &health_, &start_shares_, DataCentreId{"a"},
        [this] { return table_; }, policy_, [this] { return now_; },
        [this] { return drawn_ += 77; });
  }

  void SetEngine(int number, bool alive) {
    EndpointRecord record;
    record.id = EndpointId{"e" + std::to_string(number)};
    record.service = kWriters;
    record.address = record.id.value + ":1";
    record.draining = !alive;
    directory_.Upsert(record);
  }

  // Sends `traffic` for `time`, then waits until all is over.
  std::vector<Tally> Play(const std::vector<Traffic>& traffic, Millis time,
                          const std::function<void(Millis)>& on_step) {
    tallies_.assign(traffic.size(), Tally{});
    std::vector<double> owed(traffic.size(), 0);
    constexpr Millis kAfter{16000};
    for (Millis passed(0); passed < time + kAfter; passed += kStep) {
      on_step(passed);
      for (std::size_t i = 0; passed < time && i < traffic.size(); ++i) {
        owed[i] +=
            traffic[i].per_second * FractionalMillis(kStep).count() / 1000;
        for (; owed[i] >= 1; owed[i] -= 1) {
          ++tallies_[i].asked;
          Caller caller{&traffic[i], i, now_, ++callers_, 0};
          Ask(caller);
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
    TimePoint came;
    std::uint64_t number;
    int refusals;
  };

  void Ask(const Caller& caller) {
    const Traffic& traffic = *caller.traffic;
    PlacementQuery ask;
    ask.host = HostAddress{"h"};
    ask.incarnation = Incarnation{1};
    ask.id = QueryId{++last_id_};
    ask.service = kWriters;
    ask.target_latency = traffic.target;
    ask.target_gap = traffic.gap;
    ask.prompt = Tokens{traffic.prompt};
    ask.answer = Tokens{900};
    ask.until_late = traffic.target;
    ask.until_deadline = caller.came + traffic.deadline - now_;
    ask.origin.request =
        RequestFingerprint{AccountId{"press"}, caller.number, 1};
    waiting_.emplace(ask.id, caller);
    const QueryId id = ask.id;
    const FractionalMillis patience = std::max(
        {FractionalMillis(2000), 4.0 * FractionalMillis(ask.target_latency),
         8.0 * FractionalMillis(ask.target_gap)});
    After(std::min(ask.until_deadline, patience), [this, id] { Leave(id); });
    OnDecision(id, planner_->OnQuery(ask));
  }

  void Leave(QueryId id) {
    const auto found = waiting_.find(id);
    if (found != waiting_.end()) {
      ++tallies_[found->second.kind].lost;
      waiting_.erase(found);
      Tell(id, true);
    }
  }

  void Tell(QueryId id, bool ended) {
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
      Refuse(caller, refused == nullptr ? std::nullopt : refused->retry_after);
    }
  }

  void Serve(const Caller& caller, QueryId id, const PlannedPlacement& placed) {
    const FractionalMillis age = now_ - caller.came;
    const bool in_time =
        age + placed.first_event <= FractionalMillis(caller.traffic->target);
    ++(in_time ? tallies_[caller.kind].in_time : tallies_[caller.kind].late);
    After(placed.first_event, [this, id] { Tell(id, false); });
    After(placed.first_event + FractionalMillis(caller.traffic->writes),
          [this, id] { Tell(id, true); });
  }

  void Refuse(Caller caller, std::optional<Millis> after) {
    Tally& tally = tallies_[caller.kind];
    const Traffic& traffic = *caller.traffic;
    const FractionalMillis left = caller.came + traffic.deadline - now_;
    ++caller.refusals;
    if (caller.refusals > traffic.returns || left < FractionalMillis(0)) {
      tally.refused_again += caller.refusals > 1 ? 1 : 0;
      ++tally.lost;
      return;
    }
    const FractionalMillis told =
        std::min(FractionalMillis(after.value_or(traffic.target)), left / 3);
    After(traffic.waits_to_return ? told : FractionalMillis(20),
          [this, caller] { Ask(caller); });
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
  std::uint64_t drawn_ = 0;
  std::uint64_t last_id_ = 0;
  std::uint64_t callers_ = 0;
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
  std::map<QueryId, Caller> waiting_;
  std::multimap<TimePoint, std::function<void()>> due_;
  std::vector<Tally> tallies_;
};

class Foreseeing : public TooLittleRoom {
 public:
  Foreseeing() : TooLittleRoom(true) {}
};
class Unforeseeing : public TooLittleRoom {
 public:
  Unforeseeing() : TooLittleRoom(false) {}
};

const Traffic kExplain{5000,         Millis(300), Millis(250), Millis(10000),
                       Millis(1600), 120,         1,           true};

// Digests of `prompt` tokens.
Traffic Digests(std::int64_t prompt, double per_second) {
  return Traffic{prompt,
                 Millis(4000),
                 Millis(1000),
                 Millis(15000),
                 Millis(800),
                 per_second,
                 1,
                 true};
}

// The peak of a wave of short prompts beside 2.8 times the usual long ones,
// a third of which no single engine holds.
std::vector<Tally> PlayFlood(TooLittleRoom* room) {
  return room->Play(
      {kExplain, Digests(160000, 2), Digests(220000, 2), Digests(400000, 1.9)},
      Millis(12000), [](Millis /*passed*/) {});
}

// A quarter of the engines is gone for 16 s while as many short prompts come as
// all of them could read. Half of the callers wait until they are told to
// return; the others repeat at once, four times.
std::vector<Tally> PlayLoss(TooLittleRoom* room) {
  constexpr int kLost = 13;
  constexpr Millis kLostAt{4000};
  constexpr Millis kBackAt{20000};
  Traffic patient = kExplain;
  patient.per_second = 160;
  Traffic hasty = patient;
  hasty.returns = 4;
  hasty.waits_to_return = false;
  return room->Play({patient, hasty}, Millis(24000), [=](Millis passed) {
    for (int i = 0; i < kLost && passed == kLostAt; ++i) {
      room->SetEngine(i, false);
    }
    for (int i = 0; i < kLost && passed == kBackAt; ++i) {
      room->SetEngine(i, true);
    }
  });
}

Tally Sum(const std::vector<Tally>& tallies) {
  Tally sum;
  for (const Tally& one : tallies) {
    sum.asked += one.asked;
    sum.in_time += one.in_time;
    sum.late += one.late;
    sum.refused_again += one.refused_again;
    sum.lost += one.lost;
  }
  return sum;
}

TEST_CASE(
    "In a flood of long prompts nobody who returns is refused again, and "
    "the short ones stay in time") {
  Foreseeing with;
  Unforeseeing without;
  const std::vector<Tally> foreseen = PlayFlood(&with);
  const std::vector<Tally> unforeseen = PlayFlood(&without);
  CHECK(foreseen.front().in_time == foreseen.front().asked);
  CHECK(Sum(foreseen).refused_again < Sum(unforeseen).refused_again / 2);
  CHECK(Sum(foreseen).lost < Sum(unforeseen).lost / 2);
  // The largest tenth does not starve: it comes late, but it comes.
  CHECK(foreseen.back().in_time + foreseen.back().late >
        unforeseen.back().in_time + unforeseen.back().late);
}

TEST_CASE(
    "With a quarter of the engines gone more short prompts are in time, "
    "and who repeats at once gains nothing over who waits") {
  Foreseeing with;
  Unforeseeing without;
  const std::vector<Tally> foreseen = PlayLoss(&with);
  const std::vector<Tally> unforeseen = PlayLoss(&without);
  CHECK(Sum(foreseen).in_time > Sum(unforeseen).in_time * 3 / 2);
  const Tally& patient = foreseen.front();
  const Tally& hasty = foreseen.back();
  CAPTURE(patient.in_time, patient.late, patient.lost);
  CAPTURE(hasty.in_time, hasty.late, hasty.lost);
  CHECK(hasty.in_time <= patient.in_time);
}

}  // namespace
}  // namespace harecrank
