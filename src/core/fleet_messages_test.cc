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
  Heartbeat word;
  word.node = NodeId{"n"};
  word.address = kHost;
  word.incarnation = Incarnation{77};
  word.cpu_share = CpuShare{0.19};
  word.routing = RoutingVersion{3};
  word.known_up_to = StoreRevision{40};
  word.store_data_fresh = true;
  word.store_data_age = Millis(340);
  word.poll_state = PollState::kFailed;
  word.planner = HostAddress{"10.0.0.2:1"};
  word.wants_reply = true;
  word.alive_hosts = 9;
  word.hosts = {KnownHost{HostAddress{"10.0.0.3:1"}, CpuShare{0.5}}};
  word.avoided = {AvoidedEndpoint{EndpointId{"f"}, Millis(70)}};
  const WorkPart part{EndpointId{"e"}, WorkClass::kLong, FractionalMillis(12.5),
                      Tokens{7}, Millis(600)};
  word.work = {QueryWork{QueryId{5}, true, {part}}};
  word.limits = {
      RateLimitReport{EndpointId{"e"}, RequestRate{1.6}, Millis(120)},
      RateLimitReport{EndpointId{"g"}, std::nullopt, Millis(5)}};
  return word;
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
  Heartbeat word = Word();
  word.crash_digest = ~std::uint64_t{0};
  CHECK(SentAndRead(word).crash_digest == ~std::uint64_t{0});
  CHECK(SentAndRead(word).work.has_value());
  word.work.reset();
  CHECK(SentAndRead(word).crash_digest == ~std::uint64_t{0});
  CHECK_FALSE(SentAndRead(word).work.has_value());
  word.crash_digest = 0;
  CHECK_FALSE(SentAndRead(word).work.has_value());
}

TEST_CASE("A word tells the size of the fleet with or without the rest") {
  Heartbeat word = Word();
  word.peak_hosts = 24;
  CHECK(SentAndRead(word).peak_hosts == 24);
  CHECK(SentAndRead(word).work.has_value());
  word.work.reset();
  CHECK(SentAndRead(word).peak_hosts == 24);
  CHECK_FALSE(SentAndRead(word).work.has_value());
  word.crash_digest = 7;
  CHECK(SentAndRead(word).peak_hosts == 24);
  CHECK(SentAndRead(word).crash_digest == 7);
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
  Heartbeat word = Word();
  word.work = std::vector<QueryWork>{};
  CHECK(SentAndRead(word).work.has_value());
  word.work.reset();
  CHECK_FALSE(SentAndRead(word).work.has_value());
}

TEST_CASE("An ask comes back as it was sent") {
  PlacementQuery ask;
  ask.host = kHost;
  ask.incarnation = Incarnation{77};
  ask.id = QueryId{5};
  ask.service = ServiceName{"writers"};
  ask.target_latency = Millis(3000);
  ask.target_gap = Millis(1000);
  ask.prompt = Tokens{154000};
  ask.answer = Tokens{800};
  ask.until_late = FractionalMillis(-20);
  ask.may_have_run = true;
  ask.tried = {EndpointId{"e"}, EndpointId{"f"}};
  ask.until_deadline = FractionalMillis(9000);
  ask.origin.request = RequestFingerprint{AccountId{"press"}, 7, 9};
  ask.origin.priority = 2;
  const PlacementQuery read = SentAndRead(ask);
  CHECK(read.host == ask.host);
  CHECK(read.incarnation == ask.incarnation);
  CHECK(read.id == ask.id);
  CHECK(read.service == ask.service);
  CHECK(read.target_latency == ask.target_latency);
  CHECK(read.target_gap == ask.target_gap);
  CHECK(read.prompt == ask.prompt);
  CHECK(read.answer == ask.answer);
  CHECK(read.until_late == ask.until_late);
  CHECK(read.may_have_run);
  CHECK(read.tried == ask.tried);
  CHECK(read.until_deadline == ask.until_deadline);
  CHECK(read.origin.request == ask.origin.request);
  CHECK(read.origin.priority == ask.origin.priority);
  CHECK(read.withheld.empty());
  ask.withheld = {EndpointId{"g"}};
  CHECK(SentAndRead(ask).withheld == ask.withheld);
}

TEST_CASE("Every kind of decision comes back as it was taken") {
  PlacementReply answer{kHost, Incarnation{77}, QueryId{5}, {}};
  PlannedPlacement placed;
  placed.endpoint = EndpointId{"e"};
  placed.helpers = {PlannedHelper{EndpointId{"f"}, Tokens{90}}};
  placed.work_class = WorkClass::kLong;
  placed.prefill_time = FractionalMillis(150);
  placed.first_event = FractionalMillis(250);
  placed.candidates = 12;
  answer.decision = placed;
  const auto read = std::get<PlannedPlacement>(SentAndRead(answer).decision);
  CHECK(read.endpoint == placed.endpoint);
  REQUIRE(read.helpers.size() == 1);
  CHECK(read.helpers.front().held == Tokens{90});
  CHECK(read.work_class == WorkClass::kLong);
  CHECK(read.first_event == placed.first_event);
  CHECK(read.candidates == 12);
  answer.decision = QueryQueued{};
  CHECK(std::holds_alternative<QueryQueued>(SentAndRead(answer).decision));
  answer.decision = QueryRejected{Millis(750)};
  const PlacementReply later = SentAndRead(answer);
  CHECK(std::get<QueryRejected>(later.decision).retry_after == Millis(750));
  answer.decision = QueryRejected{};
  CHECK(std::holds_alternative<QueryRejected>(SentAndRead(answer).decision));
  answer.decision = NoEndpoint{};
  CHECK(std::holds_alternative<NoEndpoint>(SentAndRead(answer).decision));
  answer.decision = NotPlanner{kHost};
  CHECK(std::get<NotPlanner>(SentAndRead(answer).decision).planner == kHost);
}

TEST_CASE("A note comes back as it was sent") {
  const ProgressReport note{kHost,
                            Incarnation{77},
                            {PrefillDone{QueryId{1}, 1.5}},
                            {RequestDone{QueryId{2}, true}}};
  const ProgressReport read = SentAndRead(note);
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
  Heartbeat word = Word();
  word.work->front().parts.front().work_class = static_cast<WorkClass>(9);
  CHECK_FALSE(DecodeFleetMessage(EncodeFleetMessage(word)).has_value());
}

}  // namespace
}  // namespace harecrank
