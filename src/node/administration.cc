#include "src/node/administration.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/service.h>
#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <atomic>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>
#include <vector>

#include "harecrank/core/change_planner.h"
#include "harecrank/core/http_status.h"
#include "src/adapters/http.h"

namespace harecrank {
namespace {

namespace leaf = boost::leaf;
namespace pb = google::protobuf;
using nlohmann::json;

constexpr Millis kLocateTimeout{1000};
constexpr std::size_t kLocateThreads = 16;

// Stores the error that a method of the service reports, for the HTTP response.
class Controller : public pb::RpcController {
 public:
  void Reset() override { reason_.clear(); }
  bool Failed() const override { return !reason_.empty(); }
  std::string ErrorText() const override { return reason_; }
  void StartCancel() override {}
  void SetFailed(const std::string& reason) override { reason_ = reason; }
  bool IsCanceled() const override { return false; }
  void NotifyOnCancel(pb::Closure*) override {}

 private:
  std::string reason_;
};

std::string ErrorJson(const std::string& code, const std::string& message) {
  return json{{"error", {{"code", code}, {"message", message}}}}.dump();
}

v1::LocateResponse::Node QueryNode(const NodeAddress& node,
                                   const PeerState& own_state) {
  v1::LocateResponse::Node found;
  found.set_id(node.id.value);
  HttpCall call;
  call.address = node.operations;
  call.method = "POST";
  call.path = "/peer/compare";
  call.content_type = "application/cbor";
  // The request states the highest possible versions, so that the peer answers
  // with its state only and sends no update.
  PeerState query = own_state;
  query.revision = UINT32_MAX;
  query.host_version = UINT64_MAX;
  call.body = EncodePeerState(query);
  call.timeout = kLocateTimeout;
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(answer, SendHttpRequest(call));
        const auto update = DecodePeerUpdate(answer.body);
        if (!update) {
          found.set_error("an answer that cannot be read");
          return {};
        }
        found.set_revision(update->state.revision);
        found.set_digest(update->state.digest);
        return {};
      },
      [&](const HttpError& error) { found.set_error(Describe(error)); },
      [&] { found.set_error("an error of another layer"); });
  return found;
}

}  // namespace

AdministrationService::AdministrationService(ActiveConfig* active_config,
                                             ConfigFeed* feed)
    : active_config_(active_config), feed_(feed) {}

void AdministrationService::Plan(pb::RpcController* controller,
                                 const v1::PlanRequest* request,
                                 v1::PlanResponse* response,
                                 pb::Closure* done) {
  const auto base = active_config_->InForce();
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(
            planned,
            PlanChange(base.get(), active_config_->RecentChanges(), *request));
        *response = std::move(planned);
        return {};
      },
      [&](const PlanError& error) { controller->SetFailed(Describe(error)); },
      [&](const ConfigError& error) { controller->SetFailed(Describe(error)); },
      [&] { controller->SetFailed("an error of another layer"); });
  done->Run();
}

void AdministrationService::Validate(pb::RpcController* controller,
                                     const v1::ValidateRequest* request,
                                     v1::ValidateResponse* response,
                                     pb::Closure* done) {
  v1::Document document;
  const auto status =
      pb::util::JsonStringToMessage(request->document_json(), &document);
  if (!status.ok()) {
    controller->SetFailed(std::string(status.message()));
  }
  for (const ConfigProblem& problem : ValidateDocument(document)) {
    v1::Problem* problem_out = response->add_problems();
    problem_out->set_path(problem.path);
    problem_out->set_found(problem.found);
    problem_out->set_allowed(problem.allowed);
  }
  done->Run();
}

void AdministrationService::GetInForce(pb::RpcController* controller,
                                       const v1::GetInForceRequest*,
                                       v1::GetInForceResponse* response,
                                       pb::Closure* done) {
  const auto configuration = active_config_->InForce();
  if (configuration == nullptr) {
    controller->SetFailed("no configuration is in force on this node yet");
  } else {
    response->set_revision(configuration->GetRevision().value);
    response->set_digest(configuration->GetDigest().value);
    response->set_source(ConfigSourceName(active_config_->State().source));
    *response->mutable_document() = configuration->GetDocument();
  }
  done->Run();
}

void AdministrationService::Locate(pb::RpcController*, const v1::LocateRequest*,
                                   v1::LocateResponse* response,
                                   pb::Closure* done) {
  const auto configuration = active_config_->InForce();
  const std::vector<NodeAddress> nodes = configuration == nullptr
                                             ? std::vector<NodeAddress>()
                                             : configuration->Nodes();
  const PeerState own_state = feed_->MyState();
  std::atomic<std::size_t> next{0};
  std::mutex mutex;
  const auto work = [&] {
    for (std::size_t i = next++; i < nodes.size(); i = next++) {
      auto found = QueryNode(nodes[i], own_state);
      const std::lock_guard<std::mutex> lock(mutex);
      *response->add_nodes() = std::move(found);
    }
  };
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < std::min(nodes.size(), kLocateThreads); ++i) {
    threads.emplace_back(work);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  done->Run();
}

RpcResponse CallRpc(pb::Service* service, const std::string& method,
                    const std::string& request_json) {
  const pb::MethodDescriptor* descriptor =
      service->GetDescriptor()->FindMethodByName(method);
  if (descriptor == nullptr) {
    return {http_status::kNotFound,
            ErrorJson("unknown_method", "there is no call named " + method)};
  }
  const std::unique_ptr<pb::Message> request(
      service->GetRequestPrototype(descriptor).New());
  const std::unique_ptr<pb::Message> response(
      service->GetResponsePrototype(descriptor).New());
  const auto read = pb::util::JsonStringToMessage(
      request_json.empty() ? "{}" : request_json, request.get());
  if (!read.ok()) {
    return {http_status::kBadRequest,
            ErrorJson("bad_request", std::string(read.message()))};
  }
  Controller controller;
  service->CallMethod(descriptor, &controller, request.get(), response.get(),
                      pb::NewCallback(&pb::DoNothing));
  if (controller.Failed()) {
    return {http_status::kConflict,
            ErrorJson("refused", controller.ErrorText())};
  }
  pb::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  std::string text;
  const auto written = pb::util::MessageToJsonString(*response, &text, options);
  if (!written.ok()) {
    return {http_status::kConflict,
            ErrorJson("refused", std::string(written.message()))};
  }
  return {http_status::kOk, text};
}

}  // namespace harecrank
