#include "src/entry/caller_server.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "harecrank/core/http_status.h"
#include "src/adapters/json_values.h"
#include "src/entry/answer_writer.h"

namespace harecrank {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

// Number of threads in addition to one for each request slot. They serve
// rejections, tickets and health probes while all request slots are in use.
constexpr int kSpareThreads = 32;
// Maximum number of bytes that are read and discarded from a body that is too
// large. Reading the body allows the caller to receive the error response.
constexpr std::size_t kMaxDiscardedBytes = 256U << 20U;
// Maximum size of a request for a ticket.
constexpr std::size_t kMaxTicketBytes = 64U << 10U;
constexpr Millis kFullRetryDelay{1000};
constexpr Millis kDrainRetryDelay{1000};
constexpr char kTickets[] = "/v1/tickets";
constexpr char kServices[] = "/v1/services/";
constexpr char kModels[] = "/v1/models";

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

Refusal NotRun(int status, const std::string& code, const std::string& message,
               std::optional<Millis> retry_after = std::nullopt) {
  return Refusal{status, code, message, Outcome::kNotRun, retry_after};
}

bool IsCompletions(const std::string& path) {
  return path == "/v1/completions" || path == "/v1/chat/completions";
}

// Checks that the model or service for which a caller requests a ticket has
// endpoints in the configuration.
leaf::result<void> CheckTarget(const Configuration& configuration,
                               const ModelId& model,
                               const ServiceName& service) {
  if (!service.value.empty() && configuration.EndpointsOf(service).empty()) {
    return leaf::new_error(
        NotRun(http_status::kNotFound, "unknown_service",
               "there is no service called '" + service.value + "'"));
  }
  if (service.value.empty() && configuration.EnginesOf(model).empty()) {
    return leaf::new_error(
        NotRun(http_status::kNotFound, "unknown_model",
               "no endpoint serves a model called '" + model.value + "'"));
  }
  return {};
}

CallerHeaders HeadersOf(const HTTPServerRequest& request) {
  CallerHeaders headers;
  headers.method = request.getMethod();
  headers.path = PathOf(request.getURI());
  const auto query = request.getURI().find('?');
  if (query != std::string::npos) {
    headers.query = request.getURI().substr(query + 1);
  }
  headers.authorization = request.get("Authorization", "");
  headers.time_limit_ms = request.get("Harecrank-Time-Limit-Ms", "");
  headers.not_repeatable = request.get("Harecrank-Not-Repeatable", "");
  headers.ticket = request.get("Harecrank-Ticket", "");
  headers.content_type = request.getContentType();
  return headers;
}

}  // namespace

CallerServer::CallerServer(const EntrySettings& settings, Node* node,
                           Dispatcher* dispatcher, MonotonicClock clock)
    : settings_(settings),
      node_(node),
      dispatcher_(dispatcher),
      clock_(std::move(clock)),
      body_memory_(settings.body_memory_bytes) {
  Metrics* metrics = node->GetMetrics();
  requests_ = metrics->GetCounter("harecrank_entry_requests_total");
  answered_ = metrics->GetCounter("harecrank_entry_answered_total");
  rejected_ = metrics->GetCounter("harecrank_entry_refused_total");
  no_memory_ = metrics->GetCounter("harecrank_entry_no_memory_total");
  metrics->AddGauge("harecrank_entry_body_bytes", [this] {
    return static_cast<double>(body_memory_.Held());
  });
  metrics->AddGauge("harecrank_entry_connections_closed", [this] {
    return server_ == nullptr
               ? 0.0
               : static_cast<double>(server_->ClosedConnections());
  });
  first_part_short_ = metrics->GetHistogram(
      "harecrank_time_to_first_token_seconds", "length=\"short\"");
  first_part_long_ = metrics->GetHistogram(
      "harecrank_time_to_first_token_seconds", "length=\"long\"");
  between_parts_ =
      metrics->GetHistogram("harecrank_time_between_tokens_seconds");
  metrics->AddGauge("harecrank_entry_requests_in_hand",
                    [this] { return static_cast<double>(in_flight_.load()); });
}

