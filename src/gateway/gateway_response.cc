#include "src/gateway/gateway_response.h"

#include <nlohmann/json.hpp>

namespace harecrank {

ResponseHead HeadOf(const GatewayResponse& response, const ProtocolNames& names,
                    const std::string& request_id) {
  namespace http = boost::beast::http;
  ResponseHead head;
  head.result(response.status);
  head.set(names.request_id, request_id);
  head.set(http::field::content_type, "application/json");
  if (response.retry_after.has_value()) {
    constexpr double kMillisPerSecond = 1000;
    const double seconds =
        static_cast<double>(response.retry_after->count()) / kMillisPerSecond;
    head.set(http::field::retry_after, std::to_string(seconds));
  }
  return head;
}

std::string BodyOf(const GatewayResponse& response) {
  const nlohmann::json body = {
      {"error", response.code},
      {"outcome", response.not_run ? "not_run" : "failed"}};
  return body.dump() + "\n";
}

}  // namespace harecrank
