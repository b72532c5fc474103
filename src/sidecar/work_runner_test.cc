// Tests of plain services that send what no answer may be.

#include "src/sidecar/work_runner.h"

#include <catch2/catch.hpp>
#include <vector>

#include "src/adapters/system_sources.h"
#include "testing/byte_server.h"

namespace harecrank {
namespace {

using testing::ByteConnection;
using testing::ByteServer;
using testing::SendAndClose;

// Returns the message that ends a call of the service at `address`.
wire::Message EndOfCall(const std::string& address) {
  std::vector<wire::Message> sent;
  WorkRunnerPorts ports;
  ports.endpoint_address = address;
  ports.clock = SystemClock();
  BodyMemory memory(64U << 20U);
  ports.answer_memory = &memory;
  ports.send = [&sent](ConnectionId /*to*/, const wire::Message& message) {
    sent.push_back(message);
    return true;
  };
  WorkRunner runner(std::move(ports));
  wire::Submit submit;
  submit.work = wire::Work::kCall;
  submit.method = "GET";
  submit.path = "/";
  submit.window = 100;
  const auto stream =
      std::make_shared<SidecarStream>(1, ConnectionId{}, std::move(submit));
  stream->deadline = SystemClock()() + Millis(5000);
  runner.Run(stream, PrefillPolicy{});
  REQUIRE_FALSE(sent.empty());
  return sent.back();
}

bool IsFinished(const wire::Message& message) {
  return std::holds_alternative<wire::Finished>(message);
}

TEST_CASE("A service's answer without a length is whole if the service runs") {
  const ByteServer server(SendAndClose("HTTP/1.1 200 OK\r\n\r\nall of it"));
  CHECK(IsFinished(EndOfCall(server.Address())));
}

TEST_CASE("A service's answer without a length is cut if the service ended") {
  ByteServer* running = nullptr;
  ByteServer server([&running](ByteConnection& connection) {
    connection.ReadHead();
    connection.Send("HTTP/1.1 200 OK\r\n\r\nhalf of it");
    running->StopListening();
  });
  running = &server;
  CHECK_FALSE(IsFinished(EndOfCall(server.Address())));
}

TEST_CASE("A service's answer that is no answer of HTTP is not delivered") {
  for (const char* bytes : {"HTTP/1.1 200 OK\r\nContent-Ty",
                            "HTTP/1.1 999 Odd\r\nContent-Length: 0",
                            "HTTP/1.1 200 OK\r\nContent-Encoding: "
                            "gzip\r\nContent-Length: 0\r\n\r\n",
                            "HTTP/1.1 999 Odd\r\nContent-Length: 0\r\n\r\n"}) {
    CAPTURE(bytes);
    const ByteServer server(SendAndClose(bytes));
    CHECK_FALSE(IsFinished(EndOfCall(server.Address())));
  }
}

}  // namespace
}  // namespace harecrank
