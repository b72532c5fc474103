// Configuration: in force everywhere, and never back.

#include <catch2/catch.hpp>
#include <csignal>

#include "testing/fleet.h"

namespace harecrank::testing {
namespace {

using nlohmann::json;

const std::vector<std::string> kNodes{"entry-0",    "entry-1",    "endpoint-0",
                                      "endpoint-1", "endpoint-2", "plain-0"};

json PutAccount(const std::string& id, char digit) {
  return {
      {"put_account",
       {{"id", id},
        {"account", {{"key_sha256", std::string(64, digit)}, {"weight", 1}}}}}};
}

bool IsInForce(Fleet* fleet, const std::string& node, std::uint32_t revision) {
  return fleet->Dump(node)["configuration"]["revision"] == revision;
}

bool ComesIntoForce(Fleet* fleet, std::uint32_t revision) {
  for (const std::string& node : kNodes) {
    if (!WaitUntil([&] { return IsInForce(fleet, node, revision); })) {
      return false;
    }
  }
  return true;
}

TEST_CASE("A published change comes into force on every node") {
  Fleet fleet(FleetOptions{});
  REQUIRE(fleet.WaitReady());
  const std::uint32_t revision =
      fleet.PlanAndPublish("endpoint-1", PutAccount("tan", 'a'));
  REQUIRE(revision == 2);
  CHECK(ComesIntoForce(&fleet, revision));
}

TEST_CASE("Nodes that missed many changes catch up") {
  Fleet fleet(FleetOptions{});
  REQUIRE(fleet.WaitReady());
  fleet.Get("entry-1").Signal(SIGSTOP);
  std::uint32_t revision = 0;
  for (char digit = 'a'; digit <= 'f'; ++digit) {
    revision = fleet.PlanAndPublish("entry-0",
                                    PutAccount(std::string(1, digit), digit));
    REQUIRE(WaitUntil([&] { return IsInForce(&fleet, "entry-0", revision); }));
  }
  fleet.Get("entry-1").Signal(SIGCONT);
  CHECK(ComesIntoForce(&fleet, revision));
}

TEST_CASE("With the service down a change that one node has reaches the rest") {
  FleetOptions options;
  // Frozen while the change is read, these can only hear of it from peers.
  Fleet fleet(options);
  REQUIRE(fleet.WaitReady());
  for (const char* name : {"entry-1", "sidecar-1", "sidecar-2"}) {
    fleet.Get(name).Signal(SIGSTOP);
  }
  const std::uint32_t revision =
      fleet.PlanAndPublish("entry-0", PutAccount("tan", 'a'));
  REQUIRE(WaitUntil([&] { return IsInForce(&fleet, "entry-0", revision); }));
  fleet.SetFault("config", {{"down", true}});
  for (const char* name : {"entry-1", "sidecar-1", "sidecar-2"}) {
    fleet.Get(name).Signal(SIGCONT);
  }
  CHECK(ComesIntoForce(&fleet, revision));
}

TEST_CASE("A node whose readers are all gone reads the service itself") {
  FleetOptions options;
  options.entries = 1;
  options.engines = 0;
  options.services = 0;
  // Listed in the same data centre, with no process behind them: nearly always
  // they are its readers.
  options.listed_endpoints = 60;
  options.entry_settings = {{"compare_interval_ms", 100}};
  Fleet fleet(options);
  REQUIRE(WaitUntil([&] { return IsInForce(&fleet, "entry-0", 1); }));
  REQUIRE(fleet.PlanAndPublish("entry-0", PutAccount("tan", 'a')) == 2);
  CHECK(WaitUntil([&] { return IsInForce(&fleet, "entry-0", 2); }));
}

TEST_CASE("A newcomer to a stale service takes its peers' revision first") {
  Fleet fleet(FleetOptions{});
  REQUIRE(fleet.WaitReady());
  const json first = fleet.Document();
  REQUIRE(fleet.PlanAndPublish("entry-0", PutAccount("tan", 'a')) == 2);
  REQUIRE(ComesIntoForce(&fleet, 2));
  // From here on the service shows the first revision and says nothing of it.
  fleet.Publish("document", first.dump());
  fleet.Publish("changes", "{\"changes\":[]}");
  fleet.Restart("entry-1");
  REQUIRE(WaitUntil([&] {
    const json dump = fleet.Dump("entry-1");
    return dump.is_object() && dump["node"].value("ready", false);
  }));
  const json dump = fleet.Dump("entry-1");
  INFO("the newcomer's configuration was " << dump["configuration"].dump());
  CHECK(dump["configuration"]["revision"] == 2);
}

TEST_CASE("A service that goes back to an old revision changes nothing") {
  Fleet fleet(FleetOptions{});
  REQUIRE(fleet.WaitReady());
  const json first = fleet.Document();
  REQUIRE(fleet.PlanAndPublish("entry-0", PutAccount("tan", 'a')) == 2);
  REQUIRE(ComesIntoForce(&fleet, 2));
  fleet.Publish("document", first.dump());
  fleet.Publish("changes", json{{"changes",
                                 {{{"revision", 1},
                                   {"base_digest", "x"},
                                   {"digest", "y"},
                                   {"patch_json", "[]"}}}}}
                               .dump());
  const auto sees_older = [&] {
    int older = 0;
    for (const std::string& node : kNodes) {
      older += fleet.Dump(node)["configuration"]["older"].get<int>();
    }
    return older > 0;
  };
  CHECK(WaitUntil(sees_older));
  for (const std::string& node : kNodes) {
    CHECK(IsInForce(&fleet, node, 2));
  }
}

TEST_CASE("Two operators' racing changes are reported, and a third mends it") {
  Fleet fleet(FleetOptions{});
  REQUIRE(fleet.WaitReady());
  const json base = fleet.Document();
  REQUIRE(fleet.PlanAndPublish("entry-0", PutAccount("mine", 'a')) == 2);
  REQUIRE(ComesIntoForce(&fleet, 2));
  json yours = base;
  yours["revision"] = 2;
  yours["accounts"]["yours"] = {{"key_sha256", std::string(64, 'b')},
                                {"weight", 1}};
  fleet.Publish("document", yours.dump());
  fleet.Publish("changes", json{{"changes",
                                 {{{"revision", 2},
                                   {"base_digest", "x"},
                                   {"digest", "another"},
                                   {"patch_json", "[]"}}}}}
                               .dump());
  const auto sees_conflict = [&] {
    for (const std::string& node : kNodes) {
      if (fleet.Dump(node)["configuration"]["conflicts"].get<int>() > 0) {
        return true;
      }
    }
    return false;
  };
  CHECK(WaitUntil(sees_conflict));
  REQUIRE(fleet.PlanAndPublish("entry-0", PutAccount("third", 'c')) == 3);
  CHECK(ComesIntoForce(&fleet, 3));
}

TEST_CASE("A plan on a base that has moved is refused with the reason") {
  Fleet fleet(FleetOptions{});
  REQUIRE(fleet.WaitReady());
  REQUIRE(fleet.PlanAndPublish("entry-0", PutAccount("mine", 'a')) == 2);
  REQUIRE(ComesIntoForce(&fleet, 2));
  json late = PutAccount("yours", 'b');
  late["base_revision"] = 1;
  CHECK(fleet.PlanAndPublish("entry-0", late) == 0);
}

}  // namespace
}  // namespace harecrank::testing
