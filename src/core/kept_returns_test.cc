// Replays a burst of long prompts that the engines cannot prefill before the
// callers give up, against the planner. Rejected callers return once, at the
// time that they were told.

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>

#include "testing/planned_engines.h"

namespace harecrank {
namespace {

const HostAddress kHost{"h"};
constexpr int kEngines = 4;
constexpr Millis kStep{10};
// A caller is placed within this time after it was told to return: the interval
// between two passes and the error of the predictions before it.
constexpr Millis kMaxDelay{50};
// The prompts take half a second of all engines. Their callers wait six seconds
// for a first event, and have more time than that before their deadline.
constexpr Tokens kPrompt{120000};
constexpr Millis kTarget{1500};
constexpr Millis kGap{600};
constexpr Millis kTightestGap{300};
constexpr Millis kDeadline{15000};
constexpr Tokens kAnswer{10};
constexpr Millis kDecodeTime{10};

// A caller of one prompt.
struct Caller {
  std::uint64_t number = 0;
  TimePoint arrived_at{};
  int rejections = 0;
  TimePoint told{};
  TimePoint placed_at{};
};

class ReturnReplay {
 public:
  explicit ReturnReplay(const LongPlacing& long_placing)
      : engines_(kEngines, kTightestGap, PolicyOf(long_placing)) {}

  void StartPlanner() { engines_.StartPlanner(); }
  void SetEngine(int number, bool usable) {
    engines_.SetEngine(number, usable);
  }

  PlacementQuery QueryOf(const Caller& caller) {
    PlacementQuery query;
    query.host = kHost;
    query.incarnation = Incarnation{1};
    query.id = QueryId{++last_id_};
    query.service = testing::kPlannedService;
    query.target_latency = kTarget;
    query.target_gap = kGap;
    query.prompt = kPrompt;
    query.answer = kAnswer;
    query.until_late = kTarget;
    query.until_deadline = caller.arrived_at + kDeadline - Now();
    query.origin.request =
        RequestFingerprint{AccountId{"press"}, caller.number, 1};
    return query;
  }

  // Adds a caller that sends its prompt now. Returns its number.
  std::uint64_t Arrive() {
    const std::uint64_t number = callers_.size() + 1;
    callers_[number] = Caller{number, Now()};
    Send(number);
    return number;
  }

  void Send(std::uint64_t number) {
    const PlacementQuery query = QueryOf(callers_.at(number));
    numbers_[query.id] = number;
    OnDecision(query.id, PlannerUnderTest().OnQuery(query));
  }

  void Run(Millis time) {
    for (const TimePoint end = Now() + time; Now() < end;) {
      engines_.Advance(kStep);
      while (!due_.empty() && due_.begin()->first <= Now()) {
        const auto action = due_.begin()->second;
        due_.erase(due_.begin());
        action();
      }
      for (const DeferredReply& reply : PlannerUnderTest().ProcessWaitQueue()) {
        OnDecision(reply.id, reply.decision);
      }
    }
  }

  // Returns the number of callers that were rejected at least `times`.
  int RejectedTimes(int times) const {
    return static_cast<int>(std::count_if(
        callers_.begin(), callers_.end(), [times](const auto& entry) {
          return entry.second.rejections >= times;
        }));
  }
  // Returns the latest time that a caller was told.
  TimePoint LastTold() const {
    TimePoint last{};
    for (const auto& [number, caller] : callers_) {
      last = std::max(last, caller.told);
    }
    return last;
  }
  const std::map<std::uint64_t, Caller>& Callers() const { return callers_; }
  Planner& PlannerUnderTest() { return engines_.PlannerUnderTest(); }
  TimePoint Now() const { return engines_.Now(); }
  // If unset, rejected callers do not return.
  bool callers_return = true;

 private:
  static PlacementPolicy PolicyOf(const LongPlacing& long_placing) {
    PlacementPolicy policy;
    policy.long_placing = long_placing;
    return policy;
  }

  void OnDecision(QueryId id, const PlacementDecision& decision) {
    Caller& caller = callers_.at(numbers_.at(id));
    if (const auto* placed = std::get_if<PlannedPlacement>(&decision)) {
      caller.placed_at = Now();
      const TimePoint first_event =
          Now() +
          std::chrono::duration_cast<TimePoint::duration>(placed->first_event);
      due_.emplace(first_event, [this, id] { Report(id, false); });
      due_.emplace(first_event + kDecodeTime, [this, id] { Report(id, true); });
    } else if (const auto* rejected = std::get_if<QueryRejected>(&decision)) {
      ++caller.rejections;
      // Hosts state the latency target if the planner states no time.
      caller.told = Now() + rejected->retry_after.value_or(kTarget);
      if (callers_return && caller.rejections == 1) {
        due_.emplace(caller.told,
                     [this, number = caller.number] { Send(number); });
      }
    }
  }

  void Report(QueryId id, bool ended) {
    ProgressReport report{kHost, Incarnation{1}, {}, {}};
    if (ended) {
      report.ended.push_back(RequestDone{id, false});
    } else {
      report.read.push_back(PrefillDone{id, 1});
    }
    PlannerUnderTest().OnProgressReport(report);
  }

