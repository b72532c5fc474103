// Tests how the planner shares too few engines between two client accounts.

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <vector>

#include "harecrank/core/planner.h"
#include "testing/engine_service.h"

namespace harecrank {
namespace {

const ServiceName kService{"readers"};
const AccountId kHeavyAccount{"flood"};
const AccountId kLightAccount{"small"};
constexpr int kEngines = 4;
// Needs all of the engines at once.
constexpr std::int64_t kPrompt = 45000;
constexpr Millis kStep{50};

struct Outcome {
  int queries = 0;
  int in_time = 0;
};

// Runs a planner under load in fixed time steps. A placed prompt keeps its
// engines busy for the time that the planner predicted.
class PlannerSimulation {
 public:
  explicit PlannerSimulation(bool by_account, int accounts = 2) {
    policy_.shares_by_account = by_account;
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
    RouteRule route;
    route.name = "read";
    route.host = "a";
    route.path_prefix = "/";
    route.kind = RequestKind::kStreaming;
    route.target_gap = Millis(300);
    route.services = {WeightedService{kService, 1}};
    document.routes = {std::make_shared<const RouteRule>(route)};
    document.accounts.emplace();
    for (int i = 0; i < accounts; ++i) {
      AccountEntry account;
      account.id = i == 0 ? kHeavyAccount : kLightAccount;
      document.accounts->push_back(account);
    }
    table_ = std::make_shared<const RoutingTable>(std::move(document));
    ReplacePlanner();
  }

  // Starts a new planner without state, and repeats the unanswered queries.
  void ReplacePlanner() {
    planner_ = std::make_unique<Planner>(
        &directory_, &health_, &start_quotas_, DataCentreId{"a"},
        [this] { return table_; }, policy_, [this] { return now_; },
        [this] { return random_state_ += 77; });
    std::map<QueryId, Pending> unanswered;
    unanswered.swap(pending_);
    for (auto& [id, pending] : unanswered) {
      pending.query.until_late = pending.first_event_due - now_;
      SendQuery(pending);
    }
  }

  void Arrive(const AccountId& account) {
    Pending pending;
    pending.query.host = HostAddress{"h"};
    pending.query.incarnation = Incarnation{1};
    pending.query.id = QueryId{++last_id_};
    pending.query.service = kService;
    pending.query.target_latency = kTarget;
    pending.query.target_gap = Millis(300);
    pending.query.prompt = Tokens{kPrompt};
    pending.query.answer = Tokens{100};
    pending.query.until_late = kTarget;
    pending.query.until_deadline = Millis(10000);
    pending.query.origin.request.account = account;
    pending.first_event_due = now_ + kTarget;
    pending.deadline = now_ + Millis(10000);
    ++outcomes_[account].queries;
    SendQuery(pending);
  }

  // Ends the finished prompts, processes the wait queue and advances the clock.
  void Step() {
    EndFinished();
    for (const DeferredReply& reply : planner_->ProcessWaitQueue()) {
      const Pending pending = pending_.at(reply.id);
      pending_.erase(reply.id);
      OnDecision(pending, reply.decision);
    }
    if (!pending_.empty() && running_.empty()) {
      ++idle_steps_;
    }
    now_ += kStep;
    DropTimedOut();
  }

  const Outcome& Of(const AccountId& account) { return outcomes_[account]; }
  // Number of steps in which queries waited although no engine was busy.
  int IdleSteps() const { return idle_steps_; }

  static constexpr Millis kTarget{3000};

 private:
  struct Pending {
    PlacementQuery query;
    TimePoint first_event_due{};
    TimePoint deadline{};
  };
  struct Running {
    PlacementQuery query;
    TimePoint done_at{};
  };

  void SendQuery(const Pending& pending) {
    OnDecision(pending, planner_->OnQuery(pending.query));
  }

  void OnDecision(const Pending& pending, const PlacementDecision& decision) {
    if (std::holds_alternative<QueryQueued>(decision)) {
      pending_[pending.query.id] = pending;
      return;
    }
    const auto* placed = std::get_if<PlannedPlacement>(&decision);
    if (placed == nullptr) {
      return;
    }
    const TimePoint done_at =
        now_ + std::chrono::duration_cast<TimePoint::duration>(
                   std::max(placed->first_event, placed->prefill_time));
    running_.push_back(Running{pending.query, done_at});
    if (done_at <= pending.first_event_due) {
      ++outcomes_[pending.query.origin.request.account].in_time;
    }
  }

