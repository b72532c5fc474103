// The whole path with real processes, without faults.

#include <catch2/catch.hpp>

#include "testing/fleet.h"

namespace harecrank::testing {
namespace {

TEST_CASE("A short prompt gets its whole answer") {
  Fleet fleet(FleetOptions{});
  REQUIRE(fleet.WaitReady());
  const ClientRequest call =
      Completion(fleet.CallersAddress(0), "short", 100, 8, false);
  const ClientResponse answer = Call(call);
  INFO("the answer was " << answer.body.dump());
  CHECK(answer.status == 200);
  CHECK(answer.Text() == ExpectedText(call));
}

TEST_CASE("A streamed answer brings each token once and ends explicitly") {
  Fleet fleet(FleetOptions{});
  REQUIRE(fleet.WaitReady());
  const ClientRequest call =
      Completion(fleet.CallersAddress(0), "streamed", 100, 40, true);
  const ClientResponse answer = Call(call);
  INFO("the answer ended with " << answer.end.dump());
  CHECK(answer.parts.size() == 40);
  CHECK(answer.Text() == ExpectedText(call));
  CHECK(answer.end_event == "done");
}

TEST_CASE("A prompt larger than one engine is answered by a group") {
  FleetOptions options;
  options.engine_memory = 20000;
  Fleet fleet(options);
  REQUIRE(fleet.WaitReady());
  const ClientRequest call =
      Completion(fleet.CallersAddress(0), "large", 45000, 8, true);
  const ClientResponse answer = Call(call);
  INFO("the answer was " << answer.status << answer.body.dump()
                         << answer.end.dump());
  CHECK(answer.Text() == ExpectedText(call));
  CHECK(answer.end_event == "done");
  CHECK(answer.end["members"] == 3);
  for (int i = 0; i < options.engines; ++i) {
    INFO("engine " << i << " must hold nothing once the answer is whole");
    CHECK(WaitUntil([&] { return fleet.EngineUsedTokens(i) == 0; }));
  }
}

TEST_CASE("A plain service is called through the same door") {
  Fleet fleet(FleetOptions{});
  REQUIRE(fleet.WaitReady());
  ClientRequest call;
  call.address = fleet.CallersAddress(0);
  call.path = "/v1/services/orders/confirm?n=1";
  call.body = "order-17";
  const ClientResponse answer = Call(call);
  INFO("the answer was " << answer.status << answer.body.dump());
  CHECK(answer.status == 200);
  CHECK(answer.body.value("echo", "") == "order-17");
  CHECK(answer.body.value("path", "") == "/confirm");
}

TEST_CASE("A ticketed request runs once, and asking again brings its answer") {
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
  INFO("the first answer was " << first.status << first.body.dump());
  CHECK(first.Text() == ExpectedText(call));
  call.address = fleet.CallersAddress(1);
  const ClientResponse again = Call(call);
  INFO("the second answer was " << again.status << again.body.dump());
  CHECK(again.Text() == first.Text());
  CHECK(CountRuns(&fleet, 3, "ticketed") == 1);
}

}  // namespace
}  // namespace harecrank::testing