void CallerServer::Start() {
  HttpServerOptions options;
  options.address = settings_.callers_address;
  options.threads = settings_.max_requests + kSpareThreads;
  options.queued = settings_.max_requests;
  options.head_timeout = settings_.head_timeout;
  server_ = std::make_unique<HttpServer>(
      options,
      [this](HTTPServerRequest& request, HTTPServerResponse& response) {
        Handle(request, response);
      });
}

void CallerServer::Stop() {
  if (server_ != nullptr) {
    server_->Stop();
  }
}

void CallerServer::Handle(HTTPServerRequest& request,
                          HTTPServerResponse& response) {
  const std::string path = PathOf(request.getURI());
  if (path == "/healthz") {
    SendResponse(response, http_status::kOk, "{\"status\":\"ok\"}");
    return;
  }
  if (path == "/readyz") {
    const bool ready = node_->IsReady() && !draining_;
    SendResponse(
        response, ready ? http_status::kOk : http_status::kUnavailable,
        ready ? "{\"status\":\"ready\"}" : "{\"status\":\"not_ready\"}");
    return;
  }
  requests_->Add();
  if (draining_ || !node_->IsReady()) {
    response.setKeepAlive(false);
    Reject(
        response,
        NotRun(http_status::kUnavailable, draining_ ? "draining" : "not_ready",
               "this entry host takes no requests now", kDrainRetryDelay));
    return;
  }
  if (!TryAcquireSlot()) {
    Reject(response, NotRun(http_status::kTooManyRequests, "entry_full",
                            "this entry host has all the requests it can hold",
                            kFullRetryDelay));
    return;
  }
  // Releases the request slot when this function returns or throws.
  const std::shared_ptr<void> slot(nullptr,
                                   [this](void*) { in_flight_.fetch_sub(1); });
  if (StartsWith(path, kTickets)) {
    HandleTicket(request, response);
  } else if (path == kModels) {
    HandleModels(request, response);
  } else if (IsCompletions(path) &&
             request.getMethod() != HTTPServerRequest::HTTP_POST) {
    response.set("Allow", HTTPServerRequest::HTTP_POST);
    Reject(response, NotRun(http_status::kMethodNotAllowed,
                            "method_not_allowed", path + " takes POST only"));
  } else if (IsCompletions(path) || StartsWith(path, kServices)) {
    HandleRequest(request, response);
  } else {
    Reject(response, NotRun(http_status::kNotFound, "not_found",
                            "there is nothing at " + path));
  }
}

void CallerServer::HandleModels(HTTPServerRequest& request,
                                HTTPServerResponse& response) {
  const auto configuration = node_->InForce();
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_CHECK(
            Authenticate(*configuration, HeadersOf(request).authorization));
        json models = json::array();
        for (const auto& [name, model] :
             configuration->GetDocument().models()) {
          models.push_back({{"id", name}, {"object", "model"}});
        }
        SendResponse(response, http_status::kOk,
                     json{{"object", "list"}, {"data", models}}.dump());
        return {};
      },
      [&](const Refusal& refusal) { Reject(response, refusal); },
      [&] {
        Reject(response, NotRun(http_status::kBadRequest, "bad_request",
                                "not understood"));
      });
}

