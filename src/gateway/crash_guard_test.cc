#include "src/gateway/crash_guard.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>

#include "src/adapters/system_sources.h"

namespace harecrank {
namespace {

class FakeRequest : public GuardedRequest {
 public:
  explicit FakeRequest(std::uint64_t number)
      : fingerprint_{AccountId{"acme"}, number, number} {}

  const RequestFingerprint& Fingerprint() override { return fingerprint_; }
  const std::vector<PromptPartId>& Parts() const override { return parts; }
  void OnQuarantined() override { ++quarantined_count; }

  std::vector<PromptPartId> parts;

  int quarantined_count = 0;

 private:
  RequestFingerprint fingerprint_;
};

// Returns another host's report on a request during which `crashes` endpoints
// crashed.
CrashReport MakeReport(std::uint64_t number, int crashes) {
  CrashReport report;
  report.request = RequestFingerprint{AccountId{"acme"}, number, number};
  for (int i = 0; i < crashes; ++i) {
    report.crashes.insert(EndpointCrash{EndpointId{std::to_string(i)}, {}});
  }
  report.quarantined_for = Millis(1000);
  return report;
}

struct Host {
  boost::asio::io_context io;
  EventLog log{"n", SystemClock()};
  Metrics metrics;
  RequestQuarantine quarantine{SystemClock()};
  PartQuarantine parts{
      HostAddress{"h1"},
      {[] { return std::vector{HostAddress{"h1"}}; }, [] { return true; }},
      SystemClock()};
  EndpointProber prober{&io};
  ProtocolNames names;
  EndpointIdentifier identifier{&io, &names};
  EndpointDirectory directory{SystemClock()};
  bool is_backing_off = false;
  CrashGuard guard{
      &quarantine,
      &parts,
      &prober,
      &identifier,
      &directory,
      [this](const EndpointId&) { return is_backing_off; },
      {[](const RequestFingerprint&) {}, [](const PartEvidence&) {}},
      &log,
      &metrics};
};

TEST_CASE("Only the quarantined request in progress is notified") {
  Host host;
  FakeRequest crashing(1);
  FakeRequest harmless(2);
  FakeRequest ended(1);
  const auto crashing_registration = host.guard.Watch(&crashing);
  const auto harmless_registration = host.guard.Watch(&harmless);
  host.guard.Watch(&ended).reset();
  std::vector<CrashReport> missing;
  CHECK(host.guard.OnReports({MakeReport(1, 3)}, &missing).size() == 1);
  CHECK(missing.empty());
  CHECK(crashing.quarantined_count == 1);
  CHECK(harmless.quarantined_count == 0);
  CHECK(ended.quarantined_count == 0);
  CHECK(host.guard.IsQuarantined(&crashing));
}

TEST_CASE("Data that a peer's report lacks are returned as missing") {
  Host host;
  std::vector<CrashReport> missing;
  host.guard.OnReports({MakeReport(1, 2)}, &missing);
  CHECK(host.guard.OnReports({MakeReport(1, 1)}, &missing).empty());
  REQUIRE(missing.size() == 1);
  CHECK(missing.front().crashes.size() == 2);
}

// Returns an endpoint whose process has ended: connections to its address are
// refused.
EndpointRecord MakeEndedEndpoint() {
  EndpointRecord endpoint;
  endpoint.id = EndpointId{"e1"};
  endpoint.data_centre = DataCentreId{"a"};
  endpoint.address = "127.0.0.1:1";
  return endpoint;
}

// Returns the result of the probe after `endpoint` has aborted a response.
std::optional<ProbeResult> ProbeAfterAbort(Host* host,
                                           const EndpointRecord& endpoint) {
  FakeRequest request(1);
  std::optional<ProbeResult> result;
  host->guard.OnResponseAborted(
      {request.Fingerprint(), request.Parts()}, endpoint, true,
      [&result](ProbeResult probed) { result = probed; });
  CHECK_FALSE(result.has_value());
  host->io.restart();
  host->io.run();
  return result;
}

TEST_CASE(
    "An endpoint that is leaving or backing off is not probed, and its crash "
    "is not counted") {
  Host host;
  EndpointRecord endpoint = MakeEndedEndpoint();
  endpoint.incarnation = EndpointIncarnation{1};
  host.is_backing_off = true;
  CHECK(ProbeAfterAbort(&host, endpoint) == ProbeResult::kSkipped);
  host.is_backing_off = false;
  host.directory.MarkLeaving(endpoint.id, endpoint.incarnation);
  CHECK(ProbeAfterAbort(&host, endpoint) == ProbeResult::kSkipped);
  CHECK(host.quarantine.Count() == 0);
  endpoint.incarnation = EndpointIncarnation{2};
  CHECK(ProbeAfterAbort(&host, endpoint) == ProbeResult::kRefused);
  CHECK(host.quarantine.Count() == 1);
}

TEST_CASE(
    "An endpoint of a drained data centre is not probed, and its crash is "
    "not counted") {
  Host host;
  const EndpointRecord endpoint = MakeEndedEndpoint();
  host.directory.DrainDataCentre({endpoint.data_centre, StoreRevision{2}});
  CHECK(ProbeAfterAbort(&host, endpoint) == ProbeResult::kSkipped);
  CHECK(host.quarantine.Count() == 0);
  host.directory.RestoreDataCentre(endpoint.data_centre, StoreRevision{3});
  CHECK(ProbeAfterAbort(&host, endpoint) == ProbeResult::kRefused);
  CHECK(host.quarantine.Count() == 1);
}

constexpr PromptPartId kFirst{1};
constexpr PromptPartId kDeadly{66};

// Lets `endpoints` endpoints crash, in series, while they start `crashing` and
// `beside`.
void CrashUnder(Host* host, FakeRequest* crashing, FakeRequest* beside,
                int endpoints) {
  for (int i = 0; i < endpoints; ++i) {
    EndpointRecord endpoint = MakeEndedEndpoint();
    endpoint.id = EndpointId{"e" + std::to_string(i)};
    for (FakeRequest* request : {crashing, beside}) {
      host->guard.OnSent(request, {});
      host->guard.OnResponseAborted({request->Fingerprint(), request->Parts()},
                                    endpoint, true, [](ProbeResult) {});
    }
    host->io.restart();
    host->io.run();
  }
}

// Guards against harmless requests that are refused because they break off
// beside a part that crashes endpoints.
TEST_CASE("A request beside a held part is not blamed for its crashes") {
  Host host;
  FakeRequest crashing(1);
  crashing.parts = {kFirst, kDeadly};
  FakeRequest beside(2);
  beside.parts = {kFirst};
  FakeRequest waiting(3);
  waiting.parts = {kFirst, kDeadly};
  const auto waiting_registration = host.guard.Watch(&waiting);
  const auto beside_registration = host.guard.Watch(&beside);
  for (int i = 0; i < 20; ++i) {
    host.guard.OnSent(&beside, {});
  }
  constexpr int kEndpoints = PartQuarantine::kNewPartSimultaneousCrashes;
  CrashUnder(&host, &crashing, &beside, kEndpoints);
  REQUIRE(host.parts.IsHeld(kDeadly));
  CHECK_FALSE(host.parts.IsHeld(kFirst));
  CHECK(waiting.quarantined_count == 1);
  CHECK(host.guard.IsQuarantined(&waiting));
  CHECK(host.quarantine.CrashCount(beside.Fingerprint()) == 0);
  CHECK_FALSE(host.guard.IsQuarantined(&beside));
}

// Guards against a use after free: sessions that are aborted by a stop are
// destroyed with the event loop, after the guard.
TEST_CASE("A request may outlive the guard with which it is registered") {
  auto host = std::make_unique<Host>();
  FakeRequest request(1);
  auto registration = host->guard.Watch(&request);
  host.reset();
  registration.reset();
  CHECK(request.quarantined_count == 0);
}

}  // namespace
}  // namespace harecrank
