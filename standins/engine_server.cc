#include <atomic>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "harecrank/core/http_status.h"
#include "src/adapters/http.h"
#include "standins/servers.h"

namespace harecrank::standins {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr int kThreads = 600;
constexpr std::size_t kMostBody = 64U << 20U;
constexpr std::size_t kLabelBytes = 32;
constexpr std::int64_t kCheckMembersEvery = 8;
constexpr Millis kMemberTimeout{300};
constexpr Millis kStoreTimeout{60000};
constexpr double kMillisPerSecond = 1000.0;

std::vector<std::uint64_t> BlocksOf(const std::string& prompt) {
  std::vector<std::uint64_t> blocks;
  const std::size_t size =
      static_cast<std::size_t>(kBlockTokens * kBytesPerToken);
  TextDigest digest;
  for (std::size_t at = 0; at + size <= prompt.size(); at += size) {
    digest = JoinDigests(digest, DigestText(prompt.substr(at, size)));
    blocks.push_back(digest.hash);
  }
  return blocks;
}

std::int64_t TokensOf(std::size_t bytes) {
  return (static_cast<std::int64_t>(bytes) + kBytesPerToken - 1) /
         kBytesPerToken;
}

EngineWork ToWork(const json& body) {
  EngineWork work;
  const std::string prompt = body.value("prompt", std::string());
  work.id = body.at("id").get<std::string>();
  work.owner = body.at("owner").get<std::uint64_t>();
  work.prompt = DigestText(prompt);
  work.blocks = BlocksOf(prompt);
  work.prompt_tokens = TokensOf(prompt.size());
  work.answer_tokens = body.value("max_tokens", std::int64_t{0});
  work.resume_from = body.value("resume_from", std::int64_t{0});
  work.priority = body.value("priority", 0);
  work.chunk_tokens = body.value("chunk_tokens", work.chunk_tokens);
  return work;
}

// A model as the engine holds it.
struct Held {
  std::string version;
  std::map<std::string, std::string> adapters;
};

class EngineServer : public StandIn {
 public:
  explicit EngineServer(const EngineServerOptions& options)
      : options_(options), model_(options.engine) {
    for (const std::string& text : options.models) {
      const auto colon = text.find(':');
      models_[text.substr(0, colon)].version = text.substr(colon + 1);
    }
    HttpServerOptions server;
    server.address = options.address;
    server.threads = kThreads;
    server_ = std::make_unique<HttpServer>(
        server,
        [this](HTTPServerRequest& request, HTTPServerResponse& response) {
          Handle(request, response);
        });
  }

 private:
  void Handle(HTTPServerRequest& request, HTTPServerResponse& response) {
    const std::string path = PathOf(request.getURI());
    const std::string holdings = "/v1/holdings/";
    const std::string segments = "/v1/segments/";
    if (path == "/v1/streams") {
      HandleStream(request, response);
    } else if (path == "/v1/segments") {
      HandleSegment(request, response);
    } else if (path.compare(0, segments.size(), segments) == 0) {
      HandleExport(path.substr(segments.size()), response);
    } else if (path.compare(0, holdings.size(), holdings) == 0) {
      model_.Remove(path.substr(holdings.size()));
      SendResponse(response, http_status::kOk, "{}");
    } else if (path == "/v1/account") {
      HandleAccount(response);
    } else if (path == "/v1/orders") {
      HandleOrder(request, response);
    } else if (path == "/control/runs") {
      const std::lock_guard<std::mutex> lock(mutex_);
      SendResponse(response, http_status::kOk, json(runs_).dump());
    } else if (path == "/control/resumes") {
      const std::lock_guard<std::mutex> lock(mutex_);
      SendResponse(response, http_status::kOk, json(resumed_from_).dump());
    } else if (path == "/control/orders") {
      const std::lock_guard<std::mutex> lock(mutex_);
      SendResponse(response, http_status::kOk, json(orders_).dump());
    } else {
      SendResponse(response, http_status::kNotFound, "{}");
    }
  }

