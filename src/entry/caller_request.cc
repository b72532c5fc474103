#include "src/entry/caller_request.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "harecrank/core/http_status.h"
#include "src/adapters/json_values.h"
#include "src/adapters/system_sources.h"

namespace harecrank {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;

constexpr char kBearer[] = "Bearer ";
constexpr char kServicePrefix[] = "/v1/services/";
constexpr std::int64_t kDefaultAnswerTokens = 16;

auto Reject(int status, const std::string& code, const std::string& message) {
  return leaf::new_error(
      Refusal{status, code, message, Outcome::kNotRun, std::nullopt});
}

leaf::result<json> ParseBody(const std::string& body) {
  if (!HasFewJsonValues(body)) {
    return Reject(http_status::kBadRequest, "too_many_values",
                  "the body holds more than " + std::to_string(kMaxJsonValues) +
                      " values");
  }
  json parsed = json::parse(body, nullptr, false);
  if (parsed.is_discarded() || !parsed.is_object()) {
    return Reject(http_status::kBadRequest, "bad_json",
                  "the body holds no JSON object");
  }
  return parsed;
}

// Returns the value of one field of a JSON object, or `otherwise` if the field
// is absent or null.
template <typename T>
leaf::result<T> Field(const json& body, const char* name, T otherwise) {
  const auto found = body.find(name);
  if (found == body.end() || found->is_null()) {
    return otherwise;
  }
  try {
    return found->get<T>();
  } catch (const json::exception&) {
    return Reject(http_status::kBadRequest, "bad_request",
                  std::string("the field '") + name + "' has the wrong type");
  }
}

leaf::result<std::string> ChatPrompt(const json& body) {
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    return Reject(
        http_status::kBadRequest, "bad_request",
        "the field 'messages' must be a list with one entry at least");
  }
  std::string prompt;
  for (const json& message : *messages) {
    if (!message.is_object() || !message.contains("content") ||
        !message["content"].is_string()) {
      return Reject(http_status::kBadRequest, "bad_request",
                    "each message needs a string 'content'");
    }
    const auto role = message.find("role");
    if (role != message.end() && !role->is_string()) {
      return Reject(http_status::kBadRequest, "bad_request",
                    "the 'role' of a message must be a string");
    }
    prompt += message.value("role", std::string("user")) + ": " +
              message["content"].get<std::string>() + "\n";
  }
  return prompt;
}

leaf::result<void> CheckModel(const Configuration& configuration,
                              const CallerRequest& request) {
  const auto& models = configuration.GetDocument().models();
  const auto model = models.find(request.model.value);
  if (model == models.end()) {
    return Reject(http_status::kNotFound, "unknown_model",
                  "there is no model called '" + request.model.value + "'");
  }
  if (!request.adapter.value.empty() &&
      model->second.adapters().count(request.adapter.value) == 0) {
    return Reject(
        http_status::kNotFound, "unknown_adapter",
        "the model has no adapter called '" + request.adapter.value + "'");
  }
  const Tokens total = request.prompt_tokens + request.answer_tokens;
  if (Tokens{model->second.context_tokens()} < total) {
    return Reject(http_status::kBadRequest, "context_too_long",
                  "prompt and answer need " + std::to_string(total.value) +
                      " tokens; the model takes " +
                      std::to_string(model->second.context_tokens()));
  }
  return {};
}

leaf::result<void> ReadModelRequest(const Configuration& configuration,
                                    const std::string& text,
                                    CallerRequest* request) {
  BOOST_LEAF_AUTO(body, ParseBody(text));
  BOOST_LEAF_ASSIGN(request->model.value, Field(body, "model", std::string()));
  BOOST_LEAF_ASSIGN(request->adapter.value,
                    Field(body, "adapter", std::string()));
  BOOST_LEAF_ASSIGN(request->stream, Field(body, "stream", false));
  BOOST_LEAF_ASSIGN(request->answer_tokens.value,
                    Field(body, "max_tokens", kDefaultAnswerTokens));
  if (request->answer_tokens.value < 1) {
    return Reject(http_status::kBadRequest, "bad_request",
                  "the field 'max_tokens' must be 1 or more");
  }
  if (request->form == AnswerForm::kChat) {
    BOOST_LEAF_ASSIGN(request->prompt, ChatPrompt(body));
  } else {
    BOOST_LEAF_ASSIGN(request->prompt, Field(body, "prompt", std::string()));
  }
  if (request->prompt.empty()) {
    return Reject(http_status::kBadRequest, "bad_request",
                  "the prompt is empty");
  }
  request->prompt_tokens = EstimateTokens(request->prompt.size());
  return CheckModel(configuration, *request);
}

