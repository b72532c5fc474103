// Names of the HTTP headers that callers, endpoints and the gateway exchange.
//
// The gateway's logic is independent of these names, which differ between
// platforms. The adapter of the platform supplies them.

#ifndef HARECRANK_SRC_GATEWAY_PROTOCOL_NAMES_H_
#define HARECRANK_SRC_GATEWAY_PROTOCOL_NAMES_H_

#include <string>

namespace harecrank {

// HTTP header names and the path of the readiness check. Each field is
// described by the content of the header that it names. The platform's adapter
// must set all of them.
struct ProtocolNames {
  // Identifies one attempt of a caller. Endpoints repeat it in their responses.
  std::string request_id;
  // The time in milliseconds for which the sender of the request will still
  // wait for the response.
  std::string time_left;
  // Sent to endpoints: the client account to which the caller's key belongs.
  std::string account;
  // Sent to endpoints: id of the only endpoint that may run the request.
  std::string expected_endpoint;
  // In the response to a health check: id of the responding endpoint.
  std::string own_endpoint;
  // "PROMPT,ANSWER" in tokens, sent by the caller. ANSWER is the maximum length
  // of the answer.
  std::string token_counts;
  // "NAME:TOKENS,...": the parts of the prompt in order, sent by the caller.
  std::string prompt_parts;
  // The caller's estimate of the answer's length in tokens.
  std::string answer_guess;
  // Sent to endpoints: the helpers that process parts of the prompt.
  std::string helpers;
  // Sent to endpoints: the urgency of the request, from 0 (most urgent) to 9.
  std::string urgency;
  // In a response: the signature of a response that the endpoint itself has
  // generated. Callers verify the body with it.
  std::string answer_signature;
  // In a response: the endpoint did not run the request and will not.
  std::string not_run;
  // In a rejection: id or address of the endpoint that caused it, if that is a
  // helper and not the responding endpoint.
  std::string endpoint_at_fault;
  // In a response of an overloaded endpoint: the number of requests per second
  // that it accepts from all hosts together, as a decimal number.
  std::string request_limit;
  // In a response: the endpoint is about to shut down and accepts no further
  // requests.
  std::string leaving;
  // Path of the load balancer's readiness check.
  std::string readiness_path;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_PROTOCOL_NAMES_H_
