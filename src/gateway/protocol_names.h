// How callers, endpoints and this gateway name what they tell each other.
//
// The gateway decides by meanings; which header carries one depends on whom it
// serves. The names come from the adapter that knows the platform.

#ifndef HARECRANK_SRC_GATEWAY_PROTOCOL_NAMES_H_
#define HARECRANK_SRC_GATEWAY_PROTOCOL_NAMES_H_

#include <string>

namespace harecrank {

// Names of HTTP headers, and the path of the readiness check. No defaults.
struct ProtocolNames {
  // Names one attempt of a caller; endpoints give it back in their answers.
  std::string request_id;
  // Milliseconds that the sender still waits.
  std::string time_left;
  // Set for endpoints: the client account that the caller's key belongs to.
  std::string account;
  // Set for endpoints: the only endpoint, by id, that may run the request.
  std::string expected_endpoint;
  // The caller's "PROMPT,ANSWER" in tokens; the answer's is the most allowed.
  std::string token_counts;
  // The caller's guess of the answer's tokens.
  std::string answer_guess;
  // Set for endpoints: others that read parts of the prompt.
  std::string helpers;
  // Set for endpoints: 0 to 9, the most urgent first.
  std::string urgency;
  // Marks an endpoint's own answer; callers check it against the body.
  std::string answer_signature;
  // In an endpoint's answer: it did not run the request and will not.
  std::string not_run;
  // In an endpoint's refusal: the endpoint, by id or address, that is at fault,
  // where it is a helper and not the endpoint that answers.
  std::string endpoint_at_fault;
  // In an endpoint's answer: how many requests a second it takes from all hosts
  // together, a decimal number, while it is in need.
  std::string request_limit;
  // In an endpoint's answer: it is about to end and wants nothing more.
  std::string leaving;
  // Path of the balancer's check.
  std::string readiness_path;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_PROTOCOL_NAMES_H_
