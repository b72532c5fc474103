// Tests of planned stops of processes and of endpoints that are drained.

#include <catch2/catch.hpp>
#include <csignal>
#include <future>

#include "testing/fleet.h"

namespace harecrank::testing {
namespace {

using nlohmann::json;

constexpr int kEngines = 3;

// Waits until an engine runs a request and returns its index, or -1 after a
// time-out.
int WaitForBusyEngine(Fleet* fleet) {
  int busy = -1;
  WaitUntil([&] {
    for (int i = 0; i < kEngines; ++i) {
      busy = fleet->EngineUsedTokens(i) > 0 ? i : busy;
    }
    return busy >= 0;
  });
  return busy;
}

// Sends `count` requests. Returns whether all succeed and none runs on
// `engine`.
bool AvoidsEngine(Fleet* fleet, int engine, int count) {
  for (int i = 0; i < count; ++i) {
    const std::string label = "avoid-" + std::to_string(i);
    const ClientResponse response =
        Call(Completion(fleet->CallersAddress(i % 2), label, 50, 2, false));
    const std::string node = Fleet::EngineNode(engine);
    if (response.status != 200 ||
        response.body["harecrank"]["endpoint"] == node) {
      return false;
    }
  }
  return true;
}

// Waits until both entry hosts report that the endpoint of `engine` is
// draining. Returns false after a time-out.
bool IsReportedDraining(Fleet* fleet, int engine) {
  const auto reports_draining = [&](const std::string& entry) {
    const json dump = fleet->Dump(entry);
    for (const json& link : dump["entry"]["links"]) {
      if (link["endpoint"] == Fleet::EngineNode(engine)) {
        return link["draining"].get<bool>();
      }
    }
    return false;
  };
  return WaitUntil([&] {
    return reports_draining("entry-0") && reports_draining("entry-1");
  });
}

TEST_CASE("A planned stop of a sidecar does not interrupt its streams") {
  FleetOptions options;
  options.step_ms = 10;
  Fleet fleet(options);
  REQUIRE(fleet.WaitReady());
  const ClientRequest call =
      Completion(fleet.CallersAddress(0), "drained", 100, 100, true);
  auto pending = std::async(std::launch::async, [&] { return Call(call); });
  const int engine = WaitForBusyEngine(&fleet);
  REQUIRE(engine >= 0);
  fleet.Get("sidecar-" + std::to_string(engine)).Signal(SIGTERM);
  REQUIRE(IsReportedDraining(&fleet, engine));
  CHECK(AvoidsEngine(&fleet, engine, 6));
  const ClientResponse response = pending.get();
  INFO("the stream ended with '" << response.end_event << "' "
                                 << response.end.dump());
  CHECK(response.Text() == ExpectedText(call));
  CHECK(response.end["attempts"] == 1);
  CHECK(fleet.Get("sidecar-" + std::to_string(engine)).Wait() == 0);
}

TEST_CASE(
    "A planned stop of an entry host completes streams and rejects requests") {
  FleetOptions options;
  options.step_ms = 10;
  Fleet fleet(options);
  REQUIRE(fleet.WaitReady());
  const ClientRequest call =
      Completion(fleet.CallersAddress(0), "drained", 100, 100, true);
  auto pending = std::async(std::launch::async, [&] { return Call(call); });
  REQUIRE(WaitForBusyEngine(&fleet) >= 0);
  fleet.Get("entry-0").Signal(SIGTERM);
  const ClientRequest after_stop =
      Completion(fleet.CallersAddress(0), "late", 50, 2, false);
  ClientResponse rejected;
  CHECK(WaitUntil([&] {
    rejected = Call(after_stop);
    return rejected.status == 503;
  }));
  CHECK(rejected.Outcome() == "not_run");
  CHECK_FALSE(rejected.retry_after.empty());
  CHECK(pending.get().Text() == ExpectedText(call));
  CHECK(fleet.Get("entry-0").Wait() == 0);
}

TEST_CASE("An endpoint that is leaving by the host list gets no new requests") {
  FleetOptions options;
  options.host_list = true;
  Fleet fleet(options);
  REQUIRE(fleet.WaitReady());
  fleet.SetLeaving({Fleet::EngineNode(1)});
  for (const char* entry : {"entry-0", "entry-1"}) {
    CHECK(WaitUntil([&] {
      const json leaving = fleet.Dump(entry)["host_list"]["leaving"];
      return leaving.size() == 1;
    }));
  }
  CHECK(AvoidsEngine(&fleet, 1, 20));
}

TEST_CASE(
    "An endpoint that is leaving by the configuration gets no new requests") {
  Fleet fleet(FleetOptions{});
  REQUIRE(fleet.WaitReady());
  json endpoint = fleet.Document()["endpoints"][Fleet::EngineNode(2)];
  endpoint["leaving"] = true;
  const std::uint32_t revision = fleet.PlanAndPublish(
      "entry-0", {{"put_endpoint",
                   {{"id", Fleet::EngineNode(2)}, {"endpoint", endpoint}}}});
  REQUIRE(revision == 2);
  for (const char* entry : {"entry-0", "entry-1"}) {
    CHECK(WaitUntil([&] {
      return fleet.Dump(entry)["configuration"]["revision"] == revision;
    }));
  }
  CHECK(AvoidsEngine(&fleet, 2, 20));
}

}  // namespace
}  // namespace harecrank::testing
