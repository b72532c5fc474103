#include "harecrank/core/fleet_messages.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

const HostAddress kHost{"10.0.0.1:1"};

template <typename T>
T SentAndRead(const T& message) {
  const auto read = DecodeFleetMessage(EncodeFleetMessage(message));
  REQUIRE(read.has_value());
  return std::get<T>(*read);
}

Heartbeat Word() {
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

CrashReports Reports() {
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

TEST_CASE("What is told of requests that end endpoints comes back as told") {
  const CrashReports read = SentAndRead(Reports());
  CHECK(read.from == kHost);
  REQUIRE(read.reports.size() == 1);
  const CrashReport& report = read.reports.front();
  const CrashReports told = Reports();
  CHECK(report.request == told.reports.front().request);
  CHECK(report.crashes == told.reports.front().crashes);
  CHECK(report.cleared == told.reports.front().cleared);
  CHECK(report.trials == 2);
  CHECK(report.failed_trials == 1);
  CHECK(report.age == Millis(1500));
  CHECK(report.quarantined_for == Millis(-20));
}

TEST_CASE("The largest set of reports fits into one datagram") {
  CrashReports all{kHost, {}};
  for (std::size_t i = 0; i < RequestQuarantine::kMaxSharedReports; ++i) {
    CrashReport report = Reports().reports.front();
    report.request.low = i;
    all.reports.push_back(report);
  }
  constexpr std::size_t kMostDatagram = 65507;
  CHECK(EncodeFleetMessage(all).size() < kMostDatagram / 4);
}

TEST_CASE("A word tells the digest of suspects with or without its work") {
  Heartbeat heartbeat = Word();
  heartbeat.crash_digest = ~std::uint64_t{0};
  CHECK(SentAndRead(heartbeat).crash_digest == ~std::uint64_t{0});
  CHECK(SentAndRead(heartbeat).work.has_value());
  heartbeat.work.reset();
  CHECK(SentAndRead(heartbeat).crash_digest == ~std::uint64_t{0});
  CHECK_FALSE(SentAndRead(heartbeat).work.has_value());
  heartbeat.crash_digest = 0;
  CHECK_FALSE(SentAndRead(heartbeat).work.has_value());
}

TEST_CASE("A word tells the size of the fleet with or without the rest") {
  Heartbeat heartbeat = Word();
  heartbeat.peak_hosts = 24;
  CHECK(SentAndRead(heartbeat).peak_hosts == 24);
  CHECK(SentAndRead(heartbeat).work.has_value());
  heartbeat.work.reset();
  CHECK(SentAndRead(heartbeat).peak_hosts == 24);
  CHECK_FALSE(SentAndRead(heartbeat).work.has_value());
  heartbeat.crash_digest = 7;
  CHECK(SentAndRead(heartbeat).peak_hosts == 24);
  CHECK(SentAndRead(heartbeat).crash_digest == 7);
}

TEST_CASE("A host's word comes back as it was told") {
  const Heartbeat read = SentAndRead(Word());
  CHECK(read.node == NodeId{"n"});
  CHECK(read.address == kHost);
  CHECK(read.incarnation == Incarnation{77});
  CHECK(read.cpu_share.value == 0.19);
  CHECK(read.routing == RoutingVersion{3});
  CHECK(read.known_up_to == StoreRevision{40});
  CHECK(read.store_data_fresh);
  CHECK(read.store_data_age == Millis(340));
  CHECK(read.poll_state == PollState::kFailed);
  CHECK(read.planner == HostAddress{"10.0.0.2:1"});
  CHECK_FALSE(read.leaving);
  CHECK(read.wants_reply);
  CHECK(read.alive_hosts == 9);
  REQUIRE(read.hosts.size() == 1);
  CHECK(read.hosts.front().cpu_share.value == 0.5);
  REQUIRE(read.avoided.size() == 1);
  CHECK(read.avoided.front().left == Millis(70));
  REQUIRE(read.limits.size() == 2);
  CHECK(read.limits.front().endpoint == EndpointId{"e"});
  CHECK(read.limits.front().rate == RequestRate{1.6});
  CHECK(read.limits.front().age == Millis(120));
  CHECK_FALSE(read.limits.back().rate.has_value());
  REQUIRE(read.work.has_value());
  REQUIRE(read.work->size() == 1);
  const QueryWork& work = read.work->front();
  CHECK(work.id == QueryId{5});
  CHECK(work.prefill_done);
  REQUIRE(work.parts.size() == 1);
  CHECK(work.parts.front().endpoint == EndpointId{"e"});
  CHECK(work.parts.front().work_class == WorkClass::kLong);
  CHECK(work.parts.front().prefill_time == FractionalMillis(12.5));
  CHECK(work.parts.front().memory == Tokens{7});
  CHECK(work.parts.front().gap == Millis(600));
}

TEST_CASE("A word that tells no work is another than one that tells of none") {
  Heartbeat heartbeat = Word();
  heartbeat.work = std::vector<QueryWork>{};
  CHECK(SentAndRead(heartbeat).work.has_value());
  heartbeat.work.reset();
  CHECK_FALSE(SentAndRead(heartbeat).work.has_value());
}

TEST_CASE("An ask comes back as it was sent") {
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
  const PlacementQuery read = SentAndRead(query);
  CHECK(read.host == query.host);
  CHECK(read.incarnation == query.incarnation);
  CHECK(read.id == query.id);
  CHECK(read.service == query.service);
  CHECK(read.target_latency == query.target_latency);
  CHECK(read.target_gap == query.target_gap);
  CHECK(read.prompt == query.prompt);
  CHECK(read.answer == query.answer);
  CHECK(read.until_late == query.until_late);
  CHECK(read.may_have_run);
  CHECK(read.tried == query.tried);
  CHECK(read.until_deadline == query.until_deadline);
  CHECK(read.origin.request == query.origin.request);
  CHECK(read.origin.priority == query.origin.priority);
  CHECK(read.withheld.empty());
  query.withheld = {EndpointId{"g"}};
  CHECK(SentAndRead(query).withheld == query.withheld);
}

TEST_CASE("Every kind of decision comes back as it was taken") {
  PlacementReply reply{kHost, Incarnation{77}, QueryId{5}, {}};
  PlannedPlacement placed;
  placed.endpoint = EndpointId{"e"};
  placed.helpers = {PlannedHelper{EndpointId{"f"}, Tokens{90}}};
  placed.work_class = WorkClass::kLong;
  placed.prefill_time = FractionalMillis(150);
  placed.first_event = FractionalMillis(250);
  placed.candidates = 12;
  reply.decision = placed;
  const auto read = std::get<PlannedPlacement>(SentAndRead(reply).decision);
  CHECK(read.endpoint == placed.endpoint);
  REQUIRE(read.helpers.size() == 1);
  CHECK(read.helpers.front().held == Tokens{90});
  CHECK(read.work_class == WorkClass::kLong);
  CHECK(read.first_event == placed.first_event);
  CHECK(read.candidates == 12);
  reply.decision = QueryQueued{};
  CHECK(std::holds_alternative<QueryQueued>(SentAndRead(reply).decision));
  reply.decision = QueryRejected{Millis(750)};
  const PlacementReply later = SentAndRead(reply);
  CHECK(std::get<QueryRejected>(later.decision).retry_after == Millis(750));
  reply.decision = QueryRejected{};
  CHECK(std::holds_alternative<QueryRejected>(SentAndRead(reply).decision));
  reply.decision = NoEndpoint{};
  CHECK(std::holds_alternative<NoEndpoint>(SentAndRead(reply).decision));
  reply.decision = NotPlanner{kHost};
  CHECK(std::get<NotPlanner>(SentAndRead(reply).decision).planner == kHost);
}

TEST_CASE("A progress comes back as it was sent") {
  const ProgressReport progress{kHost,
                                Incarnation{77},
                                {PrefillDone{QueryId{1}, 1.5}},
                                {RequestDone{QueryId{2}, true}}};
  const ProgressReport read = SentAndRead(progress);
  REQUIRE(read.read.size() == 1);
  CHECK(read.read.front().pace == 1.5);
  REQUIRE(read.ended.size() == 1);
  CHECK(read.ended.front().id == QueryId{2});
  CHECK(read.ended.front().failed);
}

TEST_CASE("Bytes that are no message are refused") {
  CHECK_FALSE(DecodeFleetMessage("").has_value());
  CHECK_FALSE(DecodeFleetMessage("\xff noise").has_value());
  const std::string whole = EncodeFleetMessage(Word());
  for (std::size_t size = 0; size < whole.size(); ++size) {
    CHECK_FALSE(DecodeFleetMessage(whole.substr(0, size)).has_value());
  }
  // An array whose first number stands for no kind of message.
  CHECK_FALSE(DecodeFleetMessage("\x81\x09").has_value());
}

TEST_CASE("A number that stands for no class of work is refused") {
  Heartbeat heartbeat = Word();
  heartbeat.work->front().parts.front().work_class = static_cast<WorkClass>(9);
  CHECK_FALSE(DecodeFleetMessage(EncodeFleetMessage(heartbeat)).has_value());
}

}  // namespace
}  // namespace harecrank
