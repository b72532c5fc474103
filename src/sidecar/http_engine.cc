#include "src/sidecar/http_engine.h"

#include <limits>
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
// Time-out of an order. It is long because an engine responds to an order to
// load weights only once they are loaded.
constexpr Millis kOrderTimeout{120000};
// Maximum size of a line, which has one token.
constexpr std::size_t kMaxLineBytes = 64U << 10U;
constexpr std::size_t kMaxReasonBytes = 1024;
// Maximum size of a reply that is no answer to a prompt: an engine's state, or
// the result of an order.
constexpr std::size_t kMaxReplyBytes = 1U << 20U;

// Returns a human-readable description of an EngineError.
struct Describer {
  std::string operator()(const EngineRejected& error) const {
    return "the engine rejected the request: " + error.reason;
  }
  std::string operator()(const EngineUnreachable& error) const {
    return "the engine cannot be reached: " + error.reason;
  }
  std::string operator()(const EngineOutcomeUnknown& error) const {
    return "the outcome of the engine call is unknown: " + error.reason;
  }
  std::string operator()(const EngineFenceOutdated&) const {
    return "the engine has already seen a newer fencing token";
  }
  std::string operator()(const EngineGarbled& error) const {
    return std::string("the engine sent no piece of the answer: ") +
           NameOf(error.fault);
  }
};

