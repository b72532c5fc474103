#include "harecrank/core/answer_check.h"

#include "harecrank/core/answer_form.h"

namespace harecrank {

const char* NameOf(AnswerFault fault) {
  switch (fault) {
    case AnswerFault::kStatus:
      return "odd_status";
    case AnswerFault::kUnsigned:
      return "unsigned_answer";
    case AnswerFault::kEncoded:
      return "encoded_answer";
    case AnswerFault::kNotAStream:
      return "not_a_stream";
  }
  return "unknown";
}

std::optional<AnswerFault> CheckAnswer(const EndpointResponse& answer,
                                       const ExpectedAnswer& expected) {
  if (!IsFinalStatus(answer.status)) {
    return AnswerFault::kStatus;
  }
  if (!answer.IsSuccess()) {
    return std::nullopt;
  }
  if (expected.is_signed && !answer.is_signed) {
    return AnswerFault::kUnsigned;
  }
  if (answer.is_encoded) {
    return AnswerFault::kEncoded;
  }
  if (expected.continues_stream && !answer.is_event_stream) {
    return AnswerFault::kNotAStream;
  }
  return std::nullopt;
}

}  // namespace harecrank
