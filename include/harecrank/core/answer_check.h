// Decides by the head of an endpoint's answer whether it may reach a caller.

#ifndef HARECRANK_CORE_ANSWER_CHECK_H_
#define HARECRANK_CORE_ANSWER_CHECK_H_

#include <optional>

#include "harecrank/core/endpoint_response.h"

namespace harecrank {

// Why an answer is not one of the endpoint that a caller may get.
enum class AnswerFault {
  // The status is not one of a final response.
  kStatus,
  // A success that lacks the endpoint's signature.
  kUnsigned,
  // A success whose body is encoded, although no coding was asked for.
  kEncoded,
  // A success that does not go on with the stream that has begun.
  kNotAStream
};

// Returns the name for logs and metrics, such as "unsigned_answer".
const char* NameOf(AnswerFault fault);

// What the answer must be like.
struct ExpectedAnswer {
  // Endpoints sign their successes.
  bool is_signed = true;
  // Events of the answer have reached the caller.
  bool continues_stream = false;
};

// Returns what is wrong with the answer, or nothing.
std::optional<AnswerFault> CheckAnswer(const EndpointResponse& answer,
                                       const ExpectedAnswer& expected);

}  // namespace harecrank

#endif  // HARECRANK_CORE_ANSWER_CHECK_H_