// Converts an HTTP error to an EngineError.
struct ToEngineError {
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
leaf::result<void> ConvertErrors(Operation operation) {
  return leaf::try_handle_some(
      operation, [](const HttpError& error) -> leaf::result<void> {
        return leaf::new_error(std::visit(ToEngineError{}, error));
      });
}

leaf::result<HttpResponse> Call(const HttpCall& call) {
  HttpResponse response;
  BOOST_LEAF_CHECK(ConvertErrors([&]() -> leaf::result<void> {
    BOOST_LEAF_ASSIGN(response, SendHttpRequest(call, kMaxReplyBytes));
    return {};
  }));
  return response;
}

leaf::result<HttpResponse> CallExpectingOk(const HttpCall& call) {
  BOOST_LEAF_AUTO(response, Call(call));
  if (response.status != http_status::kOk) {
    return leaf::new_error(
        EngineError{EngineRejected{response.status, response.body}});
  }
  return response;
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

// Converts an order to the JSON object that is sent to the engine.
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

enum class LineResult { kLine, kEnd, kTooLong };

// Reads a line without its end. What is left of a line where the body is cut
// off is no line.
LineResult ReadLine(std::istream& body, std::size_t max_bytes,
                    std::string* line) {
  line->clear();
  char next = 0;
  while (body.get(next)) {
    if (next == '\n') {
      return LineResult::kLine;
    }
    if (line->size() == max_bytes) {
      return LineResult::kTooLong;
    }
    line->push_back(next);
  }
  return LineResult::kEnd;
}

// Reads the lines of a response and passes on the tokens that follow each
// other.
class TokenReader {
 public:
  TokenReader(std::uint64_t next, const EnginePort::OnToken& on_token)
      : sequence_(PieceStep::kConsecutive, next), on_token_(on_token) {}

  // Reads up to the line that ends the answer, or to the first fault. Stops if
  // the body is cut off or if the caller needs no more.
  void Read(std::istream& body) {
    std::string line;
    bool goes_on = true;
    while (goes_on) {
      const LineResult result = ReadLine(body, kMaxLineBytes, &line);
      if (result == LineResult::kTooLong) {
        fault_ = PieceFault::kTooLarge;
      }
      goes_on = result == LineResult::kLine && Accept(line);
    }
  }

  // The length of the whole answer, once its end has been read.
  const std::optional<std::int64_t>& Length() const { return length_; }
  const std::optional<PieceFault>& Fault() const { return fault_; }

 private:
  bool Accept(const std::string& line) {
    const json event = json::parse(line, nullptr, false);
    if (!event.is_object()) {
      fault_ = PieceFault::kMalformed;
      return false;
    }
    return event.contains("length") ? AcceptEnd(event["length"])
                                    : AcceptToken(event);
  }

  bool AcceptEnd(const json& length) {
    if (!length.is_number_unsigned()) {
      fault_ = PieceFault::kMalformed;
    } else if (length.get<std::uint64_t>() != sequence_.Next()) {
      fault_ = PieceFault::kGap;
    } else {
      length_ = length.get<std::int64_t>();
    }
    return false;
  }

  bool AcceptToken(const json& event) {
    constexpr std::uint64_t kMaxPosition =
        std::numeric_limits<std::int64_t>::max();
    const auto position = event.find("p");
    const auto text = event.find("t");
    if (position == event.end() || !position->is_number_unsigned() ||
        position->get<std::uint64_t>() > kMaxPosition) {
      fault_ = PieceFault::kNoId;
    } else if (text == event.end() || !text->is_string()) {
      fault_ = PieceFault::kNoData;
    } else {
      fault_ = sequence_.Accept(position->get<std::uint64_t>());
    }
    return !fault_.has_value() &&
           on_token_(position->get<std::int64_t>(), text->get<std::string>());
  }

  PieceSequence sequence_;
  const EnginePort::OnToken& on_token_;
  std::optional<std::int64_t> length_;
  std::optional<PieceFault> fault_;
};

EngineStatus ToStatus(const json& body) {
  EngineStatus engine_status;
  body.at("memory").get_to(engine_status.memory.value);
  body.at("used").get_to(engine_status.used.value);
  for (const json& allocation : body.at("holdings")) {
    engine_status.allocations.push_back(EngineAllocation{
        AllocationId{allocation.at("id").get<std::string>()},
        Incarnation{allocation.at("owner").get<std::uint64_t>()},
        Tokens{allocation.at("tokens").get<std::int64_t>()}});
  }
  for (const auto& model : body.at("models").items()) {
    LoadedModel loaded;
    model.value().at("version").get_to(loaded.version);
    model.value().at("adapters").get_to(loaded.adapters);
    engine_status.models.emplace(model.key(), std::move(loaded));
  }
  return engine_status;
}

}  // namespace

std::string Describe(const EngineError& error) {
  return std::visit(Describer{}, error);
}

HttpEngine::HttpEngine(std::string address) : address_(std::move(address)) {}

leaf::result<std::int64_t> HttpEngine::Generate(const EngineRequest& request,
                                                const OnAccepted& on_accepted,
                                                const OnToken& on_token) {
  HttpCall call = MakeCall(address_, "POST", "/v1/streams", request.timeout);
  call.body = ToJson(request);
  int status = 0;
  std::string reason;
  TokenReader tokens(static_cast<std::uint64_t>(request.resume_from), on_token);
  const auto read = [&](int response_status, std::istream& body) {
    status = response_status;
    if (status != http_status::kOk) {
      ReadLine(body, kMaxReasonBytes, &reason);
      return;
    }
    on_accepted();
    tokens.Read(body);
  };
  auto sent = ConvertErrors([&] { return StreamHttp(call, read); });
  if (status != 0 && status != http_status::kOk) {
    return leaf::new_error(EngineError{EngineRejected{status, reason}});
  }
  if (tokens.Fault().has_value()) {
    return leaf::new_error(EngineError{EngineGarbled{*tokens.Fault()}});
  }
  if (!sent) {
    return sent.error();
  }
  if (!tokens.Length().has_value()) {
    return leaf::new_error(
        EngineError{EngineOutcomeUnknown{"the answer was cut"}});
  }
  return *tokens.Length();
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
  BOOST_LEAF_AUTO(
      response,
      CallExpectingOk(MakeCall(address_, "GET", "/v1/account", kShortTimeout)));
  try {
    return ToStatus(json::parse(response.body));
  } catch (const json::exception& error) {
    return leaf::new_error(EngineError{EngineOutcomeUnknown{error.what()}});
  }
}

leaf::result<void> HttpEngine::Order(const EngineOrder& order, Revision fence) {
  HttpCall call = MakeCall(address_, "POST", "/v1/orders", kOrderTimeout);
  json body = std::visit(OrderToJson{}, order);
  body["fence"] = fence.value;
  call.body = body.dump();
  BOOST_LEAF_AUTO(response, Call(call));
  if (response.status == http_status::kConflict) {
    return leaf::new_error(EngineError{EngineFenceOutdated{}});
  }
  if (response.status != http_status::kOk) {
    return leaf::new_error(
        EngineError{EngineRejected{response.status, response.body}});
  }
  return {};
}

}  // namespace harecrank