void CallerServer::HandleTicket(HTTPServerRequest& request,
                                HTTPServerResponse& response) {
  const CallerHeaders headers = HeadersOf(request);
  const auto configuration = node_->InForce();
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(account,
                        Authenticate(*configuration, headers.authorization));
        if (headers.method == "DELETE") {
          const std::string ticket = headers.path.substr(
              std::min(headers.path.size(), sizeof(kTickets)));
          const Outcome outcome = dispatcher_->RevokeTicket(account, ticket);
          SendResponse(response, http_status::kOk,
                       json{{"outcome", OutcomeName(outcome)}}.dump());
          return {};
        }
        std::string text;
        BodyMemory::Holding memory(&body_memory_);
        const bool is_read = ReadBodyInto(request, kMaxTicketBytes, &memory,
                                          &text) == BodyFault::kNone;
        const json body = is_read && HasFewJsonValues(text)
                              ? json::parse(text, nullptr, false)
                              : json();
        if (!body.is_object()) {
          return leaf::new_error(NotRun(http_status::kBadRequest, "bad_json",
                                        "the body holds no JSON object"));
        }
        const ModelId model{body.value("model", std::string())};
        const ServiceName service{body.value("service", std::string())};
        BOOST_LEAF_CHECK(CheckTarget(*configuration, model, service));
        const auto issued = dispatcher_->IssueTicket(account, model, service);
        if (const auto* refusal = std::get_if<Refusal>(&issued)) {
          return leaf::new_error(*refusal);
        }
        const auto& ticket = std::get<IssuedTicket>(issued);
        SendResponse(response, http_status::kOk,
                     json{{"ticket", ticket.ticket},
                          {"expires_in_ms", ticket.ttl.count()}}
                         .dump());
        return {};
      },
      [&](const Refusal& refusal) { Reject(response, refusal); },
      [&] {
        Reject(response, NotRun(http_status::kBadRequest, "bad_request",
                                "not understood"));
      });
}

void CallerServer::HandleRequest(HTTPServerRequest& request,
                                 HTTPServerResponse& response) {
  std::string body;
  BodyMemory::Holding memory(&body_memory_);
  const BodyFault fault =
      ReadBodyInto(request, settings_.max_body_bytes, &memory, &body);
  if (fault == BodyFault::kNoMemory) {
    no_memory_->Add();
    response.setKeepAlive(false);
    Reject(response, NotRun(http_status::kUnavailable, "no_memory",
                            "this entry host holds all the bodies it can",
                            kFullRetryDelay));
    return;
  }
  if (fault == BodyFault::kTooLarge) {
    DiscardBody(request, kMaxDiscardedBytes);
    response.setKeepAlive(false);
    Reject(response,
           NotRun(http_status::kTooLarge, "body_too_large",
                  "the body is larger than " +
                      std::to_string(settings_.max_body_bytes) + " bytes"));
    return;
  }
  const auto configuration = node_->InForce();
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(caller_request,
                        ReadCallerRequest(*configuration, HeadersOf(request),
                                          std::move(body)));
        RunRequest(caller_request, request, response);
        return {};
      },
      [&](const Refusal& refusal) { Reject(response, refusal); },
      [&] {
        Reject(response, NotRun(http_status::kBadRequest, "bad_request",
                                "not understood"));
      });
}

void CallerServer::RunRequest(const CallerRequest& caller_request,
                              HTTPServerRequest& request,
                              HTTPServerResponse& response) {
  const v1::Policy& policy = node_->InForce()->GetDocument().policy();
  const bool is_short =
      caller_request.prompt_tokens < Tokens{policy.long_prompt_tokens()};
  AnswerWriterPorts ports;
  ports.request = &request;
  ports.response = &response;
  ports.clock = clock_;
  ports.first_part = is_short ? first_part_short_ : first_part_long_;
  ports.between_parts = between_parts_;
  AnswerWriter writer(std::move(ports), caller_request);
  const DispatchResult result = dispatcher_->Run(caller_request, &writer);
  const auto* refusal = std::get_if<Refusal>(&result);
  (refusal == nullptr ? answered_ : rejected_)->Add();
  if (refusal != nullptr &&
      refusal->http_status == http_status::kClientClosed) {
    response.setKeepAlive(false);
    return;
  }
  writer.Finish(result);
}

void CallerServer::Reject(HTTPServerResponse& response,
                          const Refusal& refusal) {
  rejected_->Add();
  WriteRefusal(response, refusal);
}

bool CallerServer::TryAcquireSlot() {
  if (in_flight_.fetch_add(1) < settings_.max_requests) {
    return true;
  }
  in_flight_.fetch_sub(1);
  return false;
}

}  // namespace harecrank