  bool Take(HTTPServerRequest& request, HTTPServerResponse& response,
            json* body) {
    std::string text;
    ReadBody(request, kMostBody, &text);
    *body = json::parse(text);
    const std::lock_guard<std::mutex> lock(mutex_);
    if (models_.count(body->value("model", std::string())) == 0) {
      SendResponse(response, http_status::kNotFound, "model not loaded");
      return false;
    }
    // Counted by the prompt's beginning, so that a test can tell whether a
    // request ran twice.
    resumed_from_ =
        std::max(resumed_from_, body->value("resume_from", std::int64_t{0}));
    ++runs_[body->value("prompt", std::string()).substr(0, kLabelBytes)];
    return true;
  }

  void HandleStream(HTTPServerRequest& request, HTTPServerResponse& response) {
    json body;
    if (!Take(request, response, &body)) {
      return;
    }
    EngineWork work = ToWork(body);
    const json members = body.value("segments", json::array());
    if (!Gather(members, &work)) {
      SendResponse(response, http_status::kFailedDependency,
                   "a segment is gone");
      return;
    }
    if (!model_.Add(work)) {
      SendResponse(response, http_status::kUnavailable, "out of memory");
      return;
    }
    if (Stream(request, response, work, members)) {
      model_.Remove(work.id);
    }
  }

  // Returns whether the stream has ended. One whose reader went away goes on,
  // as on an engine whose streams can be resumed, and holds its memory until
  // somebody cancels it.
  bool Stream(HTTPServerRequest& request, HTTPServerResponse& response,
              const EngineWork& work, const json& members) {
    response.setChunkedTransferEncoding(true);
    response.setContentType("application/x-ndjson");
    std::ostream& out = response.send();
    out.flush();
    WorkState state = WorkState::kRunning;
    std::int64_t sent = 0;
    while (state == WorkState::kRunning) {
      std::vector<ReadyToken> tokens;
      state = model_.Wait(work.id, &tokens);
      for (const ReadyToken& token : tokens) {
        out << json{{"p", token.position}, {"t", token.text}}.dump() << "\n";
        ++sent;
      }
      out.flush();
      const bool members_there = members.empty() ||
                                 sent % kCheckMembersEvery != 0 ||
                                 AreMembersThere(members);
      const bool reader_there = out.good() && IsCallerConnected(request);
      if (!reader_there || !members_there) {
        response.setKeepAlive(false);
        return !members_there;
      }
    }
    if (state == WorkState::kDone) {
      out << json{{"length", work.answer_tokens}}.dump() << "\n";
      out.flush();
    }
    return true;
  }

  // Joins the digests of a group's segments, and takes the time that it takes
  // to import those of others.
  bool Gather(const json& members, EngineWork* work) {
    TextDigest joined;
    std::int64_t imported = 0;
    for (const json& member : members) {
      const auto digest = ReadSegment(member);
      if (!digest) {
        return false;
      }
      joined = JoinDigests(joined, *digest);
      const bool own = member.at("engine_address") == options_.address;
      imported += own ? 0 : TokensOf(static_cast<std::size_t>(digest->bytes));
    }
    if (!members.empty()) {
      work->prompt = joined;
      const double ms = static_cast<double>(imported) /
                        options_.import_tokens_per_second * kMillisPerSecond;
      std::this_thread::sleep_for(
          std::chrono::duration<double, std::milli>(ms));
    }
    return true;
  }

  std::optional<TextDigest> ReadSegment(const json& member) {
    const std::string id = member.at("segment").get<std::string>();
    const std::string address = member.at("engine_address").get<std::string>();
    if (address == options_.address) {
      return model_.Segment(id);
    }
    HttpCall call;
    call.address = address;
    call.path = "/v1/segments/" + id;
    call.timeout = kMemberTimeout;
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<TextDigest>> {
          BOOST_LEAF_AUTO(answer, SendHttpRequest(call));
          if (answer.status != http_status::kOk) {
            return std::optional<TextDigest>();
          }
          const json body = json::parse(answer.body);
          TextDigest digest;
          body.at("hash").get_to(digest.hash);
          body.at("power").get_to(digest.power);
          body.at("bytes").get_to(digest.bytes);
          return std::optional<TextDigest>(digest);
        },
        [] { return std::optional<TextDigest>(); });
  }

