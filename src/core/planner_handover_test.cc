// Tests that a standby which becomes the planner goes on where the previous
// planner stopped.

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>

#include "harecrank/core/planner_journal.h"
#include "harecrank/core/planner_replica.h"
#include "testing/engine_service.h"

namespace harecrank {
namespace {

const ServiceName kService{"writers"};
constexpr int kEngines = 20;
constexpr int kPrompts = 34;
constexpr int kHosts = 7;

struct SentUpdate {
  TimePoint at{};
  PlannerUpdate update;
};

// A planner in a flood of long prompts, and a standby that receives its updates
// as the test directs.
class HandoverFixture {
 protected:
  HandoverFixture() {
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
    table_ = std::make_shared<const RoutingTable>(std::move(document));
    planner_ = MakePlanner();
    planner_->RecordChanges(true);
    journal_ = std::make_unique<PlannerJournal>(
        planner_.get(), HostAddress{"a"}, Incarnation{1});
  }

  std::unique_ptr<Planner> MakePlanner() {
    return std::make_unique<Planner>(
        &directory_, &health_, &start_quotas_, DataCentreId{"z"},
        [this] { return table_; }, PlacementPolicy{}, [this] { return now_; },
        [this] { return random_state_ += 77; });
  }

  PlacementQuery LongQuery() {
    PlacementQuery query;
    query.id = QueryId{++last_id_};
    query.host = HostAddress{"h" + std::to_string(last_id_ % kHosts)};
    query.incarnation = Incarnation{5};
    query.service = kService;
    query.target_latency = Millis(4000);
    query.target_gap = Millis(1200);
    query.prompt = Tokens{150000 + 1000 * static_cast<std::int64_t>(last_id_)};
    query.answer = Tokens{900};
    query.until_late = query.target_latency;
    query.until_deadline = Millis(15000);
    return query;
  }

  // Prompts arrive, more than the engines take at once.
  void Flood() {
    for (int i = 0; i < kPrompts; ++i) {
      now_ += Millis(3);
      const PlacementQuery query = LongQuery();
      const PlacementDecision decision = planner_->OnQuery(query);
      if (const auto* placed = std::get_if<PlannedPlacement>(&decision)) {
        placed_[query.id] = {query, *placed};
      }
      queries_.push_back(query);
      if (i % 5 == 0) {
        TakeUpdates();
      }
    }
    TakeUpdates();
  }

  void TakeUpdates() {
    while (auto update = journal_->TakeUpdate()) {
      updates_.push_back(SentUpdate{now_, *std::move(update)});
    }
  }

  // Delivers the updates taken since the last call, each a moment after it was
  // taken.
  void Deliver() {
    const TimePoint last = now_;
    for (const SentUpdate& sent : updates_) {
      now_ = sent.at + Millis(1);
      const auto message = DecodeFleetMessage(EncodeFleetMessage(sent.update));
      replica_.OnUpdate(std::get<PlannerUpdate>(*message));
    }
    now_ = std::max(now_, last);
    updates_.clear();
  }

  // Returns the planner that the standby becomes.
  std::unique_ptr<Planner> TakeOver() {
    now_ += Millis(20);
    std::unique_ptr<Planner> next = MakePlanner();
    next->Begin({HostAddress{"h0"}, HostAddress{"h1"}});
    const auto state = replica_.Take();
    REQUIRE(state.has_value());
    CHECK(state->complete);
    CHECK(next->Restore(state->records, state->complete) == queries_.size());
    return next;
  }

  // Ends each request as soon as it is placed. Returns the ids in the order in
  // which the waiting ones are placed.
  std::vector<std::uint64_t> DrainOrder(Planner* planner) {
    for (const auto& [id, placed] : placed_) {
      End(planner, placed.first);
    }
    std::vector<std::uint64_t> order;
    while (planner->WaitingCount() > 0) {
      const auto replies = planner->ProcessWaitQueue();
      REQUIRE_FALSE(replies.empty());
      for (const DeferredReply& reply : replies) {
        REQUIRE(std::holds_alternative<PlannedPlacement>(reply.decision));
        order.push_back(reply.id.value);
        End(planner, queries_[reply.id.value - 1]);
      }
    }
    return order;
  }

  static void End(Planner* planner, const PlacementQuery& query) {
    planner->OnProgressReport(ProgressReport{
        query.host, query.incarnation, {}, {RequestDone{query.id, false}}});
  }

  Heartbeat HeartbeatOf(const HostAddress& host,
                        const std::vector<QueryWork>& work) const {
    Heartbeat heartbeat;
    heartbeat.address = host;
    heartbeat.incarnation = Incarnation{5};
    heartbeat.work = work;
    return heartbeat;
  }