  void EndFinished() {
    ProgressReport report{HostAddress{"h"}, Incarnation{1}, {}, {}};
    for (auto it = running_.begin(); it != running_.end();) {
      const bool done = it->done_at <= now_;
      if (done) {
        report.read.push_back(PrefillDone{it->query.id, 1});
        report.ended.push_back(RequestDone{it->query.id, false});
      }
      it = done ? running_.erase(it) : std::next(it);
    }
    planner_->OnProgressReport(report);
  }

  // Reports the queued queries whose callers have timed out.
  void DropTimedOut() {
    ProgressReport report{HostAddress{"h"}, Incarnation{1}, {}, {}};
    for (auto it = pending_.begin(); it != pending_.end();) {
      const bool timed_out = it->second.deadline <= now_;
      if (timed_out) {
        report.ended.push_back(RequestDone{it->first, false});
      }
      it = timed_out ? pending_.erase(it) : std::next(it);
    }
    planner_->OnProgressReport(report);
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
  std::map<QueryId, Pending> pending_;
  std::vector<Running> running_;
  std::map<AccountId, Outcome> outcomes_;
  int idle_steps_ = 0;
};

constexpr int kSteps = 600;
// Steps between two prompts of the light account, and of the heavy account,
// which sends ten times as many.
constexpr int kLightInterval = 20;
constexpr int kHeavyInterval = 2;

double ShareInTime(const Outcome& outcome) {
  return outcome.queries == 0 ? 0 : 1.0 * outcome.in_time / outcome.queries;
}

void Replay(PlannerSimulation* engines, bool heavy, bool light,
            int replaced_at = -1) {
  for (int step = 0; step < kSteps; ++step) {
    if (step == replaced_at) {
      engines->ReplacePlanner();
    }
    if (heavy && step % kHeavyInterval == 0) {
      engines->Arrive(kHeavyAccount);
    }
    if (light && step % kLightInterval == 0) {
      engines->Arrive(kLightAccount);
    }
    engines->Step();
  }
}

// Lowest accepted share of prompts within the target, relative to a run without
// the other account.
constexpr double kMinShareOfAlone = 0.9;

TEST_CASE(
    "An overload by one account does not make another account's prompts late") {
  PlannerSimulation alone(true);
  Replay(&alone, false, true);
  REQUIRE(ShareInTime(alone.Of(kLightAccount)) > kMinShareOfAlone);

  PlannerSimulation shared(true);
  Replay(&shared, true, true);
  CHECK(ShareInTime(shared.Of(kLightAccount)) >=
        kMinShareOfAlone * ShareInTime(alone.Of(kLightAccount)));
  CHECK(shared.IdleSteps() == 0);

  PlannerSimulation unshared(false);
  Replay(&unshared, true, true);
  CHECK(ShareInTime(unshared.Of(kLightAccount)) <
        kMinShareOfAlone * ShareInTime(alone.Of(kLightAccount)));
}

TEST_CASE("The heavy account gets all capacity that the other account leaves") {
  PlannerSimulation shared(true);
  Replay(&shared, true, true);
  PlannerSimulation unshared(false);
  Replay(&unshared, true, true);
  const auto served = [](PlannerSimulation* engines) {
    return engines->Of(kHeavyAccount).in_time +
           engines->Of(kLightAccount).in_time;
  };
  CHECK(served(&shared) >= kMinShareOfAlone * served(&unshared));
}

TEST_CASE("A single active account is served as without fair shares") {
  PlannerSimulation shared(true);
  Replay(&shared, true, false);
  PlannerSimulation unshared(false);
  Replay(&unshared, true, false);
  CHECK(shared.Of(kHeavyAccount).in_time == unshared.Of(kHeavyAccount).in_time);
  CHECK(shared.IdleSteps() == 0);
}

TEST_CASE("A configuration with one account has no fair shares") {
  PlannerSimulation shared(true, 1);
  Replay(&shared, true, true);
  PlannerSimulation unshared(false, 1);
  Replay(&unshared, true, true);
  CHECK(shared.Of(kLightAccount).in_time == unshared.Of(kLightAccount).in_time);
  CHECK(shared.Of(kHeavyAccount).in_time == unshared.Of(kHeavyAccount).in_time);
}

// A new planner has no record of the shares and learns them from the placements
// it makes.
TEST_CASE("Fair shares are restored soon after the planner is replaced") {
  PlannerSimulation shared(true);
  Replay(&shared, true, true, kSteps / 2);
  CHECK(ShareInTime(shared.Of(kLightAccount)) >= 0.8);
  CHECK(shared.Of(kHeavyAccount).in_time > 0);
  CHECK(shared.IdleSteps() == 0);
}

}  // namespace
}  // namespace harecrank