  testing::PlannedEngines engines_;
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, Caller> callers_;
  std::map<QueryId, std::uint64_t> numbers_;
  std::multimap<TimePoint, std::function<void()>> due_;
};

// Sends prompts that take longer than callers wait for a first event. Returns
// how many were rejected.
int SendBurst(ReturnReplay* replay) {
  constexpr int kFirst = 10;
  constexpr int kLater = 4;
  for (int i = 0; i < kFirst; ++i) {
    replay->Arrive();
  }
  replay->Run(Millis(2000));
  for (int i = 0; i < kLater; ++i) {
    replay->Arrive();
  }
  replay->Run(kStep);
  return replay->RejectedTimes(1);
}

// Returns the caller that was told the earliest time to return.
Caller FirstToReturn(const ReturnReplay& replay) {
  Caller first;
  first.told = TimePoint::max();
  for (const auto& [number, caller] : replay.Callers()) {
    if (caller.rejections > 0 && caller.told < first.told) {
      first = caller;
    }
  }
  return first;
}

TEST_CASE(
    "Callers that return when they were told are placed then, before strangers "
    "with the same prompt") {
  ReturnReplay replay(ReserveEnginesAhead{});
  REQUIRE(SendBurst(&replay) > 0);
  // Strangers arrive just before the first caller returns.
  TimePoint first_return = TimePoint::max();
  for (const auto& [number, caller] : replay.Callers()) {
    if (caller.rejections > 0) {
      first_return = std::min(first_return, caller.told);
    }
  }
  replay.Run(std::chrono::duration_cast<Millis>(first_return - replay.Now()) -
             kStep);
  const std::uint64_t first_stranger = replay.Arrive();
  replay.Arrive();
  replay.Run(kDeadline);
  CHECK(replay.RejectedTimes(2) == 0);
  const TimePoint stranger_placed =
      replay.Callers().at(first_stranger).placed_at;
  for (const auto& [number, caller] : replay.Callers()) {
    if (number < first_stranger && caller.rejections > 0) {
      CHECK(caller.placed_at >= caller.told);
      CHECK(caller.placed_at <= caller.told + kMaxDelay);
      CHECK(caller.placed_at < stranger_placed);
    }
  }
  CHECK(replay.PlannerUnderTest().PromiseTotals().kept ==
        static_cast<std::uint64_t>(replay.RejectedTimes(1)));
}

TEST_CASE("Without plans ahead callers that return are rejected again") {
  ReturnReplay replay(WhenEnginesAreFree{});
  REQUIRE(SendBurst(&replay) > 0);
  replay.Run(kDeadline);
  CHECK(replay.RejectedTimes(2) > 0);
}

TEST_CASE("The room of callers that do not return is used by others") {
  ReturnReplay replay(ReserveEnginesAhead{});
  replay.callers_return = false;
  REQUIRE(SendBurst(&replay) > 0);
  while (replay.Now() <= replay.LastTold() + ReturnPromises::kRoomGrace) {
    replay.Run(kStep);
  }
  CHECK(replay.PlannerUnderTest().PromiseCount() > 0);
  const std::uint64_t stranger = replay.Arrive();
  CHECK(replay.Callers().at(stranger).placed_at == replay.Now());
  replay.Run(kDeadline);
  replay.PlannerUnderTest().RemoveSilentHosts();
  CHECK(replay.PlannerUnderTest().PromiseCount() == 0);
}

TEST_CASE("A caller that returns early waits for the time that it was told") {
  ReturnReplay replay(ReserveEnginesAhead{});
  replay.callers_return = false;
  REQUIRE(SendBurst(&replay) > 0);
  const std::uint64_t early = FirstToReturn(replay).number;
  const TimePoint told = replay.Callers().at(early).told;
  replay.Run(Millis(1000));
  replay.Send(early);
  replay.Run(kDeadline);
  CHECK(replay.RejectedTimes(2) == 0);
  CHECK(replay.Callers().at(early).placed_at >= told);
  CHECK(replay.Callers().at(early).placed_at <= told + kMaxDelay);
}

TEST_CASE(
    "A promise that is broken since engines have left is counted as that, and "
    "its caller is told at once") {
  ReturnReplay replay(ReserveEnginesAhead{});
  REQUIRE(SendBurst(&replay) > 0);
  replay.Run(Millis(3000));
  for (int i = 1; i < kEngines; ++i) {
    replay.SetEngine(i, false);
  }
  replay.Run(kDeadline);
  CHECK(replay.RejectedTimes(2) > 0);
  const PromiseCounts& counts = replay.PlannerUnderTest().PromiseTotals();
  CHECK(counts.broken > 0);
  CHECK(counts.broken_engines_left == counts.broken);
}

TEST_CASE(
    "A planner that has restarted empty serves who returns as a stranger") {
  ReturnReplay replay(ReserveEnginesAhead{});
  REQUIRE(SendBurst(&replay) > 0);
  replay.StartPlanner();
  replay.Run(kDeadline);
  const Caller& returned = replay.Callers().at(FirstToReturn(replay).number);
  CHECK(returned.placed_at >= returned.told);
  CHECK(replay.PlannerUnderTest().PromiseTotals().broken == 0);
}

}  // namespace
}  // namespace harecrank
