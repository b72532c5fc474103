// Tests of prompts that need several engines, with failures of members of the
// group.

#include <catch2/catch.hpp>
#include <csignal>
#include <future>

#include "testing/fleet.h"

namespace harecrank::testing {
namespace {

constexpr int kEngines = 4;

FleetOptions GroupOptions() {
  FleetOptions options;
  options.engines = kEngines;
  options.services = 0;
  options.engine_memory = 20000;
  options.prefill_rate = 20000;
  options.step_tokens = 500;
  options.step_ms = 5;
  return options;
}

ClientRequest GroupCall(const Fleet& fleet, const std::string& label) {
  ClientRequest call =
      Completion(fleet.CallersAddress(0), label, 30000, 200, true);
  call.fields = {{"Harecrank-Time-Limit-Ms", "30000"}};
  return call;
}

// Waits until two engines have memory allocated for a prompt. Returns the
// engine with the largest allocation, or that with the smallest one, which will
// not generate the response; -1 after a time-out.
int FindGroupMember(Fleet* fleet, bool largest) {
  int found = -1;
  WaitUntil([&] {
    int holding = 0;
    std::int64_t extreme = 0;
    for (int i = 0; i < kEngines; ++i) {
      const std::int64_t used = fleet->EngineUsedTokens(i);
      holding += used > 0 ? 1 : 0;
      const bool better =
          largest ? used > extreme : used < extreme || extreme == 0;
      if (used > 0 && better) {
        extreme = used;
        found = i;
      }
    }
    return holding >= 2;
  });
  return found;
}

void CheckMemoryIsReleased(Fleet* fleet) {
  for (int i = 0; i < kEngines; ++i) {
    INFO("engine " << i << " still holds " << fleet->EngineUsedTokens(i));
    CHECK(WaitUntil([&] { return fleet->EngineUsedTokens(i) <= 0; }));
  }
}

TEST_CASE("A group completes when a member's engine is killed during prefill") {
  Fleet fleet(GroupOptions());
  REQUIRE(fleet.WaitReady());
  const ClientRequest call = GroupCall(fleet, "engine dies");
  auto pending = std::async(std::launch::async, [&] { return Call(call); });
  const int member = FindGroupMember(&fleet, false);
  REQUIRE(member >= 0);
  fleet.Get("engine-" + std::to_string(member)).Kill();
  const ClientResponse response = pending.get();
  INFO(response.status << " " << response.end.dump() << response.body.dump());
  CHECK(response.Text() == ExpectedText(call));
  CheckMemoryIsReleased(&fleet);
}

TEST_CASE(
    "A group completes when a member's sidecar is killed during prefill") {
  Fleet fleet(GroupOptions());
  REQUIRE(fleet.WaitReady());
  const ClientRequest call = GroupCall(fleet, "sidecar dies");
  auto pending = std::async(std::launch::async, [&] { return Call(call); });
  const int member = FindGroupMember(&fleet, false);
  REQUIRE(member >= 0);
  const std::string name = "sidecar-" + std::to_string(member);
  fleet.Get(name).Kill();
  const ClientResponse response = pending.get();
  INFO(response.status << " " << response.end.dump() << response.body.dump());
  CHECK(response.Text() == ExpectedText(call));
  fleet.Restart(name);
  CheckMemoryIsReleased(&fleet);
}

TEST_CASE("A group completes when it loses a member while it generates") {
  Fleet fleet(GroupOptions());
  REQUIRE(fleet.WaitReady());
  const ClientRequest call = GroupCall(fleet, "loses one");
  auto pending = std::async(std::launch::async, [&] { return Call(call); });
  const int member = FindGroupMember(&fleet, false);
  REQUIRE(member >= 0);
  REQUIRE(WaitUntil([&] {
    HttpCall metrics;
    metrics.address = fleet.OperationsAddress("entry-0");
    metrics.path = "/metrics";
    const auto text = SendHttpRequest(metrics);
    return text && text.value().body.find(
                       "harecrank_time_between_tokens_seconds_count 0") ==
                       std::string::npos;
  }));
  fleet.Get("engine-" + std::to_string(member)).Kill();
  const ClientResponse response = pending.get();
  INFO(response.status << " " << response.parts.size() << " parts "
                       << response.end.dump());
  CHECK(response.Text() == ExpectedText(call));
  CheckMemoryIsReleased(&fleet);
}

TEST_CASE("A prompt that is too large for any group is rejected at once") {
  Fleet fleet(GroupOptions());
  REQUIRE(fleet.WaitReady());
  ClientRequest call =
      Completion(fleet.CallersAddress(0), "too large", 90000, 4, false);
  // The response must not wait for this time limit of ten minutes.
  call.fields = {{"Harecrank-Time-Limit-Ms", "600000"}};
  const ClientResponse response = Call(call);
  CHECK(response.Code() == "larger_than_engine");
  CHECK(response.Outcome() == "not_run");
}

TEST_CASE("The memory of a group is released when its entry host is killed") {
  Fleet fleet(GroupOptions());
  REQUIRE(fleet.WaitReady());
  const ClientRequest call = GroupCall(fleet, "entry dies");
  auto pending = std::async(std::launch::async, [&] { return Call(call); });
  REQUIRE(FindGroupMember(&fleet, false) >= 0);
  fleet.Get("entry-0").Kill();
  CHECK(pending.get().end_event.empty());
  CheckMemoryIsReleased(&fleet);
}

TEST_CASE(
    "Groups that together exceed the memory of all engines all complete") {
  Fleet fleet(GroupOptions());
  REQUIRE(fleet.WaitReady());
  std::vector<ClientRequest> calls;
  std::vector<std::future<ClientResponse>> pending;
  for (int i = 0; i < 5; ++i) {
    ClientRequest call =
        Completion(fleet.CallersAddress(i % 2), "crowd " + std::to_string(i),
                   30000, 10, true);
    call.fields = {{"Harecrank-Time-Limit-Ms", "60000"}};
    calls.push_back(call);
  }
  pending.reserve(calls.size());
  for (const ClientRequest& call : calls) {
    pending.push_back(
        std::async(std::launch::async, [&call] { return Call(call); }));
  }
  for (std::size_t i = 0; i < calls.size(); ++i) {
    const ClientResponse response = pending[i].get();
    INFO("group " << i << ": " << response.status << response.end.dump()
                  << response.body.dump());
    CHECK(response.Text() == ExpectedText(calls[i]));
  }
  CheckMemoryIsReleased(&fleet);
}

}  // namespace
}  // namespace harecrank::testing
