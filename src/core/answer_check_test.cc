#include "harecrank/core/answer_check.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

EndpointResponse Signed(unsigned status) {
  EndpointResponse answer;
  answer.status = status;
  answer.is_signed = true;
  return answer;
}

TEST_CASE("A status that no final response has makes no answer") {
  for (const unsigned status : {0U, 99U, 199U, 600U, 999U}) {
    CAPTURE(status);
    CHECK(CheckAnswer(Signed(status), {}) == AnswerFault::kStatus);
  }
  for (const unsigned status : {200U, 304U, 404U, 599U}) {
    CAPTURE(status);
    CHECK_FALSE(CheckAnswer(Signed(status), {}).has_value());
  }
}

TEST_CASE("A success is signed where endpoints sign, and not encoded") {
  EndpointResponse answer = Signed(200);
  answer.is_signed = false;
  CHECK(CheckAnswer(answer, {}) == AnswerFault::kUnsigned);
  CHECK_FALSE(CheckAnswer(answer, {false, false}).has_value());
  answer.is_signed = true;
  answer.is_encoded = true;
  CHECK(CheckAnswer(answer, {}) == AnswerFault::kEncoded);
  answer.status = 500;
  answer.is_signed = false;
  CHECK_FALSE(CheckAnswer(answer, {}).has_value());
}

TEST_CASE("A stream that has begun goes on with a stream") {
  EndpointResponse answer = Signed(200);
  CHECK(CheckAnswer(answer, {true, true}) == AnswerFault::kNotAStream);
  answer.is_event_stream = true;
  CHECK_FALSE(CheckAnswer(answer, {true, true}).has_value());
}

}  // namespace
}  // namespace harecrank
