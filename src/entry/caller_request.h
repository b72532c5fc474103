// What a caller asks for, read from HTTP and checked.

#ifndef HARECRANK_SRC_ENTRY_CALLER_REQUEST_H_
#define HARECRANK_SRC_ENTRY_CALLER_REQUEST_H_

#include <boost/leaf.hpp>
#include <string>

#include "harecrank/core/configuration.h"
#include "harecrank/core/outcome.h"
#include "harecrank/core/retry_policy.h"

namespace harecrank {

// The form in which an answer is wanted.
enum class AnswerForm { kCompletion, kChat, kService };

// One request, whole and checked.
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
  // Empty unless the request may run once only.
  std::string ticket;
  RetryMode retry_mode = RetryMode::kAllowed;
  // For kService.
  ServiceName service;
  std::string method;
  std::string path;
  std::string content_type;
};

// What the HTTP request says besides its body.
struct CallerHeaders {
  std::string method;
  std::string path;
  std::string query;
  std::string authorization;
  std::string time_limit_ms;
  // The caller's own id of a request that may not be repeated.
  std::string not_repeatable;
  std::string ticket;
  std::string content_type;
};

// Reads and checks a request. On an error it was not run. The API stands in
// docs/API.md.
boost::leaf::result<CallerRequest> ReadCallerRequest(
    const Configuration& configuration, const CallerHeaders& headers,
    std::string body);

// Finds the caller's account. Fails with a Refusal.
boost::leaf::result<AccountId> Authenticate(const Configuration& configuration,
                                            const std::string& authorization);

// Returns the number of tokens that `bytes` of text are taken to be, before
// an engine has counted them.
Tokens EstimateTokens(std::size_t bytes);

// How many bytes one token is taken to have.
constexpr std::size_t kBytesPerToken = 4;

}  // namespace harecrank

#endif  // HARECRANK_SRC_ENTRY_CALLER_REQUEST_H_