  bool AreMembersThere(const json& members) {
    for (const json& member : members) {
      if (!ReadSegment(member)) {
        return false;
      }
    }
    return true;
  }

  void HandleSegment(HTTPServerRequest& request, HTTPServerResponse& response) {
    json body;
    if (!Take(request, response, &body)) {
      return;
    }
    EngineWork work = ToWork(body);
    work.is_segment = true;
    work.answer_tokens = 0;
    if (!model_.Add(work)) {
      SendResponse(response, http_status::kUnavailable, "out of memory");
      return;
    }
    WorkState state = WorkState::kRunning;
    std::vector<ReadyToken> none;
    while (state == WorkState::kRunning && IsCallerConnected(request)) {
      state = model_.Wait(work.id, &none);
    }
    if (state != WorkState::kDone) {
      SendResponse(response, http_status::kUnavailable, "cancelled");
      return;
    }
    SendResponse(response, http_status::kOk, "{}");
  }

  void HandleExport(const std::string& id, HTTPServerResponse& response) {
    const auto digest = model_.Segment(id);
    if (!digest) {
      SendResponse(response, http_status::kNotFound, "{}");
      return;
    }
    SendResponse(response, http_status::kOk,
                 json{{"hash", digest->hash},
                      {"power", digest->power},
                      {"bytes", digest->bytes}}
                     .dump());
  }

  void HandleAccount(HTTPServerResponse& response) {
    json holdings = json::array();
    for (const MemoryAllocation& holding : model_.Allocations()) {
      holdings.push_back({{"id", holding.id},
                          {"owner", holding.owner},
                          {"tokens", holding.tokens}});
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    json models = json::object();
    for (const auto& [name, held] : models_) {
      models[name] = {{"version", held.version}, {"adapters", held.adapters}};
    }
    SendResponse(response, http_status::kOk,
                 json{{"memory", model_.Memory()},
                      {"used", model_.Used()},
                      {"holdings", holdings},
                      {"models", models}}
                     .dump());
  }

  void HandleOrder(HTTPServerRequest& request, HTTPServerResponse& response) {
    std::string text;
    ReadBody(request, kMostBody, &text);
    const json order = json::parse(text);
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      const auto fence = order.at("fence").get<std::uint64_t>();
      if (!options_.ignores_fences && fence < fence_) {
        SendResponse(response, http_status::kConflict, "an older fence");
        return;
      }
      fence_ = fence;
      orders_.push_back(order);
    }
    const std::string kind = order.at("kind").get<std::string>();
    if (kind != "unload_model" && !LoadWeights(order)) {
      SendResponse(response, http_status::kUnavailable,
                   "the weight store refused");
      return;
    }
    Apply(kind, order);
    SendResponse(response, http_status::kOk, "{}");
  }

  bool LoadWeights(const json& order) {
    if (options_.weight_store.empty()) {
      return true;
    }
    HttpCall call;
    call.address = options_.weight_store;
    call.path = "/v1/weights/" + order.at("model").get<std::string>();
    call.timeout = kStoreTimeout;
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
          BOOST_LEAF_AUTO(answer, SendHttpRequest(call));
          return answer.status == http_status::kOk;
        },
        [] { return false; });
  }

  void Apply(const std::string& kind, const json& order) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::string model = order.at("model").get<std::string>();
    if (kind == "unload_model") {
      models_.erase(model);
    } else if (kind == "load_model") {
      models_[model].version = order.at("version").get<std::string>();
      models_[model].adapters.clear();
    } else if (kind == "load_adapter") {
      models_[model].adapters[order.at("adapter").get<std::string>()] =
          order.at("version").get<std::string>();
    }
  }

  EngineServerOptions options_;
  EngineModel model_;
  std::mutex mutex_;
  std::map<std::string, Held> models_;
  std::map<std::string, int> runs_;
  std::vector<json> orders_;
  std::uint64_t fence_ = 0;
  // The farthest position that a stream was asked to resume from.
  std::int64_t resumed_from_ = 0;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace

std::unique_ptr<StandIn> MakeEngineServer(const EngineServerOptions& options) {
  return std::make_unique<EngineServer>(options);
}

}  // namespace harecrank::standins
