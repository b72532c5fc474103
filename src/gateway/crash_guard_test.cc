#include "src/gateway/crash_guard.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>

#include "src/adapters/system_sources.h"

namespace harecrank {
namespace {

class OneRequest : public GuardedRequest {
 public:
  explicit OneRequest(std::uint64_t number)
      : fingerprint_{AccountId{"acme"}, number, number} {}

  const RequestFingerprint& Fingerprint() override { return fingerprint_; }
  void OnQuarantined() override { ++held; }

  int held = 0;

 private:
  RequestFingerprint fingerprint_;
};

// What another host tells of a request under which `crashes` endpoints ended.
CrashReport Report(std::uint64_t number, int crashes) {
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
  EndpointProber prober{&io};
  EndpointDirectory directory{SystemClock()};
  bool rests = false;
  CrashGuard guard{&quarantine,
                   &prober,
                   &directory,
                   [this](const EndpointId&) { return rests; },
                   [](const RequestFingerprint&) {},
                   &log,
                   &metrics};
};

TEST_CASE("Requests under way hear that they are held, and no others") {
  Host host;
  OneRequest deadly(1);
  OneRequest harmless(2);
  OneRequest ended(1);
  const auto watches_deadly = host.guard.Watch(&deadly);
  const auto watches_harmless = host.guard.Watch(&harmless);
  host.guard.Watch(&ended).reset();
  std::vector<CrashReport> missing;
  CHECK(host.guard.OnReports({Report(1, 3)}, &missing).size() == 1);
  CHECK(missing.empty());
  CHECK(deadly.held == 1);
  CHECK(harmless.held == 0);
  CHECK(ended.held == 0);
  CHECK(host.guard.IsQuarantined(&deadly));
}

TEST_CASE("A host that knows more than it is told says so") {
  Host host;
  std::vector<CrashReport> missing;
  host.guard.OnReports({Report(1, 2)}, &missing);
  CHECK(host.guard.OnReports({Report(1, 1)}, &missing).empty());
  REQUIRE(missing.size() == 1);
  CHECK(missing.front().crashes.size() == 2);
}

// Who empties a data centre may stop its endpoints while requests run there.
// One whose process has ended: nobody listens at its address.
EndpointRecord EndedEndpoint() {
  EndpointRecord endpoint;
  endpoint.id = EndpointId{"e1"};
  endpoint.data_centre = DataCentreId{"a"};
  endpoint.address = "127.0.0.1:1";
  return endpoint;
}

// Returns what is found out of `endpoint` after it broke a request off.
std::optional<ProbeResult> Judged(Host* host, const EndpointRecord& endpoint) {
  OneRequest request(1);
  std::optional<ProbeResult> result;
  host->guard.OnResponseAborted(request.Fingerprint(), endpoint, true,
                                [&result](ProbeResult told) { result = told; });
  CHECK_FALSE(result.has_value());
  host->io.restart();
  host->io.run();
  return result;
}

TEST_CASE(
    "An endpoint that leaves or rests is not probed, and its end counts "
    "against no request") {
  Host host;
  EndpointRecord endpoint = EndedEndpoint();
  endpoint.incarnation = EndpointIncarnation{1};
  host.rests = true;
  CHECK(Judged(&host, endpoint) == ProbeResult::kSkipped);
  host.rests = false;
  host.directory.MarkLeaving(endpoint.id, endpoint.incarnation);
  CHECK(Judged(&host, endpoint) == ProbeResult::kSkipped);
  CHECK(host.quarantine.Count() == 0);
  endpoint.incarnation = EndpointIncarnation{2};
  CHECK(Judged(&host, endpoint) == ProbeResult::kRefused);
  CHECK(host.quarantine.Count() == 1);
}

TEST_CASE(
    "An endpoint of a closed data centre is not probed, and its end counts "
    "against no request") {
  Host host;
  const EndpointRecord endpoint = EndedEndpoint();
  host.directory.DrainDataCentre({endpoint.data_centre, StoreRevision{2}});
  CHECK(Judged(&host, endpoint) == ProbeResult::kSkipped);
  CHECK(host.quarantine.Count() == 0);
  host.directory.RestoreDataCentre(endpoint.data_centre, StoreRevision{3});
  CHECK(Judged(&host, endpoint) == ProbeResult::kRefused);
  CHECK(host.quarantine.Count() == 1);
}

// Sessions that a stop cuts end with the event loop, after all else.
TEST_CASE("A request may outlive the guard that watches it") {
  auto host = std::make_unique<Host>();
  OneRequest request(1);
  auto watching = host->guard.Watch(&request);
  host.reset();
  watching.reset();
  CHECK(request.held == 0);
}

}  // namespace
}  // namespace harecrank
