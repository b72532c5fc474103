// Planned stops, and endpoints that leave.

#include <catch2/catch.hpp>
#include <csignal>
#include <future>

#include "testing/fleet.h"

namespace harecrank::testing {
namespace {

using nlohmann::json;

constexpr int kEngines = 3;

// Returns the engine that works now, waiting for one to begin.
int WorkingEngine(Fleet* fleet) {
  int working = -1;
  WaitUntil([&] {
    for (int i = 0; i < kEngines; ++i) {
      working = fleet->EngineUsedTokens(i) > 0 ? i : working;
    }
    return working >= 0;
  });
  return working;
}

// Returns whether none of `count` requests runs at `engine`.
bool AvoidsEngine(Fleet* fleet, int engine, int count) {
  for (int i = 0; i < count; ++i) {
    const std::string label = "avoid-" + std::to_string(i);
    const ClientResponse answer =
        Call(Completion(fleet->CallersAddress(i % 2), label, 50, 2, false));
    const std::string node = Fleet::EngineNode(engine);
    if (answer.status != 200 || answer.body["harecrank"]["endpoint"] == node) {
      return false;
    }
  }
  return true;
}

// Returns whether both entry hosts come to know that an endpoint drains.
bool IsSeenDraining(Fleet* fleet, int engine) {
  const auto knows = [&](const std::string& entry) {
    const json dump = fleet->Dump(entry);
    for (const json& link : dump["entry"]["links"]) {
      if (link["endpoint"] == Fleet::EngineNode(engine)) {
        return link["draining"].get<bool>();
      }
    }
    return false;
  };
  return WaitUntil([&] { return knows("entry-0") && knows("entry-1"); });
}

TEST_CASE("A planned stop of a sidecar cuts off no stream") {
  FleetOptions options;
  options.step_ms = 10;
  Fleet fleet(options);
  REQUIRE(fleet.WaitReady());
  const ClientRequest call =
      Completion(fleet.CallersAddress(0), "drained", 100, 100, true);
  auto answer = std::async(std::launch::async, [&] { return Call(call); });
  const int engine = WorkingEngine(&fleet);
  REQUIRE(engine >= 0);
  fleet.Get("sidecar-" + std::to_string(engine)).Signal(SIGTERM);
  REQUIRE(IsSeenDraining(&fleet, engine));
  CHECK(AvoidsEngine(&fleet, engine, 6));
  const ClientResponse got = answer.get();
  INFO("the stream ended with '" << got.end_event << "' " << got.end.dump());
  CHECK(got.Text() == ExpectedText(call));
  CHECK(got.end["attempts"] == 1);
  CHECK(fleet.Get("sidecar-" + std::to_string(engine)).Wait() == 0);
}

TEST_CASE(
    "A planned stop of an entry host ends its streams and takes no more") {
  FleetOptions options;
  options.step_ms = 10;
  Fleet fleet(options);
  REQUIRE(fleet.WaitReady());
  const ClientRequest call =
      Completion(fleet.CallersAddress(0), "drained", 100, 100, true);
  auto answer = std::async(std::launch::async, [&] { return Call(call); });
  REQUIRE(WorkingEngine(&fleet) >= 0);
  fleet.Get("entry-0").Signal(SIGTERM);
  const ClientRequest late =
      Completion(fleet.CallersAddress(0), "late", 50, 2, false);
  ClientResponse refused;
  CHECK(WaitUntil([&] {
    refused = Call(late);
    return refused.status == 503;
  }));
  CHECK(refused.Outcome() == "not_run");
  CHECK_FALSE(refused.retry_after.empty());
  CHECK(answer.get().Text() == ExpectedText(call));
  CHECK(fleet.Get("entry-0").Wait() == 0);
}

TEST_CASE("An endpoint that the host list says is leaving gets no new work") {
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

TEST_CASE("An endpoint that the configuration marks as leaving gets no work") {
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
