// Two client accounts that compete for too few engines, before a planner.

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <vector>

#include "harecrank/core/planner.h"
#include "testing/engine_service.h"

namespace harecrank {
namespace {

const ServiceName kReaders{"readers"};
const AccountId kFlood{"flood"};
const AccountId kSmall{"small"};
constexpr int kFewEngines = 4;
// It wants all of the engines at once.
constexpr std::int64_t kPrompt = 45000;
constexpr Millis kStep{50};

struct Outcome {
  int asked = 0;
  int in_time = 0;
};

// Replays a load in steps: each prompt that is placed is read by its engines
// for as long as the planner predicts.
class SharedEngines {
 public:
  explicit SharedEngines(bool by_account, int accounts = 2) {
    policy_.shares_by_account = by_account;
    for (int i = 0; i < kFewEngines; ++i) {
      EndpointRecord record;
      record.id = EndpointId{"e" + std::to_string(i)};
      record.service = kReaders;
      record.address = record.id.value + ":1";
      directory_.Upsert(record);
    }
    RoutingDocument document;
    document.version = RoutingVersion{1};
    document.services = {testing::MakeEngineServiceProfile(kReaders)};
    RouteRule route;
    route.name = "read";
    route.host = "a";
    route.path_prefix = "/";
    route.kind = RequestKind::kStreaming;
    route.target_gap = Millis(300);
    route.services = {WeightedService{kReaders, 1}};
    document.routes = {std::make_shared<const RouteRule>(route)};
    document.accounts.emplace();
    for (int i = 0; i < accounts; ++i) {
      AccountEntry account;
      account.id = i == 0 ? kFlood : kSmall;
      document.accounts->push_back(account);
    }
    table_ = std::make_shared<const RoutingTable>(std::move(document));
    Replace();
  }

  // Another planner, which knows nothing. Hosts ask it again for what waits.
  void Replace() {
    planner_ = std::make_unique<Planner>(
        &directory_, &health_, &start_shares_, DataCentreId{"a"},
        [this] { return table_; }, policy_, [this] { return now_; },
        [this] { return drawn_ += 77; });
    std::map<QueryId, Pending> pending;
    pending.swap(pending_);
    for (auto& [id, one] : pending) {
      one.ask.until_late = one.late_at - now_;
      Offer(one);
    }
  }

  void Arrive(const AccountId& account) {
    Pending one;
    one.ask.host = HostAddress{"h"};
    one.ask.incarnation = Incarnation{1};
    one.ask.id = QueryId{++last_id_};
    one.ask.service = kReaders;
    one.ask.target_latency = kTarget;
    one.ask.target_gap = Millis(300);
    one.ask.prompt = Tokens{kPrompt};
    one.ask.answer = Tokens{100};
    one.ask.until_late = kTarget;
    one.ask.until_deadline = Millis(10000);
    one.ask.origin.request.account = account;
    one.late_at = now_ + kTarget;
    one.ends_at = now_ + Millis(10000);
    ++outcomes_[account].asked;
    Offer(one);
  }

  // Ends what is read, tries those that wait and lets time pass.
  void Step() {
    EndRead();
    for (const DeferredReply& due : planner_->ProcessWaitQueue()) {
      const Pending one = pending_.at(due.id);
      pending_.erase(due.id);
      OnDecision(one, due.decision);
    }
    if (!pending_.empty() && running_.empty()) {
      ++idle_steps_;
    }
    now_ += kStep;
    DropGivenUp();
  }

  const Outcome& Of(const AccountId& account) { return outcomes_[account]; }
  int IdleSteps() const { return idle_steps_; }

  static constexpr Millis kTarget{3000};

 private:
  struct Pending {
    PlacementQuery ask;
    TimePoint late_at{};
    TimePoint ends_at{};
  };
  struct Running {
    PlacementQuery ask;
    TimePoint ends{};
  };

  void Offer(const Pending& one) {
    OnDecision(one, planner_->OnQuery(one.ask));
  }

  void OnDecision(const Pending& one, const PlacementDecision& decision) {
    if (std::holds_alternative<QueryQueued>(decision)) {
      pending_[one.ask.id] = one;
      return;
    }
    const auto* placed = std::get_if<PlannedPlacement>(&decision);
    if (placed == nullptr) {
      return;
    }
    const TimePoint ends =
        now_ + std::chrono::duration_cast<TimePoint::duration>(
                   std::max(placed->first_event, placed->prefill_time));
    running_.push_back(Running{one.ask, ends});
    if (ends <= one.late_at) {
      ++outcomes_[one.ask.origin.request.account].in_time;
    }
  }

