// What callers get for requests that cannot be served as they are.

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <catch2/catch.hpp>

#include "testing/fleet.h"

namespace harecrank::testing {
namespace {

using nlohmann::json;

// One bad request and what it must be told.
struct BadRequest {
  std::string name;
  ClientRequest call;
  int status;
  std::string code;
};

// Sends bytes as they are and returns all that comes until the other side
// closes.
std::string Exchange(const std::string& address, const std::string& bytes) {
  Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(address)};
  socket.setReceiveTimeout(Poco::Timespan(10, 0));
  socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
  std::string all;
  std::array<char, 4096> piece{};
  int got = 0;
  while ((got = socket.receiveBytes(piece.data(),
                                    static_cast<int>(piece.size()))) > 0) {
    all.append(piece.data(), static_cast<std::size_t>(got));
  }
  return all;
}

std::vector<BadRequest> BadRequests(const std::string& address) {
  const ClientRequest good = Completion(address, "good", 10, 4, false);
  std::vector<BadRequest> bad;
  const auto add = [&](const std::string& name, int status,
                       const std::string& code) -> ClientRequest& {
    bad.push_back(BadRequest{name, good, status, code});
    return bad.back().call;
  };
  add("bad JSON", 400, "bad_json").body = "{not json";
  add("unknown model", 404, "unknown_model").body["model"] = "nobody";
  add("unknown adapter", 404, "unknown_adapter").body["adapter"] = "nobody";
  add("wrong key", 401, "wrong_key").key = "wrong";
  add("oversized body", 413, "body_too_large").body["prompt"] =
      std::string(200000, 'x');
  add("empty prompt", 400, "bad_request").body["prompt"] = "";
  add("wrong type", 400, "bad_request").body["max_tokens"] = "many";
  add("no answer wanted", 400, "bad_request").body["max_tokens"] = 0;
  add("context too long", 400, "context_too_long").body["max_tokens"] = 3000000;
  add("bad time limit", 400, "bad_time_limit").fields = {
      {"Harecrank-Time-Limit-Ms", "soon"}};
  add("not repeatable without a ticket", 428, "ticket_required").fields = {
      {"Harecrank-Not-Repeatable", "order-1"}};
  add("no ticket at all", 400, "bad_ticket").fields = {
      {"Harecrank-Ticket", "abc"}};
  add("wrong method", 405, "method_not_allowed").method = "GET";
  add("unknown path", 404, "not_found").path = "/v2/completions";
  add("unknown service", 404, "unknown_service").path = "/v1/services/none/x";
  ClientRequest& ticket =
      add("ticket for an unknown model", 404, "unknown_model");
  ticket.path = "/v1/tickets";
  ticket.body = {{"model", "nobody"}};
  ClientRequest& chat = add("chat without messages", 400, "bad_request");
  chat.path = "/v1/chat/completions";
  return bad;
}

TEST_CASE("Each bad request is told its fault and that it was not run") {
  FleetOptions options;
  options.entry_settings = {{"max_body_bytes", 100000}};
  Fleet fleet(options);
  REQUIRE(fleet.WaitReady());
  for (const BadRequest& bad : BadRequests(fleet.CallersAddress(0))) {
    const ClientResponse answer = Call(bad.call);
    INFO(bad.name << ": expected " << bad.status << " " << bad.code
                  << " and saw " << answer.status << " " << answer.body.dump());
    CHECK(answer.status == bad.status);
    CHECK(answer.Code() == bad.code);
    CHECK(answer.Outcome() == "not_run");
  }
  CHECK(CountRuns(&fleet, options.engines, "good") == 0);
}

TEST_CASE("A request with two lengths is refused and its connection closed") {
  FleetOptions options;
  Fleet fleet(options);
  REQUIRE(fleet.WaitReady());
  const std::string body = R"({"model":"hare","prompt":"hidden"})";
  const std::string head =
      "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
      "Authorization: Bearer " +
      std::string(kAccountKey) +
      "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
  for (const std::string second :
       {"Content-Length: 3\r\n", "Transfer-Encoding: chunked\r\n"}) {
    // Read whole: the entry host must close, also with bytes left over.
    std::string request = head;
    request.append(second).append("\r\n").append(body);
    const std::string answer = Exchange(fleet.CallersAddress(0), request);
    INFO(answer);
    CHECK(answer.rfind("HTTP/1.1 400", 0) == 0);
    CHECK(answer.find("two_lengths") != std::string::npos);
    CHECK(answer.find("HTTP/1.1", 1) == std::string::npos);
  }
  CHECK(CountRuns(&fleet, options.engines, "hidden") == 0);
}

TEST_CASE("Callers can list the models, with a key") {
  Fleet fleet(FleetOptions{});
  REQUIRE(fleet.WaitReady());
  ClientRequest call;
  call.address = fleet.CallersAddress(0);
  call.path = "/v1/models";
  call.method = "GET";
  const ClientResponse answer = Call(call);
  CHECK(answer.status == 200);
  CHECK(answer.body["data"][0]["id"] == kModel);
  call.key = "wrong";
  CHECK(Call(call).status == 401);
}

TEST_CASE("An operator's call without an operator's key is refused") {
  Fleet fleet(FleetOptions{});
  REQUIRE(fleet.WaitReady());
  ClientRequest call;
  call.address = fleet.OperationsAddress("entry-0");
  call.path = "/rpc/harecrank.v1.Administration/GetInForce";
  call.key = "wrong";
  CHECK(Call(call).status == 403);
  call.key = kOperatorKey;
  CHECK(Call(call).status == 200);
  call.path = "/rpc/harecrank.v1.Administration/Nothing";
  CHECK(Call(call).status == 404);
}

TEST_CASE("A bad document changes nothing and is reported") {
  Fleet fleet(FleetOptions{});
  REQUIRE(fleet.WaitReady());
  json document = fleet.Document();
  document["revision"] = 2;
  document["endpoints"]["endpoint-0"]["link_address"] = "localhost:1";
  fleet.Publish("document", document.dump());
  fleet.Publish("changes", json{{"changes",
                                 {{{"revision", 2},
                                   {"base_digest", "x"},
                                   {"digest", "y"},
                                   {"patch_json", "[]"}}}}}
                               .dump());
  CHECK(WaitUntil([&] {
    const json dump = fleet.Dump("entry-0");
    return dump["configuration"]["invalid"].get<int>() > 0;
  }));
  CHECK(fleet.Dump("entry-0")["configuration"]["revision"] == 1);
}

TEST_CASE("Settings that are wrong stop the process with their place") {
  Fleet fleet(FleetOptions{});
  const std::string path = fleet.Directory() + "/wrong.json";
  FILE* file = fopen(path.c_str(), "w");
  REQUIRE(file != nullptr);
  fputs("{\"node_id\": 7}", file);
  fclose(file);
  Process process({HarecrankBinary(), "entry", "--settings", path},
                  fleet.Directory() + "/wrong.log");
  CHECK(process.Wait() == 3);
}

}  // namespace
}  // namespace harecrank::testing
