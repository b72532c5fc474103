#include "src/gateway/gateway_response.h"

#include <nlohmann/json.hpp>

namespace harecrank {

ResponseHead HeadOf(const GatewayResponse& answer, const ProtocolNames& names,
                    const std::string& request_id) {
  namespace http = boost::beast::http;
  ResponseHead head;
  head.result(answer.status);
  head.set(names.request_id, request_id);
  head.set(http::field::content_type, "application/json");
  if (answer.retry_after.has_value()) {
    constexpr double kMillisPerSecond = 1000;
    const double seconds =
        static_cast<double>(answer.retry_after->count()) / kMillisPerSecond;
    head.set(http::field::retry_after, std::to_string(seconds));
  }
  return head;
}

std::string BodyOf(const GatewayResponse& answer) {
  const nlohmann::json body = {
      {"error", answer.code},
      {"outcome", answer.not_run ? "not_run" : "failed"}};
  return body.dump() + "\n";
}

}  // namespace harecrank
