// Prompts larger than an engine, under failure.

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

// Waits until two engines hold parts of a prompt, and returns the one that
// holds the least, which is not the one that will generate, or the most.
int Member(Fleet* fleet, bool lead) {
  int found = -1;
  WaitUntil([&] {
    int holding = 0;
    std::int64_t best = 0;
    for (int i = 0; i < kEngines; ++i) {
      const std::int64_t used = fleet->EngineUsedTokens(i);
      holding += used > 0 ? 1 : 0;
      const bool better = lead ? used > best : used < best || best == 0;
      if (used > 0 && better) {
        best = used;
        found = i;
      }
    }
    return holding >= 2;
  });
  return found;
}

void CheckMemoryIsBack(Fleet* fleet) {
  for (int i = 0; i < kEngines; ++i) {
    INFO("engine " << i << " still holds " << fleet->EngineUsedTokens(i));
    CHECK(WaitUntil([&] { return fleet->EngineUsedTokens(i) <= 0; }));
  }
}

TEST_CASE(
    "A group whose member's engine dies in prefill gives the whole answer") {
  Fleet fleet(GroupOptions());
  REQUIRE(fleet.WaitReady());
  const ClientRequest call = GroupCall(fleet, "engine dies");
  auto answer = std::async(std::launch::async, [&] { return Call(call); });
  const int member = Member(&fleet, false);
  REQUIRE(member >= 0);
  fleet.Get("engine-" + std::to_string(member)).Kill();
  const ClientResponse got = answer.get();
  INFO(got.status << " " << got.end.dump() << got.body.dump());
  CHECK(got.Text() == ExpectedText(call));
  CheckMemoryIsBack(&fleet);
}

TEST_CASE("A group whose member's sidecar dies in prefill gives the answer") {
  Fleet fleet(GroupOptions());
  REQUIRE(fleet.WaitReady());
  const ClientRequest call = GroupCall(fleet, "sidecar dies");
  auto answer = std::async(std::launch::async, [&] { return Call(call); });
  const int member = Member(&fleet, false);
  REQUIRE(member >= 0);
  const std::string name = "sidecar-" + std::to_string(member);
  fleet.Get(name).Kill();
  const ClientResponse got = answer.get();
  INFO(got.status << " " << got.end.dump() << got.body.dump());
  CHECK(got.Text() == ExpectedText(call));
  fleet.Restart(name);
  CheckMemoryIsBack(&fleet);
}

TEST_CASE("A group that loses a member while it generates goes on in place") {
  Fleet fleet(GroupOptions());
  REQUIRE(fleet.WaitReady());
  const ClientRequest call = GroupCall(fleet, "loses one");
  auto answer = std::async(std::launch::async, [&] { return Call(call); });
  const int member = Member(&fleet, false);
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
  const ClientResponse got = answer.get();
  INFO(got.status << " " << got.parts.size() << " parts " << got.end.dump());
  CHECK(got.Text() == ExpectedText(call));
  CheckMemoryIsBack(&fleet);
}

TEST_CASE("A prompt that no group can ever hold is refused without a wait") {
  Fleet fleet(GroupOptions());
  REQUIRE(fleet.WaitReady());
  ClientRequest call =
      Completion(fleet.CallersAddress(0), "too large", 90000, 4, false);
  // Ten minutes: the answer must not wait for it.
  call.fields = {{"Harecrank-Time-Limit-Ms", "600000"}};
  const ClientResponse answer = Call(call);
  CHECK(answer.Code() == "larger_than_engine");
  CHECK(answer.Outcome() == "not_run");
}

TEST_CASE("A group's memory comes back when its entry host dies") {
  Fleet fleet(GroupOptions());
  REQUIRE(fleet.WaitReady());
  const ClientRequest call = GroupCall(fleet, "entry dies");
  auto answer = std::async(std::launch::async, [&] { return Call(call); });
  REQUIRE(Member(&fleet, false) >= 0);
  fleet.Get("entry-0").Kill();
  CHECK(answer.get().end_event.empty());
  CheckMemoryIsBack(&fleet);
}

TEST_CASE("Groups that want more than there is all get their answers") {
  Fleet fleet(GroupOptions());
  REQUIRE(fleet.WaitReady());
  std::vector<ClientRequest> calls;
  std::vector<std::future<ClientResponse>> answers;
  for (int i = 0; i < 5; ++i) {
    ClientRequest call =
        Completion(fleet.CallersAddress(i % 2), "crowd " + std::to_string(i),
                   30000, 10, true);
    call.fields = {{"Harecrank-Time-Limit-Ms", "60000"}};
    calls.push_back(call);
  }
  answers.reserve(calls.size());
  for (const ClientRequest& call : calls) {
    answers.push_back(
        std::async(std::launch::async, [&call] { return Call(call); }));
  }
  for (std::size_t i = 0; i < calls.size(); ++i) {
    const ClientResponse got = answers[i].get();
    INFO("group " << i << ": " << got.status << got.end.dump()
                  << got.body.dump());
    CHECK(got.Text() == ExpectedText(calls[i]));
  }
  CheckMemoryIsBack(&fleet);
}

}  // namespace
}  // namespace harecrank::testing