leaf::result<void> ReadServiceRequest(const Configuration& configuration,
                                      const CallerHeaders& headers,
                                      CallerRequest* request) {
  const std::string remainder = headers.path.substr(sizeof(kServicePrefix) - 1);
  const auto slash = remainder.find('/');
  request->service = ServiceName{remainder.substr(0, slash)};
  request->path = slash == std::string::npos ? "/" : remainder.substr(slash);
  if (!headers.query.empty()) {
    request->path += "?" + headers.query;
  }
  request->method = headers.method;
  request->content_type = headers.content_type;
  if (configuration.EndpointsOf(request->service).empty()) {
    return Reject(
        http_status::kNotFound, "unknown_service",
        "there is no service called '" + request->service.value + "'");
  }
  // A call with any method but GET and HEAD may have side effects. Once it may
  // have run, it is not repeated, even if the caller did not send the header
  // that forbids repeating it.
  if (headers.method != "GET" && headers.method != "HEAD") {
    request->retry_mode = RetryMode::kOnlyIfNotRun;
  }
  return {};
}

leaf::result<Millis> ReadTimeLimit(const v1::Policy& policy,
                                   const std::string& text) {
  if (text.empty()) {
    return Millis(policy.default_time_limit_ms());
  }
  std::int64_t millis = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, millis);
  if (parsed.ptr != end || millis < 1 || millis > policy.max_time_limit_ms()) {
    return Reject(http_status::kBadRequest, "bad_time_limit",
                  "Harecrank-Time-Limit-Ms must be a whole number from 1 to " +
                      std::to_string(policy.max_time_limit_ms()));
  }
  return Millis(millis);
}

leaf::result<void> ReadRetryMode(const CallerHeaders& headers,
                                 CallerRequest* request) {
  if (headers.not_repeatable.empty() && headers.ticket.empty()) {
    return {};
  }
  if (headers.ticket.empty()) {
    return Reject(http_status::kPreconditionRequired, "ticket_required",
                  "a request that may not be repeated needs a ticket: POST "
                  "/v1/tickets, keep the ticket with your id, and send it in "
                  "Harecrank-Ticket");
  }
  request->ticket = headers.ticket;
  request->retry_mode = RetryMode::kNever;
  return {};
}

}  // namespace

leaf::result<CallerRequest> ReadCallerRequest(
    const Configuration& configuration, const CallerHeaders& headers,
    std::string body) {
  CallerRequest request;
  BOOST_LEAF_ASSIGN(request.account,
                    Authenticate(configuration, headers.authorization));
  const v1::Document& document = configuration.GetDocument();
  const auto& account = document.accounts().at(request.account.value);
  request.account_weight = static_cast<int>(account.weight());
  request.account_rate = Tokens{account.tokens_per_second()};
  BOOST_LEAF_ASSIGN(request.time_limit,
                    ReadTimeLimit(document.policy(), headers.time_limit_ms));
  const bool service =
      headers.path.compare(0, sizeof(kServicePrefix) - 1, kServicePrefix) == 0;
  if (service) {
    request.form = AnswerForm::kService;
    request.prompt = std::move(body);
    BOOST_LEAF_CHECK(ReadServiceRequest(configuration, headers, &request));
  } else {
    request.form = headers.path == "/v1/chat/completions"
                       ? AnswerForm::kChat
                       : AnswerForm::kCompletion;
    BOOST_LEAF_CHECK(ReadModelRequest(configuration, body, &request));
  }
  BOOST_LEAF_CHECK(ReadRetryMode(headers, &request));
  return request;
}

leaf::result<AccountId> Authenticate(const Configuration& configuration,
                                     const std::string& authorization) {
  const std::size_t prefix = sizeof(kBearer) - 1;
  if (authorization.compare(0, prefix, kBearer) != 0) {
    return Reject(http_status::kUnauthorised, "no_key",
                  "the Authorization header must be 'Bearer KEY'");
  }
  const AccountId* account =
      configuration.FindAccountByKey(Sha256Hex(authorization.substr(prefix)));
  if (account == nullptr) {
    return Reject(http_status::kUnauthorised, "wrong_key",
                  "no client account has this key");
  }
  return *account;
}

Tokens EstimateTokens(std::size_t bytes) {
  return Tokens{
      static_cast<std::int64_t>((bytes + kBytesPerToken - 1) / kBytesPerToken)};
}

}  // namespace harecrank
