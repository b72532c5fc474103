#include "src/sidecar/http_engine.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "harecrank/core/http_status.h"
#include "src/adapters/http.h"

namespace harecrank {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;

constexpr Millis kShortTimeout{2000};
// An order to load weights is answered when they are loaded.
constexpr Millis kOrderTimeout{120000};

struct Describer {
  std::string operator()(const EngineRejected& error) const {
    return "the engine refused: " + error.reason;
  }
  std::string operator()(const EngineUnreachable& error) const {
    return "the engine cannot be reached: " + error.reason;
  }
  std::string operator()(const EngineOutcomeUnknown& error) const {
    return "the engine was lost: " + error.reason;
  }
  std::string operator()(const EngineFenceOutdated&) const {
    return "the engine has seen a newer fence";
  }
};

// Turns an HTTP error into this layer's.
struct FromHttp {
  EngineError operator()(const Unreachable& error) const {
    return EngineUnreachable{error.reason};
  }
  EngineError operator()(const NoResponse& error) const {
    return EngineOutcomeUnknown{error.reason};
  }
  EngineError operator()(const ResponseTooLarge& error) const {
    return EngineOutcomeUnknown{Describe(HttpError{error})};
  }
};

template <typename Operation>
leaf::result<void> TurnErrors(Operation operation) {
  return leaf::try_handle_some(
      operation, [](const HttpError& error) -> leaf::result<void> {
        return leaf::new_error(std::visit(FromHttp{}, error));
      });
}

leaf::result<HttpResponse> Call(const HttpCall& call) {
  HttpResponse answer;
  BOOST_LEAF_CHECK(TurnErrors([&]() -> leaf::result<void> {
    BOOST_LEAF_ASSIGN(answer, SendHttpRequest(call));
    return {};
  }));
  return answer;
}

leaf::result<HttpResponse> CallExpectingOk(const HttpCall& call) {
  BOOST_LEAF_AUTO(answer, Call(call));
  if (answer.status != http_status::kOk) {
    return leaf::new_error(
        EngineError{EngineRejected{answer.status, answer.body}});
  }
  return answer;
}

HttpCall MakeCall(const std::string& address, const std::string& method,
                  const std::string& path, Millis timeout) {
  HttpCall call;
  call.address = address;
  call.method = method;
  call.path = path;
  call.timeout = timeout;
  return call;
}

std::string ToJson(const EngineRequest& request) {
  json segments = json::array();
  for (const RemoteSegment& segment : request.segments) {
    segments.push_back({{"engine_address", segment.engine_address},
                        {"segment", segment.segment.value}});
  }
  const json body{{"id", request.id.value},
                  {"owner", request.owner.value},
                  {"model", request.model.value},
                  {"adapter", request.adapter.value},
                  {"prompt", request.prompt},
                  {"max_tokens", request.answer.value},
                  {"resume_from", request.resume_from},
                  {"priority", request.priority},
                  {"chunk_tokens", request.chunk.value},
                  {"segments", segments}};
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

struct OrderToJson {
  json operator()(const LoadModel& order) const {
    return {{"kind", "load_model"},
            {"model", order.model.value},
            {"version", order.version}};
  }
  json operator()(const UnloadModel& order) const {
    return {{"kind", "unload_model"}, {"model", order.model.value}};
  }
  json operator()(const LoadAdapter& order) const {
    return {{"kind", "load_adapter"},
            {"model", order.model.value},
            {"adapter", order.adapter.value},
            {"version", order.version}};
  }
};

// Reads the lines of an answer. Returns its length, or nothing if it was cut or
// a line is not what an engine writes.
std::optional<std::int64_t> ReadLines(std::istream& body,
                                      const EnginePort::OnToken& on_token) {
  std::string line;
  try {
    while (std::getline(body, line)) {
      const json event = json::parse(line);
      if (event.contains("length")) {
        return event["length"].get<std::int64_t>();
      }
      if (!on_token(event.at("p").get<std::int64_t>(),
                    event.at("t").get<std::string>())) {
        return std::nullopt;
      }
    }
  } catch (const json::exception&) {
    return std::nullopt;
  }
  return std::nullopt;
}

EngineStatus ToAccount(const json& body) {
  EngineStatus account;
  body.at("memory").get_to(account.memory.value);
  body.at("used").get_to(account.used.value);
  for (const json& holding : body.at("holdings")) {
    account.allocations.push_back(
        EngineAllocation{AllocationId{holding.at("id").get<std::string>()},
                         Incarnation{holding.at("owner").get<std::uint64_t>()},
                         Tokens{holding.at("tokens").get<std::int64_t>()}});
  }
  for (const auto& model : body.at("models").items()) {
    LoadedModel loaded;
    model.value().at("version").get_to(loaded.version);
    model.value().at("adapters").get_to(loaded.adapters);
    account.models.emplace(model.key(), std::move(loaded));
  }
  return account;
}

}  // namespace

std::string Describe(const EngineError& error) {
  return std::visit(Describer{}, error);
}

HttpEngine::HttpEngine(std::string address) : address_(std::move(address)) {}

leaf::result<std::int64_t> HttpEngine::Generate(const EngineRequest& request,
                                                const OnAccepted& on_taken,
                                                const OnToken& on_token) {
  HttpCall call = MakeCall(address_, "POST", "/v1/streams", request.timeout);
  call.body = ToJson(request);
  int status = 0;
  std::optional<std::int64_t> length;
  std::string reason;
  const auto read = [&](int got, std::istream& body) {
    status = got;
    if (status != http_status::kOk) {
      std::getline(body, reason);
      return;
    }
    on_taken();
    length = ReadLines(body, on_token);
  };
  auto sent = TurnErrors([&] { return StreamHttp(call, read); });
  if (status != 0 && status != http_status::kOk) {
    return leaf::new_error(EngineError{EngineRejected{status, reason}});
  }
  if (!sent) {
    return sent.error();
  }
  if (!length) {
    return leaf::new_error(
        EngineError{EngineOutcomeUnknown{"the answer was cut"}});
  }
  return *length;
}

leaf::result<void> HttpEngine::Prefill(const EngineRequest& request) {
  HttpCall call = MakeCall(address_, "POST", "/v1/segments", request.timeout);
  call.body = ToJson(request);
  BOOST_LEAF_CHECK(CallExpectingOk(call));
  return {};
}

leaf::result<void> HttpEngine::Cancel(const AllocationId& id) {
  BOOST_LEAF_CHECK(CallExpectingOk(
      MakeCall(address_, "DELETE", "/v1/holdings/" + id.value, kShortTimeout)));
  return {};
}

leaf::result<EngineStatus> HttpEngine::GetStatus() {
  BOOST_LEAF_AUTO(answer, CallExpectingOk(MakeCall(
                              address_, "GET", "/v1/account", kShortTimeout)));
  try {
    return ToAccount(json::parse(answer.body));
  } catch (const json::exception& error) {
    return leaf::new_error(EngineError{EngineOutcomeUnknown{error.what()}});
  }
}

leaf::result<void> HttpEngine::Order(const EngineOrder& order, Revision fence) {
  HttpCall call = MakeCall(address_, "POST", "/v1/orders", kOrderTimeout);
  json body = std::visit(OrderToJson{}, order);
  body["fence"] = fence.value;
  call.body = body.dump();
  BOOST_LEAF_AUTO(answer, Call(call));
  if (answer.status == http_status::kConflict) {
    return leaf::new_error(EngineError{EngineFenceOutdated{}});
  }
  if (answer.status != http_status::kOk) {
    return leaf::new_error(
        EngineError{EngineRejected{answer.status, answer.body}});
  }
  return {};
}

}  // namespace harecrank
