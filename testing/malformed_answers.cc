#include "testing/malformed_answers.h"

namespace harecrank::testing {
namespace {

constexpr char kOkLine[] = "HTTP/1.1 200 OK\r\n";
constexpr char kLength[] = "Content-Length: 4\r\n";
constexpr char kChunked[] = "Transfer-Encoding: chunked\r\n";
constexpr char kChunks[] = "4\r\nwell\r\n0\r\n\r\n";

AnswerText WithStatusLine(const std::string& line) {
  return {line, line + "\r\n", kLength, "well"};
}

AnswerText WithField(const std::string& field) {
  return {field, kOkLine, field + "\r\n" + kLength, "well"};
}

AnswerText WithFraming(const std::string& fields, const std::string& body) {
  return {fields, kOkLine, fields, body};
}

}  // namespace

std::vector<AnswerText> MalformedAnswers() {
  std::vector<AnswerText> answers;
  for (const char* line :
       {"HTTP/1.1 000 Odd", "HTTP/1.1 001 Odd", "HTTP/1.1 099 Odd",
        "HTTP/1.1 600 Odd", "HTTP/1.1 999 Odd",
        "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 -20 OK",
        "HTTP/1.1  200 OK", "HTTP/2.0 200 OK", "HTTP/1.2 200 OK",
        "HTTP/0.9 200 OK", "HTTQ/1.1 200 OK", "HTTP/1.1 200 O\x01K"}) {
    answers.push_back(WithStatusLine(line));
  }
  for (const std::string& field :
       {std::string("X Odd: 1"), std::string("X\tOdd: 1"),
        std::string("X\x01Odd: 1"), std::string("X\x7fOdd: 1"),
        std::string("X\0Odd: 1", 8), std::string(": 1"), std::string("X-Odd"),
        std::string("X-Odd : 1"), std::string("X-Odd: a\0b", 10),
        std::string("X-Odd: a\rb"), std::string("X-Odd: a\x01")}) {
    answers.push_back(WithField(field));
  }
  for (const char* field : {"Content-Length : 4", "Content-\x01Length: 4",
                            "Transfer-Encoding : chunked"}) {
    answers.push_back(WithFraming(std::string(field) + "\r\n", "well"));
  }
  answers.push_back(
      {"a first line that is folded", kOkLine, kLength, "well", " X: 1\r\n"});
  answers.push_back(
      {"a name in an interim answer",
       std::string("HTTP/1.1 103 Hints\r\nX Odd: 1\r\n\r\n") + kOkLine, kLength,
       "well"});
  answers.push_back({"a protocol before the answer",
                     std::string("HTTP/1.1 101 Switching\r\n\r\n") + kOkLine,
                     kLength, "well"});
  return answers;
}

std::vector<AnswerText> MisframedAnswers() {
  std::vector<AnswerText> answers;
  for (const char* coding :
       {"gzip", "x-odd", "identity", "", "gzip, chunked", "chunked, gzip",
        "chunked, chunked", "gzip\r\nTransfer-Encoding: chunked", "chunked;q=1",
        "chun\r\n ked"}) {
    answers.push_back(WithFraming(
        std::string("Transfer-Encoding: ") + coding + "\r\n", kChunks));
  }
  for (const char* length :
       {"+4", "-4", "0x4", "4 4", "4, 5", "4.0", "", "99999999999999999999999",
        "4\r\nContent-Length: 5", "1\r\n 2"}) {
    answers.push_back(
        WithFraming(std::string("Content-Length: ") + length + "\r\n", "well"));
  }
  answers.push_back(WithFraming(std::string(kLength) + kChunked, kChunks));
  answers.push_back(WithFraming(std::string(kChunked) + kLength, kChunks));
  answers.push_back(WithFraming(
      std::string(kLength) + "Transfer-Encoding: gzip\r\n", "well"));
  answers.push_back(WithFraming(
      std::string("Transfer-Encoding: gzip\r\n") + kLength, "well"));
  answers.push_back(
      {"chunks of HTTP/1.0", "HTTP/1.0 200 OK\r\n", kChunked, kChunks});
  for (const char* chunks :
       {"zz\r\nwell\r\n0\r\n\r\n", "-4\r\nwell\r\n0\r\n\r\n",
        "4\r\nwellx\r\n0\r\n\r\n", "4;\x01\r\nwell\r\n0\r\n\r\n",
        "fffffffffffffffff\r\nwell\r\n0\r\n\r\n",
        "4\r\nwell\r\n0\r\nX Odd: 1\r\n\r\n"}) {
    answers.push_back(WithFraming(kChunked, chunks));
  }
  return answers;
}

}  // namespace harecrank::testing
