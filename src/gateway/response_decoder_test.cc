#include "src/gateway/response_decoder.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

namespace http = boost::beast::http;

ProtocolNames Names() {
  ProtocolNames names;
  names.answer_signature = "Signature";
  names.not_run = "Not-Run";
  names.endpoint_at_fault = "At-Fault";
  names.request_limit = "Limit";
  names.leaving = "Leaving";
  return names;
}

ResponseHead Head(unsigned status) {
  ResponseHead head;
  head.result(status);
  return head;
}

constexpr const char* kDate = "Fri, 31 Dec 2027 23:59:50 GMT";

Millis RestOf(const std::string& text, const std::string& answered = "") {
  const BackoffHint word = ParseRetryAfter(text, answered);
  REQUIRE(std::holds_alternative<Millis>(word));
  return std::get<Millis>(word);
}

bool IsUnreadable(const std::string& text, const std::string& answered = "") {
  return std::holds_alternative<UnreadableBackoff>(
      ParseRetryAfter(text, answered));
}

TEST_CASE("A rest is read in seconds, with a fraction or without") {
  CHECK(RestOf("3") == Millis(3000));
  CHECK(RestOf(" 3 ") == Millis(3000));
  CHECK(RestOf("0") == Millis(0));
  CHECK(RestOf("2.5") == Millis(2500));
  CHECK(RestOf("0.0004") == Millis(1));
  CHECK(RestOf("1e3") == Millis(1000000));
}

TEST_CASE("A rest beyond the longest is the longest") {
  CHECK(RestOf("1e300") == kMaxBackoff);
  CHECK(RestOf("99999999999") == kMaxBackoff);
}

TEST_CASE("A rest that is no time is told as such") {
  for (const char* text : {"", "soon", "-1", "nan", "inf", "3 s", "3,5",
                           "Fri, 31 Dec", "Fri, 99 Foo 2027 25:61:61 GMT"}) {
    CAPTURE(text);
    CHECK(IsUnreadable(text, kDate));
  }
}

TEST_CASE("A date counts from the answer's own date") {
  CHECK(RestOf("Fri, 31 Dec 2027 23:59:57 GMT", kDate) == Millis(7000));
  CHECK(RestOf("Sat, 01 Jan 2028 00:00:00 GMT", kDate) == Millis(10000));
  CHECK(RestOf("Fri, 31 Dec 2027 23:59:00 GMT", kDate) == Millis(0));
  CHECK(RestOf("Fri, 31 Dec 9999 23:59:00 GMT", kDate) == kMaxBackoff);
}

TEST_CASE("A date in an answer that has none itself cannot be read") {
  CHECK(IsUnreadable("Fri, 31 Dec 2027 23:59:57 GMT"));
  CHECK(IsUnreadable("Fri, 31 Dec 2027 23:59:57 GMT", "yesterday"));
}

TEST_CASE("An answer without any of the headers says nothing") {
  const EndpointResponse answer = DecodeResponse(Head(200), Names());
  CHECK(answer.IsSuccess());
  CHECK_FALSE(answer.is_signed);
  CHECK_FALSE(answer.not_run);
  CHECK(answer.at_fault.empty());
  CHECK(std::holds_alternative<NoRateLimit>(answer.limit));
  CHECK(std::holds_alternative<NoBackoff>(answer.backoff));
  CHECK(answer.leaving == LeavingHint::kNone);
}

TEST_CASE("All that an answer says of its endpoint is read") {
  ResponseHead head = Head(503);
  head.set("Signature", "s");
  head.set("Not-Run", "1");
  head.set("At-Fault", "e7");
  head.set("Limit", "0.5");
  head.set("Leaving", "1");
  head.set(http::field::retry_after, "2");
  const EndpointResponse answer = DecodeResponse(head, Names());
  CHECK(answer.status == 503);
  CHECK(answer.is_signed);
  CHECK(answer.not_run);
  CHECK(answer.at_fault == "e7");
  CHECK(std::get<RequestRate>(answer.limit) == RequestRate{0.5});
  CHECK(std::get<Millis>(answer.backoff) == Millis(2000));
  CHECK(answer.leaving == LeavingHint::kLeaving);
}

TEST_CASE("An endpoint leaves unless it says that it does not") {
  CHECK(ParseLeavingHint("1") == LeavingHint::kLeaving);
  CHECK(ParseLeavingHint(" 1 ") == LeavingHint::kLeaving);
  CHECK(ParseLeavingHint("0") == LeavingHint::kNone);
  CHECK(ParseLeavingHint("") == LeavingHint::kUnreadable);
  CHECK(ParseLeavingHint("true") == LeavingHint::kUnreadable);
  CHECK(ParseLeavingHint("2") == LeavingHint::kUnreadable);
}

TEST_CASE("Only an answer that turns a request away asks for rest") {
  const unsigned status = GENERATE(200U, 302U, 413U, 421U, 500U, 504U);
  ResponseHead head = Head(status);
  head.set(http::field::retry_after, "2");
  CHECK(
      std::holds_alternative<NoBackoff>(DecodeResponse(head, Names()).backoff));
}

}  // namespace
}  // namespace harecrank
