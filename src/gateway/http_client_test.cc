#include "src/gateway/http_client.h"

#include <catch2/catch.hpp>
#include <thread>

#include "testing/byte_server.h"
#include "testing/malformed_answers.h"

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

// Returns whether a GET of a server that sends `bytes` fails.
bool GetFails(const std::string& bytes) {
  const ByteServer server(testing::SendAndClose(bytes));
  boost::asio::io_context io;
  const auto client = std::make_shared<HttpClient>(&io, server.Address());
  bool has_failed = false;
  client->Get("/", kTimeout, [&has_failed](const CallResult& result) {
    has_failed = std::holds_alternative<CallFailure>(result);
  });
  io.run();
  return has_failed;
}

TEST_CASE("A malformed answer to a call of the gateway is none") {
  for (const testing::AnswerText& answer : testing::MalformedAnswers()) {
    CAPTURE(answer.name);
    CHECK(GetFails(answer.With("")));
  }
}

TEST_CASE("A misframed answer to a call of the gateway is none") {
  for (const testing::AnswerText& answer : testing::MisframedAnswers()) {
    CAPTURE(answer.name);
    CHECK(GetFails(answer.With("")));
  }
}

TEST_CASE("A call of the gateway gets the answer after interim ones") {
  const ByteServer server(testing::SendAndClose(
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: a\r\n\r\n" +
      Answer("well")));
  boost::asio::io_context io;
  const auto client = std::make_shared<HttpClient>(&io, server.Address());
  CHECK(Get(&io, client) == "well");
}

TEST_CASE("An unframed answer to a call of the gateway is cut by a reset") {
  const bool is_reset = GENERATE(true, false);
  const ByteServer server([is_reset](ByteConnection& connection) {
    connection.ReadHead();
    connection.Send("HTTP/1.1 200 OK\r\n\r\nwell");
    std::this_thread::sleep_for(Millis(20));
    if (is_reset) {
      connection.Reset();
    }
  });
  boost::asio::io_context io;
  const auto client = std::make_shared<HttpClient>(&io, server.Address());
  CHECK((Get(&io, client) == "well") == !is_reset);
}

TEST_CASE("A call of the gateway whose answers are all interim fails") {
  std::string interim;
  for (int i = 0; i < 64; ++i) {
    interim += "HTTP/1.1 100 Continue\r\n\r\n";
  }
  CHECK(GetFails(interim + Answer("well")));
}

}  // namespace
}  // namespace harecrank
