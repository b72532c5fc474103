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

Millis BackoffOf(const std::string& text,
                 const std::string& response_date = "") {
  const BackoffHint hint = ParseRetryAfter(text, response_date);
  REQUIRE(std::holds_alternative<Millis>(hint));
  return std::get<Millis>(hint);
}

bool IsUnreadable(const std::string& text,
                  const std::string& response_date = "") {
  return std::holds_alternative<UnreadableBackoff>(
      ParseRetryAfter(text, response_date));
}

TEST_CASE("Retry-After is parsed as seconds, with or without a fraction") {
  CHECK(BackoffOf("3") == Millis(3000));
  CHECK(BackoffOf(" 3 ") == Millis(3000));
  CHECK(BackoffOf("0") == Millis(0));
  CHECK(BackoffOf("2.5") == Millis(2500));
  CHECK(BackoffOf("0.0004") == Millis(1));
  CHECK(BackoffOf("1e3") == Millis(1000000));
}

TEST_CASE("A back-off is limited to kMaxBackoff") {
  CHECK(BackoffOf("1e300") == kMaxBackoff);
  CHECK(BackoffOf("99999999999") == kMaxBackoff);
}

TEST_CASE("An invalid Retry-After value yields UnreadableBackoff") {
  for (const char* text : {"", "soon", "-1", "nan", "inf", "3 s", "3,5",
                           "Fri, 31 Dec", "Fri, 99 Foo 2027 25:61:61 GMT"}) {
    CAPTURE(text);
    CHECK(IsUnreadable(text, kDate));
  }
}

TEST_CASE("A Retry-After date is relative to the response's Date header") {
  CHECK(BackoffOf("Fri, 31 Dec 2027 23:59:57 GMT", kDate) == Millis(7000));
  CHECK(BackoffOf("Sat, 01 Jan 2028 00:00:00 GMT", kDate) == Millis(10000));
  CHECK(BackoffOf("Fri, 31 Dec 2027 23:59:00 GMT", kDate) == Millis(0));
  CHECK(BackoffOf("Fri, 31 Dec 9999 23:59:00 GMT", kDate) == kMaxBackoff);
}

TEST_CASE("A Retry-After date is unreadable without a valid Date header") {
  CHECK(IsUnreadable("Fri, 31 Dec 2027 23:59:57 GMT"));
  CHECK(IsUnreadable("Fri, 31 Dec 2027 23:59:57 GMT", "yesterday"));
}

TEST_CASE("A response without any of the headers decodes to the defaults") {
  const EndpointResponse response = DecodeResponse(Head(200), Names());
  CHECK(response.IsSuccess());
  CHECK_FALSE(response.is_signed);
  CHECK_FALSE(response.not_run);
  CHECK(response.at_fault.empty());
  CHECK(std::holds_alternative<NoRateLimit>(response.limit));
  CHECK(std::holds_alternative<NoBackoff>(response.backoff));
  CHECK(response.leaving == LeavingHint::kNone);
}

TEST_CASE("All headers that describe the endpoint are decoded") {
  ResponseHead head = Head(503);
  head.set("Signature", "s");
  head.set("Not-Run", "1");
  head.set("At-Fault", "e7");
  head.set("Limit", "0.5");
  head.set("Leaving", "1");
  head.set(http::field::retry_after, "2");
  const EndpointResponse response = DecodeResponse(head, Names());
  CHECK(response.status == 503);
  CHECK(response.is_signed);
  CHECK(response.not_run);
  CHECK(response.at_fault == "e7");
  CHECK(std::get<RequestRate>(response.limit) == RequestRate{0.5});
  CHECK(std::get<Millis>(response.backoff) == Millis(2000));
  CHECK(response.leaving == LeavingHint::kLeaving);
}

TEST_CASE("The leaving header is parsed, with 0 meaning not leaving") {
  CHECK(ParseLeavingHint("1") == LeavingHint::kLeaving);
  CHECK(ParseLeavingHint(" 1 ") == LeavingHint::kLeaving);
  CHECK(ParseLeavingHint("0") == LeavingHint::kNone);
  CHECK(ParseLeavingHint("") == LeavingHint::kUnreadable);
  CHECK(ParseLeavingHint("true") == LeavingHint::kUnreadable);
  CHECK(ParseLeavingHint("2") == LeavingHint::kUnreadable);
}

TEST_CASE("Retry-After is ignored in statuses other than 429 and 503") {
  const unsigned status = GENERATE(200U, 302U, 413U, 421U, 500U, 504U);
  ResponseHead head = Head(status);
  head.set(http::field::retry_after, "2");
  CHECK(
      std::holds_alternative<NoBackoff>(DecodeResponse(head, Names()).backoff));
}

}  // namespace
}  // namespace harecrank
