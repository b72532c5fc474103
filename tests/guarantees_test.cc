// Tests of single guarantees, each with the fault that it covers.

#include <Poco/Net/StreamSocket.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <future>

#include "testing/fleet.h"

namespace harecrank::testing {
namespace {

using nlohmann::json;

constexpr int kEngines = 3;

json GetJson(const std::string& address, const std::string& path) {
  HttpCall call;
  call.address = address;
  call.path = path;
  const auto response = SendHttpRequest(call);
  return response ? json::parse(response.value().body, nullptr, false) : json();
}

bool AllMemoryIsReleased(Fleet* fleet, int engines) {
  for (int i = 0; i < engines; ++i) {
    if (!WaitUntil([&] { return fleet->EngineUsedTokens(i) == 0; })) {
      return false;
    }
  }
  return true;
}

// Sends a request over a new socket and returns the socket without reading the
// response. The time limit of ten minutes is long enough that no resources are
// released because of it during a test.
Poco::Net::StreamSocket SendWithoutReading(const ClientRequest& call) {
  const std::string body = call.body.dump();
  Poco::Net::StreamSocket socket;
  socket.connect(Poco::Net::SocketAddress(call.address));
  const std::string head =
      "POST " + call.path + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " +
      kAccountKey + "\r\nHarecrank-Time-Limit-Ms: 600000\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n";
  const std::string request = head + body;
  socket.sendBytes(request.data(), static_cast<int>(request.size()));
  return socket;
}

TEST_CASE(
    "A request that expired in a stopped sidecar's socket is not started") {
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
  const ClientResponse response = Call(call);
  INFO("response: " << response.body.dump());
  CHECK(response.Outcome() == "unknown");
  fleet.Get("sidecar-0").Signal(SIGCONT);
  // A successful later request shows that the sidecar has read the earlier one.
  CHECK(WaitUntil([&] {
    return Call(Completion(fleet.CallersAddress(1), "later", 50, 4, false))
               .status == 200;
  }));
  CHECK(CountRuns(&fleet, 1, "frozen") == 0);
}

TEST_CASE(
    "A restarted sidecar runs no request with a ticket it issued before") {
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
  const ClientResponse response = Call(call);
  INFO("response: " << response.body.dump());
  CHECK(response.Code() == "ticket_unknown");
  CHECK(response.Outcome() == "unknown");
  CHECK(CountRuns(&fleet, 1, "old life") == 0);
}

TEST_CASE("A request with a revoked ticket is not run") {
  Fleet fleet(FleetOptions{});
  REQUIRE(fleet.WaitReady());
  const std::string ticket =
      FetchTicket(fleet.CallersAddress(0), {{"model", kModel}});
  ClientRequest revoke;
  revoke.address = fleet.CallersAddress(1);
  revoke.method = "DELETE";
  revoke.path = "/v1/tickets/" + ticket;
  const ClientResponse revoked = Call(revoke);
  INFO("response: " << revoked.body.dump());
  CHECK(revoked.body["outcome"] == "not_run");
  ClientRequest call =
      Completion(fleet.CallersAddress(0), "revoked", 50, 4, false);
  call.fields = {{"Harecrank-Ticket", ticket}};
  const ClientResponse response = Call(call);
  CHECK(response.Code() == "ticket_ended");
  CHECK(response.Outcome() == "not_run");
  CHECK(CountRuns(&fleet, kEngines, "revoked") == 0);
}

TEST_CASE("A repeated ticketed call of a plain service runs once") {
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
    const ClientResponse response = Call(call);
    INFO("response " << i << " was " << response.status
                     << response.body.dump());
    CHECK(response.body.value("echo", "") == "rolls-9");
  }
  const json calls = GetJson(fleet.ServiceAddress(0), "/control/calls");
  INFO("the service was called with " << calls.dump());
  CHECK(calls["rolls-9"] == 1);
  CHECK(calls.size() == 1);
}

TEST_CASE(
    "The engine's memory is released when a caller disconnects from a stream") {
  FleetOptions options;
  options.step_ms = 10;
  Fleet fleet(options);
  REQUIRE(fleet.WaitReady());
  {
    auto socket = SendWithoutReading(
        Completion(fleet.CallersAddress(0), "leaves", 100, 5000, true));
    char first[64];
    REQUIRE(socket.receiveBytes(first, sizeof(first)) > 0);
  }
  CHECK(AllMemoryIsReleased(&fleet, kEngines));
  CHECK(WaitUntil(
      [&] { return fleet.Dump("entry-0")["entry"]["requests_in_hand"] == 0; }));
}

TEST_CASE(
    "The engine's memory is released when a caller disconnects in prefill") {
  FleetOptions options;
  // The prefill would take minutes, so that only a cancellation at the engine
  // can end it within the time-out of the test.
  options.prefill_rate = 100;
  options.step_tokens = 50;
  Fleet fleet(options);
  REQUIRE(fleet.WaitReady());
  {
    auto socket = SendWithoutReading(
        Completion(fleet.CallersAddress(0), "leaves", 15000, 10, false));
    REQUIRE(WaitUntil([&] {
      return fleet.EngineUsedTokens(0) + fleet.EngineUsedTokens(1) +
                 fleet.EngineUsedTokens(2) >
             0;
    }));
  }
  CHECK(AllMemoryIsReleased(&fleet, kEngines));
}

TEST_CASE(
    "A stream that resumes on another engine requests only missing tokens") {
  FleetOptions options;
  options.proxied_links = true;
  options.services = 0;
  options.step_ms = 10;
  Fleet fleet(options);
  REQUIRE(fleet.WaitReady());
  const ClientRequest call =
      Completion(fleet.CallersAddress(0), "resumed", 100, 200, true);
  auto pending = std::async(std::launch::async, [&] { return Call(call); });
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
  CHECK(pending.get().Text() == ExpectedText(call));
  int resumed_from = 0;
  for (int i = 0; i < kEngines; ++i) {
    const json resumes = GetJson(fleet.EngineAddress(i), "/control/resumes");
    resumed_from = std::max(resumed_from, resumes.get<int>());
  }
  INFO("largest position that an engine was asked to resume from: "
       << resumed_from);
  CHECK(resumed_from > 0);
}

TEST_CASE(
    "A caller that does not read its stream does not delay other streams") {
  FleetOptions options;
  options.engines = 1;
  options.services = 0;
  options.engine_memory = 400000;
  options.step_ms = 0.2;
  Fleet fleet(options);
  REQUIRE(fleet.WaitReady());
  // The response is far larger than the socket buffers along its path.
  auto unread_stream = SendWithoutReading(
      Completion(fleet.CallersAddress(0), "held", 100, 200000, true));
  REQUIRE(WaitUntil([&] { return fleet.EngineUsedTokens(0) > 0; }));
  for (int i = 0; i < 5; ++i) {
    const ClientRequest call = Completion(
        fleet.CallersAddress(0), "free " + std::to_string(i), 100, 200, true);
    CHECK(Call(call).Text() == ExpectedText(call));
  }
}

TEST_CASE("An entry host at its limit rejects at once with a retry time") {
  FleetOptions options;
  options.max_requests = 2;
  options.step_ms = 20;
  Fleet fleet(options);
  REQUIRE(fleet.WaitReady());
  auto first = SendWithoutReading(
      Completion(fleet.CallersAddress(0), "one", 100, 2000, true));
  auto second = SendWithoutReading(
      Completion(fleet.CallersAddress(0), "two", 100, 2000, true));
  REQUIRE(WaitUntil(
      [&] { return fleet.Dump("entry-0")["entry"]["requests_in_hand"] == 2; }));
  const ClientResponse rejected =
      Call(Completion(fleet.CallersAddress(0), "three", 100, 4, false));
  CHECK(rejected.status == 429);
  CHECK(rejected.Code() == "entry_full");
  CHECK(rejected.Outcome() == "not_run");
  CHECK_FALSE(rejected.retry_after.empty());
  HttpCall health;
  health.address = fleet.CallersAddress(0);
  health.path = "/healthz";
  const auto healthy = SendHttpRequest(health);
  REQUIRE(healthy);
  CHECK(healthy.value().status == 200);
}

TEST_CASE(
    "Requests beyond the queue limit of an overloaded engine are rejected") {
  FleetOptions options;
  options.engines = 1;
  options.services = 0;
  options.engine_memory = 3000;
  options.step_ms = 5;
  options.sidecar_settings = {{"queue_limit", 2}};
  Fleet fleet(options);
  REQUIRE(fleet.WaitReady());
  std::vector<std::future<ClientResponse>> pending;
  for (int i = 0; i < 12; ++i) {
    ClientRequest call =
        Completion(fleet.CallersAddress(i % 2), "flood " + std::to_string(i),
                   1500, 400, true);
    pending.push_back(
        std::async(std::launch::async, [call] { return Call(call); }));
  }
  int answered = 0;
  int rejected = 0;
  for (auto& future : pending) {
    const ClientResponse response = future.get();
    answered += response.end_event == "done" ? 1 : 0;
    rejected +=
        response.Outcome() == "not_run" && response.Code() == "overloaded" ? 1
                                                                           : 0;
  }
  INFO(answered << " answered and " << rejected << " rejected as overloaded");
  CHECK(answered >= 1);
  CHECK(rejected >= 1);
  CHECK(answered + rejected == 12);
}

TEST_CASE("A request over its account's limit is rejected with a retry time") {
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
  const ClientResponse rejected = Call(call);
  CHECK(rejected.Code() == "account_limit");
  CHECK(rejected.Outcome() == "not_run");
  CHECK_FALSE(rejected.retry_after.empty());
}

TEST_CASE("Engines load a model from a store that serves one load at a time") {
  FleetOptions options;
  options.models_loaded = false;
  options.weight_store = true;
  options.max_concurrent_weight_loads = 1;
  options.policy = {{"weight_loads_at_once", 1}};
  Fleet fleet(options);
  REQUIRE(fleet.WaitReady());
  for (int i = 0; i < kEngines; ++i) {
    CHECK(WaitUntil([&] {
      return GetJson(fleet.EngineAddress(i), "/v1/account")["models"].contains(
          kModel);
    }));
  }
  const ClientRequest call =
      Completion(fleet.CallersAddress(0), "loaded", 50, 4, false);
  CHECK(WaitUntil([&] { return Call(call).status == 200; }));
}

TEST_CASE("Orders carry the revision as a fence that never decreases") {
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
      const json loaded =
          GetJson(fleet.EngineAddress(i), "/v1/account")["models"][kModel];
      return loaded["adapters"].value("tagalog", "") == "2";
    }));
    int last = 0;
    for (const json& order :
         GetJson(fleet.EngineAddress(i), "/control/orders")) {
      CHECK(order["fence"].get<int>() >= last);
      last = order["fence"].get<int>();
    }
  }
}

TEST_CASE("An engine rejects an order with an outdated fence") {
  Fleet fleet(FleetOptions{});
  REQUIRE(fleet.WaitReady());
  const auto order = [&](int fence) {
    HttpCall call;
    call.address = fleet.EngineAddress(0);
    call.method = "POST";
    call.path = "/v1/orders";
    call.body =
        json{{"fence", fence}, {"kind", "unload_model"}, {"model", "x"}}.dump();
    const auto response = SendHttpRequest(call);
    return response ? response.value().status : 0;
  };
  CHECK(order(50) == 200);
  CHECK(order(49) == 409);
}

}  // namespace
}  // namespace harecrank::testing
