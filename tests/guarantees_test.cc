// Single promises, each with the fault that it is made for.

#include <Poco/Net/StreamSocket.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <future>

#include "testing/fleet.h"

namespace harecrank::testing {
namespace {

using nlohmann::json;

constexpr int kEngines = 3;

json Get(const std::string& address, const std::string& path) {
  HttpCall call;
  call.address = address;
  call.path = path;
  const auto answer = SendHttpRequest(call);
  return answer ? json::parse(answer.value().body, nullptr, false) : json();
}

bool AllMemoryIsBack(Fleet* fleet, int engines) {
  for (int i = 0; i < engines; ++i) {
    if (!WaitUntil([&] { return fleet->EngineUsedTokens(i) == 0; })) {
      return false;
    }
  }
  return true;
}

// Sends a request over a socket of its own and returns it unread. Its time
// limit is far off, so that nothing that it holds is freed by its deadline.
Poco::Net::StreamSocket SendAndHold(const ClientRequest& call) {
  const std::string body = call.body.dump();
  Poco::Net::StreamSocket socket;
  socket.connect(Poco::Net::SocketAddress(call.address));
  const std::string head =
      "POST " + call.path + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " +
      kAccountKey + "\r\nHarecrank-Time-Limit-Ms: 600000\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n";
  const std::string whole = head + body;
  socket.sendBytes(whole.data(), static_cast<int>(whole.size()));
  return socket;
}

TEST_CASE("A message that sat in a frozen sidecar's socket does not start") {
  FleetOptions options;
  options.engines = 1;
  options.services = 0;
  Fleet fleet(options);
  REQUIRE(fleet.WaitReady());
  const std::string ticket =
      FetchTicket(fleet.CallersAddress(0), {{"model", kModel}});
  REQUIRE_FALSE(ticket.empty());
  fleet.Get("sidecar-0").Signal(SIGSTOP);
  ClientRequest call =
      Completion(fleet.CallersAddress(0), "frozen", 50, 4, false);
  call.fields = {{"Harecrank-Ticket", ticket},
                 {"Harecrank-Time-Limit-Ms", "800"}};
  const ClientResponse answer = Call(call);
  INFO("told " << answer.body.dump());
  CHECK(answer.Outcome() == "unknown");
  fleet.Get("sidecar-0").Signal(SIGCONT);
  // A later request shows that the sidecar has read all that came before.
  CHECK(WaitUntil([&] {
    return Call(Completion(fleet.CallersAddress(1), "later", 50, 4, false))
               .status == 200;
  }));
  CHECK(CountRuns(&fleet, 1, "frozen") == 0);
}

TEST_CASE("A sidecar without memory runs no ticket of its life before") {
  FleetOptions options;
  options.engines = 1;
  options.services = 0;
  Fleet fleet(options);
  REQUIRE(fleet.WaitReady());
  const std::string ticket =
      FetchTicket(fleet.CallersAddress(0), {{"model", kModel}});
  fleet.Get("sidecar-0").Kill();
  fleet.Restart("sidecar-0");
  REQUIRE(fleet.WaitReady());
  ClientRequest call =
      Completion(fleet.CallersAddress(1), "old life", 50, 4, false);
  call.fields = {{"Harecrank-Ticket", ticket}};
  const ClientResponse answer = Call(call);
  INFO("told " << answer.body.dump());
  CHECK(answer.Code() == "ticket_unknown");
  CHECK(answer.Outcome() == "unknown");
  CHECK(CountRuns(&fleet, 1, "old life") == 0);
}

TEST_CASE("A revoked ticket's request is truly not run") {
  Fleet fleet(FleetOptions{});
  REQUIRE(fleet.WaitReady());
  const std::string ticket =
      FetchTicket(fleet.CallersAddress(0), {{"model", kModel}});
  ClientRequest revoke;
  revoke.address = fleet.CallersAddress(1);
  revoke.method = "DELETE";
  revoke.path = "/v1/tickets/" + ticket;
  const ClientResponse revoked = Call(revoke);
  INFO("told " << revoked.body.dump());
  CHECK(revoked.body["outcome"] == "not_run");
  ClientRequest call =
      Completion(fleet.CallersAddress(0), "revoked", 50, 4, false);
  call.fields = {{"Harecrank-Ticket", ticket}};
  const ClientResponse answer = Call(call);
  CHECK(answer.Code() == "ticket_ended");
  CHECK(answer.Outcome() == "not_run");
  CHECK(CountRuns(&fleet, kEngines, "revoked") == 0);
}

TEST_CASE("A plain service's call that may not be repeated runs once") {
  Fleet fleet(FleetOptions{});
  REQUIRE(fleet.WaitReady());
  const std::string ticket =
      FetchTicket(fleet.CallersAddress(0), {{"service", "orders"}});
  ClientRequest call;
  call.path = "/v1/services/orders/confirm";
  call.body = "rolls-9";
  call.fields = {{"Harecrank-Ticket", ticket}};
  for (int i = 0; i < 4; ++i) {
    call.address = fleet.CallersAddress(i % 2);
    const ClientResponse answer = Call(call);
    INFO("answer " << i << " was " << answer.status << answer.body.dump());
    CHECK(answer.body.value("echo", "") == "rolls-9");
  }
  const json calls = Get(fleet.ServiceAddress(0), "/control/calls");
  INFO("the service was called with " << calls.dump());
  CHECK(calls["rolls-9"] == 1);
  CHECK(calls.size() == 1);
}

TEST_CASE("A caller that leaves mid-stream releases the engine's memory") {
  FleetOptions options;
  options.step_ms = 10;
  Fleet fleet(options);
  REQUIRE(fleet.WaitReady());
  {
    auto socket = SendAndHold(
        Completion(fleet.CallersAddress(0), "leaves", 100, 5000, true));
    char first[64];
    REQUIRE(socket.receiveBytes(first, sizeof(first)) > 0);
  }
  CHECK(AllMemoryIsBack(&fleet, kEngines));
  CHECK(WaitUntil(
      [&] { return fleet.Dump("entry-0")["entry"]["requests_in_hand"] == 0; }));
}

TEST_CASE("A caller that leaves during prefill releases the engine's memory") {
  FleetOptions options;
  // The prefill would take minutes: only a cancel at the engine can end it.
  options.prefill_rate = 100;
  options.step_tokens = 50;
  Fleet fleet(options);
  REQUIRE(fleet.WaitReady());
  {
    auto socket = SendAndHold(
        Completion(fleet.CallersAddress(0), "leaves", 15000, 10, false));
    REQUIRE(WaitUntil([&] {
      return fleet.EngineUsedTokens(0) + fleet.EngineUsedTokens(1) +
                 fleet.EngineUsedTokens(2) >
             0;
    }));
  }
  CHECK(AllMemoryIsBack(&fleet, kEngines));
}

TEST_CASE("A stream that goes on elsewhere asks only for what is missing") {
  FleetOptions options;
  options.proxied_links = true;
  options.services = 0;
  options.step_ms = 10;
  Fleet fleet(options);
  REQUIRE(fleet.WaitReady());
  const ClientRequest call =
      Completion(fleet.CallersAddress(0), "resumed", 100, 200, true);
  auto answer = std::async(std::launch::async, [&] { return Call(call); });
  REQUIRE(WaitUntil([&] {
    return fleet.Metrics("entry-0").find(
               "harecrank_time_between_tokens_seconds_count 0") ==
           std::string::npos;
  }));
  for (int i = 0; i < kEngines; ++i) {
    if (fleet.EngineUsedTokens(i) > 0) {
      fleet.SetFault("link-proxy-" + std::to_string(i), {{"cut", true}});
    }
  }
  CHECK(answer.get().Text() == ExpectedText(call));
  int resumed_from = 0;
  for (int i = 0; i < kEngines; ++i) {
    const json resumes = Get(fleet.EngineAddress(i), "/control/resumes");
    resumed_from = std::max(resumed_from, resumes.get<int>());
  }
  INFO("the second engine was asked from position " << resumed_from);
  CHECK(resumed_from > 0);
}

TEST_CASE("A caller that does not read holds back no other stream") {
  FleetOptions options;
  options.engines = 1;
  options.services = 0;
  options.engine_memory = 400000;
  options.step_ms = 0.2;
  Fleet fleet(options);
  REQUIRE(fleet.WaitReady());
  // Far more than the sockets on the way can hold.
  auto held = SendAndHold(
      Completion(fleet.CallersAddress(0), "held", 100, 200000, true));
  REQUIRE(WaitUntil([&] { return fleet.EngineUsedTokens(0) > 0; }));
  for (int i = 0; i < 5; ++i) {
    const ClientRequest call = Completion(
        fleet.CallersAddress(0), "free " + std::to_string(i), 100, 200, true);
    CHECK(Call(call).Text() == ExpectedText(call));
  }
}

TEST_CASE(
    "An entry host that is full refuses at once and says when to return") {
  FleetOptions options;
  options.max_requests = 2;
  options.step_ms = 20;
  Fleet fleet(options);
  REQUIRE(fleet.WaitReady());
  auto first =
      SendAndHold(Completion(fleet.CallersAddress(0), "one", 100, 2000, true));
  auto second =
      SendAndHold(Completion(fleet.CallersAddress(0), "two", 100, 2000, true));
  REQUIRE(WaitUntil(
      [&] { return fleet.Dump("entry-0")["entry"]["requests_in_hand"] == 2; }));
  const ClientResponse refused =
      Call(Completion(fleet.CallersAddress(0), "three", 100, 4, false));
  CHECK(refused.status == 429);
  CHECK(refused.Code() == "entry_full");
  CHECK(refused.Outcome() == "not_run");
  CHECK_FALSE(refused.retry_after.empty());
  HttpCall health;
  health.address = fleet.CallersAddress(0);
  health.path = "/healthz";
  const auto healthy = SendHttpRequest(health);
  REQUIRE(healthy);
  CHECK(healthy.value().status == 200);
}

TEST_CASE("What one engine of the overloaded fleet cannot start is refused") {
  FleetOptions options;
  options.engines = 1;
  options.services = 0;
  options.engine_memory = 3000;
  options.step_ms = 5;
  options.sidecar_settings = {{"queue_limit", 2}};
  Fleet fleet(options);
  REQUIRE(fleet.WaitReady());
  std::vector<std::future<ClientResponse>> answers;
  for (int i = 0; i < 12; ++i) {
    ClientRequest call =
        Completion(fleet.CallersAddress(i % 2), "flood " + std::to_string(i),
                   1500, 400, true);
    answers.push_back(
        std::async(std::launch::async, [call] { return Call(call); }));
  }
  int answered = 0;
  int refused = 0;
  for (auto& future : answers) {
    const ClientResponse answer = future.get();
    answered += answer.end_event == "done" ? 1 : 0;
    refused +=
        answer.Outcome() == "not_run" && answer.Code() == "overloaded" ? 1 : 0;
  }
  INFO(answered << " answered and " << refused << " refused as overloaded");
  CHECK(answered >= 1);
  CHECK(refused >= 1);
  CHECK(answered + refused == 12);
}

TEST_CASE("An account over its limit is refused and told when to return") {
  Fleet fleet(FleetOptions{});
  REQUIRE(fleet.WaitReady());
  json account = fleet.Document()["accounts"]["tinta"];
  account["tokens_per_second"] = 10;
  REQUIRE(fleet.PlanAndPublish(
              "entry-0",
              {{"put_account", {{"id", "tinta"}, {"account", account}}}}) == 2);
  REQUIRE(WaitUntil(
      [&] { return fleet.Dump("entry-0")["configuration"]["revision"] == 2; }));
  const ClientRequest call =
      Completion(fleet.CallersAddress(0), "limit", 1000, 4, false);
  CHECK(Call(call).status == 200);
  const ClientResponse refused = Call(call);
  CHECK(refused.Code() == "account_limit");
  CHECK(refused.Outcome() == "not_run");
  CHECK_FALSE(refused.retry_after.empty());
}

TEST_CASE("Engines load a model within the rate of the weight store") {
  FleetOptions options;
  options.models_loaded = false;
  options.weight_store = true;
  options.max_concurrent_weight_loads = 1;
  options.policy = {{"weight_loads_at_once", 1}};
  Fleet fleet(options);
  REQUIRE(fleet.WaitReady());
  for (int i = 0; i < kEngines; ++i) {
    CHECK(WaitUntil([&] {
      return Get(fleet.EngineAddress(i), "/v1/account")["models"].contains(
          kModel);
    }));
  }
  const ClientRequest call =
      Completion(fleet.CallersAddress(0), "loaded", 50, 4, false);
  CHECK(WaitUntil([&] { return Call(call).status == 200; }));
}

TEST_CASE("Orders carry the revision as a fence that never goes back") {
  Fleet fleet(FleetOptions{});
  REQUIRE(fleet.WaitReady());
  json model = fleet.Document()["models"][kModel];
  model["adapters"] = {{"tagalog", {{"version", "1"}}}};
  REQUIRE(fleet.PlanAndPublish(
              "entry-0", {{"put_model", {{"id", kModel}, {"model", model}}}}) ==
          2);
  model["adapters"]["tagalog"]["version"] = "2";
  REQUIRE(WaitUntil(
      [&] { return fleet.Dump("entry-0")["configuration"]["revision"] == 2; }));
  REQUIRE(fleet.PlanAndPublish(
              "entry-0", {{"put_model", {{"id", kModel}, {"model", model}}}}) ==
          3);
  for (int i = 0; i < kEngines; ++i) {
    CHECK(WaitUntil([&] {
      const json held =
          Get(fleet.EngineAddress(i), "/v1/account")["models"][kModel];
      return held["adapters"].value("tagalog", "") == "2";
    }));
    int last = 0;
    for (const json& order : Get(fleet.EngineAddress(i), "/control/orders")) {
      CHECK(order["fence"].get<int>() >= last);
      last = order["fence"].get<int>();
    }
  }
}

TEST_CASE("An engine refuses an order with an older fence") {
  Fleet fleet(FleetOptions{});
  REQUIRE(fleet.WaitReady());
  const auto order = [&](int fence) {
    HttpCall call;
    call.address = fleet.EngineAddress(0);
    call.method = "POST";
    call.path = "/v1/orders";
    call.body =
        json{{"fence", fence}, {"kind", "unload_model"}, {"model", "x"}}.dump();
    const auto answer = SendHttpRequest(call);
    return answer ? answer.value().status : 0;
  };
  CHECK(order(50) == 200);
  CHECK(order(49) == 409);
}

}  // namespace
}  // namespace harecrank::testing
