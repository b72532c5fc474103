// Parses and validates the HTTP requests of callers.

#ifndef HARECRANK_SRC_ENTRY_CALLER_REQUEST_H_
#define HARECRANK_SRC_ENTRY_CALLER_REQUEST_H_

#include <boost/leaf.hpp>
#include <string>

#include "harecrank/core/configuration.h"
#include "harecrank/core/outcome.h"
#include "harecrank/core/retry_policy.h"

namespace harecrank {

// The API that a caller used: completions, chat completions or a call of a
// plain service. It determines the format of the response.
enum class AnswerForm { kCompletion, kChat, kService };

// A caller's request after it has been parsed and validated.
struct CallerRequest {
  AnswerForm form = AnswerForm::kCompletion;
  AccountId account;
  int account_weight = 1;
  Tokens account_rate;
  ModelId model;
  AdapterName adapter;
  std::string prompt;
  Tokens prompt_tokens;
  Tokens answer_tokens;
  bool stream = false;
  Millis time_limit{0};
  // Ticket that permits the one execution of a request that must run at most
  // once; empty for any other request.
  std::string ticket;
  RetryMode retry_mode = RetryMode::kAllowed;
  // The following fields are set only for kService.
  ServiceName service;
  std::string method;
  std::string path;
  std::string content_type;
};

// The parts of a caller's HTTP request other than its body.
struct CallerHeaders {
  std::string method;
  std::string path;
  std::string query;
  std::string authorization;
  std::string time_limit_ms;
  // The caller's own ID for a request that must not be repeated.
  std::string not_repeatable;
  std::string ticket;
  std::string content_type;
};

// Parses and validates a caller's request against `configuration`. Fails with a
// Refusal whose outcome is kNotRun. The API is documented in docs/API.md.
boost::leaf::result<CallerRequest> ReadCallerRequest(
    const Configuration& configuration, const CallerHeaders& headers,
    std::string body);

// Returns the account that owns the bearer key in `authorization`. Fails with a
// Refusal.
boost::leaf::result<AccountId> Authenticate(const Configuration& configuration,
                                            const std::string& authorization);

// Returns an estimate of the number of tokens in a text of `bytes` bytes,
// rounded up. The estimate is used until an engine has counted the tokens.
Tokens EstimateTokens(std::size_t bytes);

// Number of bytes per token assumed by EstimateTokens.
constexpr std::size_t kBytesPerToken = 4;

}  // namespace harecrank

#endif  // HARECRANK_SRC_ENTRY_CALLER_REQUEST_H_