  void EndRead() {
    ProgressReport note{HostAddress{"h"}, Incarnation{1}, {}, {}};
    for (auto it = running_.begin(); it != running_.end();) {
      const bool ended = it->ends <= now_;
      if (ended) {
        note.read.push_back(PrefillDone{it->ask.id, 1});
        note.ended.push_back(RequestDone{it->ask.id, false});
      }
      it = ended ? running_.erase(it) : std::next(it);
    }
    planner_->OnProgressReport(note);
  }

  // Their callers leave; the host tells so.
  void DropGivenUp() {
    ProgressReport note{HostAddress{"h"}, Incarnation{1}, {}, {}};
    for (auto it = pending_.begin(); it != pending_.end();) {
      const bool gone = it->second.ends_at <= now_;
      if (gone) {
        note.ended.push_back(RequestDone{it->first, false});
      }
      it = gone ? pending_.erase(it) : std::next(it);
    }
    planner_->OnProgressReport(note);
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
  std::map<QueryId, Pending> pending_;
  std::vector<Running> running_;
  std::map<AccountId, Outcome> outcomes_;
  int idle_steps_ = 0;
};

constexpr int kSteps = 600;
// The small account's prompts come so often, the flood's ten times as often.
constexpr int kSmallEvery = 20;
constexpr int kFloodEvery = 2;

double ShareInTime(const Outcome& outcome) {
  return outcome.asked == 0 ? 0 : 1.0 * outcome.in_time / outcome.asked;
}

void Replay(SharedEngines* engines, bool flood, bool small,
            int replaced_at = -1) {
  for (int step = 0; step < kSteps; ++step) {
    if (step == replaced_at) {
      engines->Replace();
    }
    if (flood && step % kFloodEvery == 0) {
      engines->Arrive(kFlood);
    }
    if (small && step % kSmallEvery == 0) {
      engines->Arrive(kSmall);
    }
    engines->Step();
  }
}

// Of a hundred of its prompts that are served in time alone, so many at least
// are beside a flood.
constexpr double kAsIfAlone = 0.9;

TEST_CASE("An account's flood does not make another account's prompts late") {
  SharedEngines alone(true);
  Replay(&alone, false, true);
  REQUIRE(ShareInTime(alone.Of(kSmall)) > kAsIfAlone);

  SharedEngines shared(true);
  Replay(&shared, true, true);
  CHECK(ShareInTime(shared.Of(kSmall)) >=
        kAsIfAlone * ShareInTime(alone.Of(kSmall)));
  CHECK(shared.IdleSteps() == 0);

  SharedEngines unshared(false);
  Replay(&unshared, true, true);
  CHECK(ShareInTime(unshared.Of(kSmall)) <
        kAsIfAlone * ShareInTime(alone.Of(kSmall)));
}

TEST_CASE("The flood still gets all that the other account leaves over") {
  SharedEngines shared(true);
  Replay(&shared, true, true);
  SharedEngines unshared(false);
  Replay(&unshared, true, true);
  const auto served = [](SharedEngines* engines) {
    return engines->Of(kFlood).in_time + engines->Of(kSmall).in_time;
  };
  CHECK(served(&shared) >= kAsIfAlone * served(&unshared));
}

TEST_CASE("An account that comes alone is served as without shares") {
  SharedEngines shared(true);
  Replay(&shared, true, false);
  SharedEngines unshared(false);
  Replay(&unshared, true, false);
  CHECK(shared.Of(kFlood).in_time == unshared.Of(kFlood).in_time);
  CHECK(shared.IdleSteps() == 0);
}

TEST_CASE("A configuration with one account has no shares") {
  SharedEngines shared(true, 1);
  Replay(&shared, true, true);
  SharedEngines unshared(false, 1);
  Replay(&unshared, true, true);
  CHECK(shared.Of(kSmall).in_time == unshared.Of(kSmall).in_time);
  CHECK(shared.Of(kFlood).in_time == unshared.Of(kFlood).in_time);
}

// A planner that takes over knows of no shares, and learns them from what it
// gives.
TEST_CASE("Shares hold again soon after another host plans") {
  SharedEngines shared(true);
  Replay(&shared, true, true, kSteps / 2);
  CHECK(ShareInTime(shared.Of(kSmall)) >= 0.8);
  CHECK(shared.Of(kFlood).in_time > 0);
  CHECK(shared.IdleSteps() == 0);
}

}  // namespace
}  // namespace harecrank
