#include "harecrank/core/answer_end.h"

#include "harecrank/core/http_status.h"

namespace harecrank {

bool IsSameProcess(const EndpointId& endpoint, const IdentityAnswer& answer) {
  if (answer.status == http_status::kMisdirected) {
    return false;
  }
  return !answer.id.has_value() || *answer.id == endpoint.value;
}

}  // namespace harecrank
