// End-to-end tests with real processes and without faults.

#include <catch2/catch.hpp>

#include "testing/fleet.h"

namespace harecrank::testing {
namespace {

TEST_CASE("A short prompt gets its complete response") {
  Fleet fleet(FleetOptions{});
  REQUIRE(fleet.WaitReady());
  const ClientRequest call =
      Completion(fleet.CallersAddress(0), "short", 100, 8, false);
  const ClientResponse response = Call(call);
  INFO("the response was " << response.body.dump());
  CHECK(response.status == 200);
  CHECK(response.Text() == ExpectedText(call));
}

TEST_CASE("A streamed response has each token once and an explicit end") {
  Fleet fleet(FleetOptions{});
  REQUIRE(fleet.WaitReady());
  const ClientRequest call =
      Completion(fleet.CallersAddress(0), "streamed", 100, 40, true);
  const ClientResponse response = Call(call);
  INFO("the response ended with " << response.end.dump());
  CHECK(response.parts.size() == 40);
  CHECK(response.Text() == ExpectedText(call));
  CHECK(response.end_event == "done");
}

TEST_CASE("A prompt larger than one engine is answered by a group") {
  FleetOptions options;
  options.engine_memory = 20000;
  Fleet fleet(options);
  REQUIRE(fleet.WaitReady());
  const ClientRequest call =
      Completion(fleet.CallersAddress(0), "large", 45000, 8, true);
  const ClientResponse response = Call(call);
  INFO("the response was " << response.status << response.body.dump()
                           << response.end.dump());
  CHECK(response.Text() == ExpectedText(call));
  CHECK(response.end_event == "done");
  CHECK(response.end["members"] == 3);
  for (int i = 0; i < options.engines; ++i) {
    INFO("engine " << i
                   << " must use no memory after the response is complete");
    CHECK(WaitUntil([&] { return fleet.EngineUsedTokens(i) == 0; }));
  }
}

TEST_CASE("A plain service is called through an entry host") {
  Fleet fleet(FleetOptions{});
  REQUIRE(fleet.WaitReady());
  ClientRequest call;
  call.address = fleet.CallersAddress(0);
  call.path = "/v1/services/orders/confirm?n=1";
  call.body = "order-17";
  const ClientResponse response = Call(call);
  INFO("the response was " << response.status << response.body.dump());
  CHECK(response.status == 200);
  CHECK(response.body.value("echo", "") == "order-17");
  CHECK(response.body.value("path", "") == "/confirm");
}

TEST_CASE("A repeated ticketed request runs once and gets the same response") {
  Fleet fleet(FleetOptions{});
  REQUIRE(fleet.WaitReady());
  const std::string ticket =
      FetchTicket(fleet.CallersAddress(0), {{"model", kModel}});
  REQUIRE_FALSE(ticket.empty());
  ClientRequest call =
      Completion(fleet.CallersAddress(0), "ticketed", 100, 8, false);
  call.fields = {{"Harecrank-Not-Repeatable", "order-1"},
                 {"Harecrank-Ticket", ticket}};
  const ClientResponse first = Call(call);
  INFO("the first response was " << first.status << first.body.dump());
  CHECK(first.Text() == ExpectedText(call));
  call.address = fleet.CallersAddress(1);
  const ClientResponse again = Call(call);
  INFO("the second response was " << again.status << again.body.dump());
  CHECK(again.Text() == first.Text());
  CHECK(CountRuns(&fleet, 3, "ticketed") == 1);
}

}  // namespace
}  // namespace harecrank::testing