  TimePoint now_{std::chrono::hours(1)};
  std::uint64_t random_state_ = 0;
  std::uint64_t last_id_ = 0;
  EndpointDirectory directory_{[this] { return now_; }};
  EndpointHealth health_{[this] { return now_; }};
  ColdEndpoints cold_{[this] { return now_; }};
  EndpointRateLimits limits_{[this] { return now_; }};
  StartQuotas start_quotas_{ColdLimit{},      &cold_,
                            &limits_,         HostBackoffs{},
                            [] { return 1; }, [this] { return now_; }};
  std::shared_ptr<const RoutingTable> table_;
  std::unique_ptr<Planner> planner_;
  std::unique_ptr<PlannerJournal> journal_;
  PlannerReplica replica_{[this] { return now_; }};
  std::vector<SentUpdate> updates_;
  std::vector<PlacementQuery> queries_;
  std::map<QueryId, std::pair<PlacementQuery, PlannedPlacement>> placed_;
};

TEST_CASE_METHOD(HandoverFixture,
                 "A standby continues the queue of a planner that is lost in a "
                 "flood, and books no engine twice") {
  Flood();
  REQUIRE(updates_.size() >= 4);
  Deliver();
  const std::size_t waiting = planner_->WaitingCount();
  REQUIRE(waiting >= 30);
  REQUIRE_FALSE(placed_.empty());
  const auto next = TakeOver();
  CHECK(next->WaitingCount() == waiting);
  // All waiting hosts get a reply although none has asked this planner.
  CHECK(next->QueuedReplies().size() == waiting);
  // The engines are in use, so none of the waiting prompts is placed on them,
  // and requests that were placed keep their placements.
  CHECK(next->ProcessWaitQueue().empty());
  for (const auto& [id, placed] : placed_) {
    const auto again = std::get<PlannedPlacement>(next->OnQuery(placed.first));
    CHECK(again.endpoint == placed.second.endpoint);
    CHECK(again.helpers.size() == placed.second.helpers.size());
  }
  CHECK(DrainOrder(next.get()) == DrainOrder(planner_.get()));
}

TEST_CASE_METHOD(HandoverFixture,
                 "Without the updates all waiting prompts must be asked for "
                 "anew, and engines in use look idle") {
  Flood();
  const auto next = MakePlanner();
  next->Begin({HostAddress{"h0"}});
  now_ += Planner::kLearningPeriod;
  CHECK(next->QueuedReplies().empty());
  const PlacementDecision decision = next->OnQuery(LongQuery());
  CHECK(std::holds_alternative<PlannedPlacement>(decision));
}

TEST_CASE_METHOD(HandoverFixture,
                 "A lost update is noticed and repaired by a restart") {
  const std::size_t lost = GENERATE(std::size_t{0}, std::size_t{2});
  Flood();
  updates_.erase(updates_.begin() + static_cast<std::ptrdiff_t>(lost));
  Deliver();
  REQUIRE(replica_.IsMissingUpdates());
  journal_->Restart();
  TakeUpdates();
  REQUIRE(updates_.front().update.restarts);
  Deliver();
  CHECK_FALSE(replica_.IsMissingUpdates());
  const auto next = TakeOver();
  CHECK(DrainOrder(next.get()) == DrainOrder(planner_.get()));
}

TEST_CASE_METHOD(HandoverFixture,
                 "Updates that are repeated or overtaken do not bring back old "
                 "states") {
  Flood();
  Deliver();
  const PlacementQuery ended = placed_.begin()->second.first;
  journal_->Restart();
  TakeUpdates();
  const std::vector<SentUpdate> old = updates_;
  Deliver();
  End(planner_.get(), ended);
  TakeUpdates();
  Deliver();
  const std::size_t count = replica_.Count();
  for (const SentUpdate& sent : old) {
    replica_.OnUpdate(sent.update);
  }
  CHECK(replica_.Count() == count);
  CHECK_FALSE(replica_.IsMissingUpdates());
  // The second of two updates arrives first.
  updates_ = {};
  planner_->OnQuery(LongQuery());
  TakeUpdates();
  planner_->OnQuery(LongQuery());
  TakeUpdates();
  REQUIRE(updates_.size() == 2);
  std::swap(updates_.front(), updates_.back());
  Deliver();
  CHECK(replica_.IsMissingUpdates());
}

TEST_CASE_METHOD(HandoverFixture, "A replica that is not fresh is not used") {
  Flood();
  Deliver();
  now_ += PlannerReplica::kReplicaLifetime + Millis(1);
  CHECK_FALSE(replica_.Take().has_value());
}

TEST_CASE_METHOD(HandoverFixture,
                 "The records age, and those whose time is up are not used") {
  Flood();
  Deliver();
  now_ += Millis(2000);
  const auto state = replica_.Take();
  REQUIRE(state.has_value());
  for (const PlannerRecord& record : state->records) {
    if (const auto* queued = std::get_if<QueuedRecord>(&record.state)) {
      CHECK(queued->query.until_late <= Millis(2000));
      CHECK(queued->age >= Millis(2000));
    }
  }
  PlannerRecord late{HostAddress{"h"}, Incarnation{1}, QueryId{1}, {}};
  late.state = QueuedRecord{LongQuery(), {}, false, 1};
  std::get<QueuedRecord>(late.state).query.until_deadline = Millis(-1);
  CHECK(MakePlanner()->Restore({late}, true) == 0);
}

TEST_CASE_METHOD(HandoverFixture,
                 "A host's report goes before the records of the previous "
                 "planner") {
  Flood();
  Deliver();
  const auto next = TakeOver();
  // The previous planner placed a waiting prompt without the standby's
  // knowledge.
  const PlacementQuery& query = queries_.back();
  REQUIRE(placed_.count(query.id) == 0);
  const std::size_t waiting = next->WaitingCount();
  const WorkPart part{EndpointId{"e3"}, WorkClass::kLong, Millis(900), {}, {}};
  next->OnHeartbeat(
      HeartbeatOf(query.host, {QueryWork{query.id, false, {part}}}));
  CHECK(next->WaitingCount() == waiting - 1);
  const auto record = next->RecordOf(QueryKey{query.host, query.id});
  REQUIRE(record.has_value());
  CHECK(std::get<PlacedRecord>(record->state).work.parts.front().endpoint ==
        part.endpoint);
  // Placed requests that their hosts do not report are dropped.
  now_ += Planner::kHeartbeatGrace + Millis(1);
  for (const auto& [id, placed] : placed_) {
    next->OnHeartbeat(HeartbeatOf(placed.first.host, {}));
    CHECK_FALSE(next->RecordOf(QueryKey{placed.first.host, id}).has_value());
  }
}

}  // namespace
}  // namespace harecrank
