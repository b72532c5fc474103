#include "src/gateway/http_client.h"

#include <catch2/catch.hpp>
#include <thread>

#include "testing/byte_server.h"

namespace harecrank {
namespace {

using testing::ByteConnection;
using testing::ByteServer;

constexpr Millis kTimeout{2000};

// Returns the body of the answer, or the reason of a failure.
std::string Get(boost::asio::io_context* io,
                const std::shared_ptr<HttpClient>& client) {
  std::string text;
  client->Get("/", kTimeout, [&text](const CallResult& result) {
    const auto* reply = std::get_if<HttpReply>(&result);
    text =
        reply != nullptr ? reply->body() : std::get<CallFailure>(result).reason;
  });
  io->restart();
  io->run();
  return text;
}

std::string Answer(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// Guards against the answer to one order that is taken for that to the next.
TEST_CASE("Bytes behind an answer are not taken for the next one") {
  // `pause` separates the surplus answer from the first one.
  for (const Millis pause : {Millis(0), Millis(50)}) {
    const ByteServer server([pause](ByteConnection& connection) {
      connection.ReadHead();
      const std::string surplus = Answer("surplus");
      if (pause == Millis(0)) {
        connection.Send(Answer("first") + surplus);
      } else {
        connection.Send(Answer("first"));
        std::this_thread::sleep_for(pause);
        connection.Send(surplus);
      }
      if (connection.ReadHead()) {
        connection.Send(Answer("second"));
      }
    });
    boost::asio::io_context io;
    const auto client = std::make_shared<HttpClient>(&io, server.Address());
    CAPTURE(pause.count());
    CHECK(Get(&io, client) == "first");
    std::this_thread::sleep_for(4 * pause);
    CHECK(Get(&io, client) == "first");
  }
}

}  // namespace
}  // namespace harecrank
