#include "harecrank/core/fleet_messages.h"

#include <catch2/catch.hpp>

#include "harecrank/core/part_quarantine.h"

namespace harecrank {
namespace {

const HostAddress kHost{"10.0.0.1:1"};

template <typename T>
T RoundTrip(const T& message) {
  const auto decoded = DecodeFleetMessage(EncodeFleetMessage(message));
  REQUIRE(decoded.has_value());
  return std::get<T>(*decoded);
}

Heartbeat MakeHeartbeat() {
  Heartbeat heartbeat;
  heartbeat.node = NodeId{"n"};
  heartbeat.address = kHost;
  heartbeat.incarnation = Incarnation{77};
  heartbeat.cpu_share = CpuShare{0.19};
  heartbeat.routing = RoutingVersion{3};
  heartbeat.known_up_to = StoreRevision{40};
  heartbeat.store_data_fresh = true;
  heartbeat.store_data_age = Millis(340);
  heartbeat.poll_state = PollState::kFailed;
  heartbeat.planner = HostAddress{"10.0.0.2:1"};
  heartbeat.wants_reply = true;
  heartbeat.alive_hosts = 9;
  heartbeat.hosts = {KnownHost{HostAddress{"10.0.0.3:1"}, CpuShare{0.5}}};
  heartbeat.avoided = {AvoidedEndpoint{EndpointId{"f"}, Millis(70)}};
  const WorkPart part{EndpointId{"e"}, WorkClass::kLong, FractionalMillis(12.5),
                      Tokens{7}, Millis(600)};
  heartbeat.work = {QueryWork{QueryId{5}, true, {part}}};
  heartbeat.limits = {
      RateLimitReport{EndpointId{"e"}, RequestRate{1.6}, Millis(120)},
      RateLimitReport{EndpointId{"g"}, std::nullopt, Millis(5)}};
  return heartbeat;
}

CrashReports MakeCrashReports() {
  CrashReport report;
  report.request = RequestFingerprint{AccountId{"acme"}, ~std::uint64_t{0}, 7};
  report.crashes = {
      EndpointCrash{EndpointId{"e1"}, EndpointIncarnation{1781218352519}},
      EndpointCrash{EndpointId{"e2"}, EndpointIncarnation{0}}};
  report.cleared = {EndpointCrash{EndpointId{"e3"}, EndpointIncarnation{5}}};
  report.trials = 2;
  report.failed_trials = 1;
  report.age = Millis(1500);
  report.quarantined_for = Millis(-20);
  return CrashReports{kHost, {report}};
}

TEST_CASE("Crash reports round-trip") {
  const CrashReports decoded = RoundTrip(MakeCrashReports());
  CHECK(decoded.from == kHost);
  REQUIRE(decoded.reports.size() == 1);
  const CrashReport& report = decoded.reports.front();
  const CrashReports sent = MakeCrashReports();
  CHECK(report.request == sent.reports.front().request);
  CHECK(report.crashes == sent.reports.front().crashes);
  CHECK(report.cleared == sent.reports.front().cleared);
  CHECK(report.trials == 2);
  CHECK(report.failed_trials == 1);
  CHECK(report.age == Millis(1500));
  CHECK(report.quarantined_for == Millis(-20));
}

TEST_CASE("Evidence on parts round-trips, and its absence does") {
  CHECK(RoundTrip(MakeCrashReports()).parts.IsEmpty());
  CrashReports sent{kHost, {}};
  sent.parts.crashes = {
      {EndpointCrash{EndpointId{"e1"}, EndpointIncarnation{9}},
       Millis(12),
       {{PromptPartId{7}, std::nullopt}, {PromptPartId{8}, Millis(40)}}}};
  sent.parts.sound = {{PromptPartId{8}, Millis(3)}};
  const PartTrials trials{{kHost, HostAddress{"h2"}}, {true, false, true}};
  sent.parts.held = {
      {PromptPartId{7}, Millis(30), Millis(20), Millis(10), trials}};
  const PartEvidence parts = RoundTrip(sent).parts;
  REQUIRE(parts.crashes.size() == 1);
  CHECK(parts.crashes[0].crash == sent.parts.crashes[0].crash);
  CHECK(parts.crashes[0].age == Millis(12));
  REQUIRE(parts.crashes[0].parts.size() == 2);
  CHECK_FALSE(parts.crashes[0].parts[0].sound_age.has_value());
  CHECK(parts.crashes[0].parts[1].sound_age == Millis(40));
  REQUIRE(parts.sound.size() == 1);
  CHECK(parts.sound[0].age == Millis(3));
  REQUIRE(parts.held.size() == 1);
  CHECK(parts.held[0].part == PromptPartId{7});
  CHECK(parts.held[0].first_crash_age == Millis(30));
  CHECK(parts.held[0].last_crash_age == Millis(20));
  CHECK(parts.held[0].held_for == Millis(10));
  CHECK(parts.held[0].trials == trials);
}

TEST_CASE("The largest evidence on parts fits into one datagram") {
  CrashReports all{kHost, {}};
  constexpr std::uint64_t kLargeName = std::uint64_t{1} << 63U;
  const EndpointCrash crash{EndpointId{std::string(40, 'e')},
                            EndpointIncarnation{1781218352519}};
  SuspectCrash record{crash, Millis(500000), {}};
  for (std::size_t i = 0; i < PartCrashes::kMaxParts; ++i) {
    record.parts.push_back({PromptPartId{kLargeName + i}, Millis(500000)});
  }
  all.parts.crashes.assign(PartQuarantine::kMaxSharedCrashes, record);
  const HostAddress owner{"100.100.100.100:65535"};
  all.parts.held.assign(
      PartQuarantine::kMaxHolds,
      {PromptPartId{kLargeName}, Millis(500000), Millis(500000), Millis(500000),
       PartTrials{std::vector(kPartTrials, owner), {true, true, true}}});
  constexpr std::size_t kMostDatagram = 65507;
  CHECK(EncodeFleetMessage(all).size() < kMostDatagram / 4);
}

TEST_CASE("The largest set of crash reports fits into one datagram") {
  CrashReports all{kHost, {}};
  for (std::size_t i = 0; i < RequestQuarantine::kMaxSharedReports; ++i) {
    CrashReport report = MakeCrashReports().reports.front();
    report.request.low = i;
    all.reports.push_back(report);
  }
  constexpr std::size_t kMostDatagram = 65507;
  CHECK(EncodeFleetMessage(all).size() < kMostDatagram / 4);
}

TEST_CASE("A heartbeat tells the recent requests of its sender") {
  Heartbeat heartbeat = MakeHeartbeat();
  CHECK_FALSE(RoundTrip(heartbeat).recent_requests.has_value());
  heartbeat.recent_requests = 0;
  CHECK(RoundTrip(heartbeat).recent_requests == 0);
  heartbeat.recent_requests = 12;
  CHECK(RoundTrip(heartbeat).recent_requests == 12);
  CHECK_FALSE(RoundTrip(heartbeat).may_lack_holds);
}

TEST_CASE("A heartbeat tells that its sender may lack holds") {
  Heartbeat heartbeat = MakeHeartbeat();
  CHECK_FALSE(RoundTrip(heartbeat).may_lack_holds);
  heartbeat.may_lack_holds = true;
  CHECK(RoundTrip(heartbeat).may_lack_holds);
  CHECK(RoundTrip(heartbeat).poll_rank == heartbeat.poll_rank);
}

TEST_CASE("A heartbeat carries the crash digest with or without its work") {
  Heartbeat heartbeat = MakeHeartbeat();
  heartbeat.crash_digest = ~std::uint64_t{0};
  CHECK(RoundTrip(heartbeat).crash_digest == ~std::uint64_t{0});
  CHECK(RoundTrip(heartbeat).work.has_value());
  heartbeat.work.reset();
  CHECK(RoundTrip(heartbeat).crash_digest == ~std::uint64_t{0});
  CHECK_FALSE(RoundTrip(heartbeat).work.has_value());
  heartbeat.crash_digest = 0;
  CHECK_FALSE(RoundTrip(heartbeat).work.has_value());
}

TEST_CASE(
    "A heartbeat carries the fleet size with or without the other optional "
    "elements") {
  Heartbeat heartbeat = MakeHeartbeat();
  heartbeat.peak_hosts = 24;
  CHECK(RoundTrip(heartbeat).peak_hosts == 24);
  CHECK(RoundTrip(heartbeat).work.has_value());
  heartbeat.work.reset();
  CHECK(RoundTrip(heartbeat).peak_hosts == 24);
  CHECK_FALSE(RoundTrip(heartbeat).work.has_value());
  heartbeat.crash_digest = 7;
  CHECK(RoundTrip(heartbeat).peak_hosts == 24);
  CHECK(RoundTrip(heartbeat).crash_digest == 7);
}

TEST_CASE("A heartbeat round-trips") {
  const Heartbeat decoded = RoundTrip(MakeHeartbeat());
  CHECK(decoded.node == NodeId{"n"});
  CHECK(decoded.address == kHost);
  CHECK(decoded.incarnation == Incarnation{77});
  CHECK(decoded.cpu_share.value == 0.19);
  CHECK(decoded.routing == RoutingVersion{3});
  CHECK(decoded.known_up_to == StoreRevision{40});
  CHECK(decoded.store_data_fresh);
  CHECK(decoded.store_data_age == Millis(340));
  CHECK(decoded.poll_state == PollState::kFailed);
  CHECK(decoded.planner == HostAddress{"10.0.0.2:1"});
  CHECK_FALSE(decoded.leaving);
  CHECK(decoded.wants_reply);
  CHECK(decoded.alive_hosts == 9);
  REQUIRE(decoded.hosts.size() == 1);
  CHECK(decoded.hosts.front().cpu_share.value == 0.5);
  REQUIRE(decoded.avoided.size() == 1);
  CHECK(decoded.avoided.front().left == Millis(70));
  REQUIRE(decoded.limits.size() == 2);
  CHECK(decoded.limits.front().endpoint == EndpointId{"e"});
  CHECK(decoded.limits.front().rate == RequestRate{1.6});
  CHECK(decoded.limits.front().age == Millis(120));
  CHECK_FALSE(decoded.limits.back().rate.has_value());
  REQUIRE(decoded.work.has_value());
  REQUIRE(decoded.work->size() == 1);
  const QueryWork& work = decoded.work->front();
  CHECK(work.id == QueryId{5});
  CHECK(work.prefill_done);
  REQUIRE(work.parts.size() == 1);
  CHECK(work.parts.front().endpoint == EndpointId{"e"});
  CHECK(work.parts.front().work_class == WorkClass::kLong);
  CHECK(work.parts.front().prefill_time == FractionalMillis(12.5));
  CHECK(work.parts.front().memory == Tokens{7});
  CHECK(work.parts.front().gap == Millis(600));
}

TEST_CASE(
    "A heartbeat without work differs from one with an empty list of work") {
  Heartbeat heartbeat = MakeHeartbeat();
  heartbeat.work = std::vector<QueryWork>{};
  CHECK(RoundTrip(heartbeat).work.has_value());
  heartbeat.work.reset();
  CHECK_FALSE(RoundTrip(heartbeat).work.has_value());
}

TEST_CASE("A placement query round-trips") {
  PlacementQuery query;
  query.host = kHost;
  query.incarnation = Incarnation{77};
  query.id = QueryId{5};
  query.service = ServiceName{"writers"};
  query.target_latency = Millis(3000);
  query.target_gap = Millis(1000);
  query.prompt = Tokens{154000};
  query.answer = Tokens{800};
  query.until_late = FractionalMillis(-20);
  query.may_have_run = true;
  query.tried = {EndpointId{"e"}, EndpointId{"f"}};
  query.until_deadline = FractionalMillis(9000);
  query.origin.request = RequestFingerprint{AccountId{"press"}, 7, 9};
  query.origin.priority = 2;
  const PlacementQuery decoded = RoundTrip(query);
  CHECK(decoded.host == query.host);
  CHECK(decoded.incarnation == query.incarnation);
  CHECK(decoded.id == query.id);
  CHECK(decoded.service == query.service);
  CHECK(decoded.target_latency == query.target_latency);
  CHECK(decoded.target_gap == query.target_gap);
  CHECK(decoded.prompt == query.prompt);
  CHECK(decoded.answer == query.answer);
  CHECK(decoded.until_late == query.until_late);
  CHECK(decoded.may_have_run);
  CHECK(decoded.tried == query.tried);
  CHECK(decoded.until_deadline == query.until_deadline);
  CHECK(decoded.origin.request == query.origin.request);
  CHECK(decoded.origin.priority == query.origin.priority);
  CHECK(decoded.withheld.empty());
  CHECK_FALSE(decoded.wants_return_time);
  query.wants_return_time = true;
  CHECK(RoundTrip(query).wants_return_time);
  CHECK(RoundTrip(query).withheld.empty());
  query.withheld = {EndpointId{"g"}};
  CHECK(RoundTrip(query).withheld == query.withheld);
  CHECK_FALSE(RoundTrip(query).permitted.has_value());
  query.permitted = std::set<DataCentreId>{DataCentreId{"n1"}};
  CHECK(RoundTrip(query).permitted == query.permitted);
  CHECK(RoundTrip(query).withheld == query.withheld);
  query.withheld.clear();
  // No data centre at all is not the same as no bound.
  query.permitted->clear();
  CHECK(RoundTrip(query).permitted == query.permitted);
  CHECK_FALSE(RoundTrip(query).may_repeat);
  query.withheld.clear();
  query.may_repeat = true;
  CHECK(RoundTrip(query).may_repeat);
  CHECK(RoundTrip(query).withheld.empty());
}

TEST_CASE("Every kind of placement decision round-trips") {
  PlacementReply reply{kHost, Incarnation{77}, QueryId{5}, {}};
  PlannedPlacement placed;
  placed.endpoint = EndpointId{"e"};
  placed.helpers = {PlannedHelper{EndpointId{"f"}, Tokens{90}}};
  placed.work_class = WorkClass::kLong;
  placed.prefill_time = FractionalMillis(150);
  placed.first_event = FractionalMillis(250);
  placed.candidates = 12;
  reply.decision = placed;
  const auto decoded = std::get<PlannedPlacement>(RoundTrip(reply).decision);
  CHECK(decoded.endpoint == placed.endpoint);
  REQUIRE(decoded.helpers.size() == 1);
  CHECK(decoded.helpers.front().held == Tokens{90});
  CHECK(decoded.work_class == WorkClass::kLong);
  CHECK(decoded.first_event == placed.first_event);
  CHECK(decoded.candidates == 12);
  reply.decision = QueryQueued{};
  CHECK(std::holds_alternative<QueryQueued>(RoundTrip(reply).decision));
  reply.decision = QueryRejected{Millis(750)};
  const PlacementReply with_retry_after = RoundTrip(reply);
  CHECK(std::get<QueryRejected>(with_retry_after.decision).retry_after ==
        Millis(750));
  reply.decision = QueryRejected{};
  CHECK(std::holds_alternative<QueryRejected>(RoundTrip(reply).decision));
  reply.decision = NoEndpoint{};
  CHECK(std::holds_alternative<NoEndpoint>(RoundTrip(reply).decision));
  reply.decision = NotPlanner{kHost};
  CHECK(std::get<NotPlanner>(RoundTrip(reply).decision).planner == kHost);
}

TEST_CASE("A progress report round-trips") {
  const ProgressReport progress_report{kHost,
                                       Incarnation{77},
                                       {PrefillDone{QueryId{1}, 1.5}},
                                       {RequestDone{QueryId{2}, true}},
                                       {GroupTrouble{QueryId{3}, 2.5}}};
  const ProgressReport decoded = RoundTrip(progress_report);
  REQUIRE(decoded.read.size() == 1);
  CHECK(decoded.read.front().pace == 1.5);
  REQUIRE(decoded.ended.size() == 1);
  CHECK(decoded.ended.front().id == QueryId{2});
  CHECK(decoded.ended.front().failed);
  REQUIRE(decoded.troubles.size() == 1);
  CHECK(decoded.troubles.front().id == QueryId{3});
  CHECK(decoded.troubles.front().pace == 2.5);
}

TEST_CASE("Bytes that are not a valid message are rejected") {
  CHECK_FALSE(DecodeFleetMessage("").has_value());
  CHECK_FALSE(DecodeFleetMessage("\xff noise").has_value());
  const std::string whole = EncodeFleetMessage(MakeHeartbeat());
  for (std::size_t size = 0; size < whole.size(); ++size) {
    CHECK_FALSE(DecodeFleetMessage(whole.substr(0, size)).has_value());
  }
  // An array whose first number is not a message kind.
  CHECK_FALSE(DecodeFleetMessage("\x81\x09").has_value());
}

TEST_CASE("An unknown work class is rejected") {
  Heartbeat heartbeat = MakeHeartbeat();
  heartbeat.work->front().parts.front().work_class = static_cast<WorkClass>(9);
  CHECK_FALSE(DecodeFleetMessage(EncodeFleetMessage(heartbeat)).has_value());
}

TEST_CASE("A planner's update round-trips with every kind of record") {
  QueuedRecord queued;
  queued.query.host = kHost;
  queued.query.prompt = Tokens{220000};
  queued.query.until_deadline = FractionalMillis(900);
  queued.query.withheld = {EndpointId{"w"}};
  queued.age = FractionalMillis(70);
  queued.has_reservation = true;
  queued.position = 12;
  PlannedPlacement placement;
  placement.endpoint = EndpointId{"e"};
  placement.helpers = {PlannedHelper{EndpointId{"f"}, Tokens{9}}};
  const PlacedRecord placed{
      placement, QueryWork{QueryId{6}, true, std::vector<WorkPart>(1)},
      FractionalMillis(30), FractionalMillis(-4)};
  const PlacedRecord adopted{std::nullopt, {}, {}, {}};
  PlannerUpdate update{kHost, Incarnation{3}, 8, true, true, {}};
  const Incarnation sender{7};
  update.records = {PlannerRecord{kHost, sender, QueryId{5}, queued},
                    PlannerRecord{kHost, sender, QueryId{6}, placed},
                    PlannerRecord{kHost, sender, QueryId{7}, adopted},
                    PlannerRecord{kHost, sender, QueryId{8}, EndedRecord{}}};
  const PlannerUpdate decoded = RoundTrip(update);
  CHECK(EncodeFleetMessage(decoded) == EncodeFleetMessage(update));
  CHECK(decoded.sequence == 8);
  REQUIRE(decoded.records.size() == 4);
  const auto& first = std::get<QueuedRecord>(decoded.records[0].state);
  CHECK(first.query.prompt == queued.query.prompt);
  CHECK(first.query.withheld == queued.query.withheld);
  CHECK(first.position == 12);
  const auto& second = std::get<PlacedRecord>(decoded.records[1].state);
  CHECK(second.placement->helpers.front().endpoint == EndpointId{"f"});
  CHECK(second.work.parts.size() == 1);
  CHECK_FALSE(std::get<PlacedRecord>(decoded.records[2].state).placement);
  CHECK(std::holds_alternative<EndedRecord>(decoded.records[3].state));
  CHECK(RoundTrip(PlannerStateRequest{kHost}).from == kHost);
}

}  // namespace
}  // namespace harecrank
