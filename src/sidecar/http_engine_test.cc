// Tests of engines that send what no answer may be.

#include "src/sidecar/http_engine.h"

#include <catch2/catch.hpp>
#include <vector>

#include "testing/byte_server.h"
#include "testing/malformed_answers.h"

namespace harecrank {
namespace {

namespace leaf = boost::leaf;
using testing::ByteConnection;
using testing::ByteServer;
using testing::SendAndClose;

// What a caller of the engine got.
struct Generated {
  std::string text;
  // -1 if the call failed.
  std::int64_t length = -1;
};

Generated GenerateBy(const ByteServer::Serve& serve,
                     std::int64_t resume_from = 0) {
  const ByteServer server(serve);
  HttpEngine engine(server.Address());
  EngineRequest request;
  request.timeout = Millis(5000);
  request.resume_from = resume_from;
  Generated generated;
  generated.length = leaf::try_handle_all(
      [&] {
        return engine.Generate(
            request, [] {},
            [&](std::int64_t /*position*/, const std::string& token) {
              generated.text += token;
              return true;
            });
      },
      [] { return std::int64_t{-1}; });
  return generated;
}

std::string Head() { return "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"; }

TEST_CASE("Tokens that follow each other reach the caller of an engine") {
  const Generated generated = GenerateBy(
      SendAndClose(Head() + "{\"p\":2,\"t\":\"a\"}\n{\"p\":3,\"t\":\"b\"}\n"
                            "{\"length\":4}\n"),
      2);
  CHECK(generated.text == "ab");
  CHECK(generated.length == 4);
}

TEST_CASE("A token that does not follow the last one ends an engine's answer") {
  const std::string first = "{\"p\":0,\"t\":\"a\"}\n";
  const std::vector<std::string> lines = {
      "{\"p\":0,\"t\":\"a\"}\n",
      "{\"p\":2,\"t\":\"c\"}\n",
      "{\"p\":-1,\"t\":\"c\"}\n",
      "{\"p\":1.5,\"t\":\"c\"}\n",
      "{\"p\":18446744073709551615,\"t\":\"c\"}\n",
      "{\"t\":\"c\"}\n",
      "{\"p\":1}\n",
      "[1]\n",
      "{\"p\":1,\"t\":\"\xff\"}\n",
      "noise\n",
      "{\"length\":0}\n",
      "{\"length\":2}\n",
      "{\"length\":\"1\"}\n"};
  for (const std::string& line : lines) {
    CAPTURE(line);
    std::string answer = Head();
    answer += first;
    answer += line;
    answer += "{\"p\":1,\"t\":\"b\"}\n{\"length\":2}\n";
    const Generated generated = GenerateBy(SendAndClose(answer));
    CHECK(generated.text == "a");
    CHECK(generated.length == -1);
  }
}

// Both ended the process before: it ran out of memory.
TEST_CASE("A line of an engine that does not end is given up") {
  constexpr std::size_t kPieceBytes = 65536;
  const std::string piece(kPieceBytes, 'x');
  for (const char* status : {"200 OK", "500 Odd"}) {
    CAPTURE(status);
    int pieces = 0;
    const Generated generated = GenerateBy([&](ByteConnection& connection) {
      connection.ReadHead();
      connection.Send(std::string("HTTP/1.1 ") + status + "\r\n\r\n");
      constexpr int kMaxPieces = 1600;
      while (pieces < kMaxPieces && connection.Send(piece)) {
        ++pieces;
      }
    });
    CHECK(generated.length == -1);
    // What fits between the two in the kernel's buffers, many times over.
    CHECK(pieces < 800);
  }
}

// Returns whether a call of the engine at `address` says that its outcome is
// unknown. A rejection would say that the request has not run.
bool IsOutcomeUnknown(const std::string& address) {
  HttpEngine engine(address);
  EngineRequest request;
  request.timeout = Millis(5000);
  return leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(engine.Generate(
            request, [] {},
            [](std::int64_t /*position*/, const std::string& /*token*/) {
              return true;
            }));
        return false;
      },
      [](const EngineError& error) {
        return std::holds_alternative<EngineOutcomeUnknown>(error);
      },
      [] { return false; });
}

TEST_CASE("A malformed answer of an engine does not say that nothing ran") {
  for (const testing::AnswerText& answer : testing::MalformedAnswers()) {
    const ByteServer server(SendAndClose(answer.With("")));
    CAPTURE(answer.name);
    CHECK(IsOutcomeUnknown(server.Address()));
  }
}

}  // namespace
}  // namespace harecrank
