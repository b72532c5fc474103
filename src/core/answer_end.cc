#include "harecrank/core/answer_end.h"

#include "harecrank/core/http_status.h"

namespace harecrank {

EndVerdict JudgeEnd(const ConnectionEnd& end) {
  if (!end.closed_in_order || end.other_operation_failed || end.was_reset) {
    return EndVerdict::kCutOff;
  }
  return end.request_arrived ? EndVerdict::kMayBeWhole : EndVerdict::kTooEarly;
}

bool IsSameProcess(const EndpointId& endpoint, const IdentityAnswer& answer) {
  if (answer.status == http_status::kMisdirected) {
    return false;
  }
  return !answer.id.has_value() || *answer.id == endpoint.value;
}

}  // namespace harecrank
