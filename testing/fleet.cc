#include "testing/fleet.h"

#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>
#include <utility>

#include "harecrank/core/http_status.h"
#include "src/adapters/system_sources.h"
#include "standins/engine_model.h"
#include "testing/loopback.h"

namespace harecrank::testing {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;

constexpr Millis kPoll{10};
constexpr Millis kCallTimeout{5000};
constexpr std::size_t kLabelBytes = 32;
constexpr std::size_t kBytesPerToken = 4;

HttpResponse CallOrEmpty(const HttpCall& call) {
  return leaf::try_handle_all([&] { return SendHttpRequest(call); },
                              [] { return HttpResponse(); });
}

HttpResponse Request(const std::string& address, const std::string& method,
                     const std::string& path, const std::string& body = "",
                     const std::string& key = "") {
  HttpCall call;
  call.address = address;
  call.method = method;
  call.path = path;
  call.body = body;
  call.timeout = kCallTimeout;
  if (!key.empty()) {
    call.fields.push_back(HttpHeader{"Authorization", "Bearer " + key});
  }
  return CallOrEmpty(call);
}

json Parsed(const std::string& text) {
  json parsed = json::parse(text, nullptr, false);
  return parsed.is_discarded() ? json() : parsed;
}

json DefaultPolicy() {
  return {{"long_weight_percent", 50},
          {"long_prompt_tokens", 8000},
          {"short_headroom_percent", 10},
          {"retry_budget_percent", 20},
          {"subset_size", 16},
          {"default_time_limit_ms", 30000},
          {"max_time_limit_ms", 600000},
          {"ticket_ttl_ms", 60000},
          {"weight_loads_at_once", 2}};
}

// Takes the events of one stream apart. The fields are those of the event
// stream format; data is one line, since the system sends JSON.
void ReadEvents(std::istream& body, ClientResponse* answer) {
  std::string line;
  std::string event;
  while (std::getline(body, line)) {
    if (line.compare(0, 7, "event: ") == 0) {
      event = line.substr(7);
      continue;
    }
    if (line.compare(0, 6, "data: ") != 0) {
      event = line.empty() ? "" : event;
      continue;
    }
    const json data = Parsed(line.substr(6));
    if (!event.empty()) {
      answer->end_event = event;
      answer->end = data;
    } else if (data.is_object()) {
      const json& choice = data["choices"][0];
      answer->parts.push_back(
          choice.contains("text")
              ? choice["text"].get<std::string>()
              : choice["delta"]["content"].get<std::string>());
    }
  }
}

}  // namespace

FleetOptions FastFleet() {
  FleetOptions options;
  options.entries = 1;
  options.engines = 1;
  options.services = 0;
  options.engine_memory = 4000000;
  options.prefill_rate = 10000000;
  options.max_running = 256;
  return options;
}

Fleet::Fleet(const FleetOptions& options)
    : options_(options),
      ip_(UniqueLoopbackAddress()),
      next_port_(kFirstTestPort) {
  directory_ = (std::filesystem::temp_directory_path() /
                ("harecrank-" + std::to_string(getpid())))
                   .string();
  std::filesystem::create_directories(directory_);
  BuildDocument();
  AddStandIns();
  WaitUntil([this] {
    return Request(ConfigServiceAddress(), "GET", "/control/stats").status ==
           http_status::kOk;
  });
  Publish("document", document_.dump());
  Publish("changes", "{\"changes\":[]}");
  for (int i = 0; i < options_.engines; ++i) {
    const std::string n = std::to_string(i);
    AddSidecar("sidecar-" + n, EngineNode(i), i,
               addresses_["sidecar-link-" + n],
               addresses_[options_.proxied_endpoints ? "endpoint-proxy-" + n
                                                     : "engine-" + n]);
  }
  for (int i = 0; i < options_.services; ++i) {
    const std::string n = std::to_string(i);
    AddSidecar("service-sidecar-" + n, ServiceNode(i), i,
               addresses_["service-link-" + n], addresses_["service-" + n]);
  }
  for (int i = 0; i < options_.bare_sidecars; ++i) {
    const std::string n = std::to_string(i);
    AddSidecar("bare-sidecar-" + n, BareNode(i), i,
               addresses_["bare-link-" + n], addresses_["bare-" + n]);
  }
  AddEntries();
}

Fleet::~Fleet() {
  processes_.clear();
  if (std::getenv("HARECRANK_KEEP_LOGS") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
  }
}

bool Fleet::WaitReady() {
  for (const std::string& node : nodes_) {
    const std::string address = OperationsAddress(node);
    bool ready = false;
    WaitUntil([&] {
      ready = Request(address, "GET", "/readyz").status == http_status::kOk;
      return ready || !ProcessOf(node).IsRunning();
    });
    if (!ready) {
      TellUnready(node, StateOf(node));
      return false;
    }
  }
  for (int i = 0; i < options_.entries; ++i) {
    const std::size_t all = static_cast<std::size_t>(options_.engines) +
                            static_cast<std::size_t>(options_.services);
    const bool linked = WaitUntil([&] {
      const json dump = Dump("entry-" + std::to_string(i));
      std::size_t usable = 0;
      for (const json& link : dump["entry"]["links"]) {
        usable += link["usable"].get<bool>() ? 1 : 0;
      }
      return usable == all;
    });
    if (!linked) {
      const std::string entry = "entry-" + std::to_string(i);
      TellUnready(entry, Dump(entry)["entry"]["links"].dump());
      return false;
    }
  }
  return true;
}

std::string Fleet::StateOf(const std::string& node) {
  Process& process = ProcessOf(node);
  if (!process.IsRunning()) {
    return "its process has ended: " + process.DescribeEnd();
  }
  const int status = Request(OperationsAddress(node), "GET", "/readyz").status;
  return "not ready, readiness answered " + std::to_string(status);
}

void Fleet::TellUnready(const std::string& node, const std::string& state) {
  std::cerr << node << ": " << state << "\n";
  // The log is gone with the fleet, and tells why a process has ended.
  std::ifstream log(directory_ + "/" + ProcessNameOf(node) + ".log");
  std::cerr << log.rdbuf() << "\n";
}

Process& Fleet::Get(const std::string& name) { return *processes_.at(name); }

void Fleet::Restart(const std::string& name) {
  processes_.erase(name);
  processes_[name] = std::make_unique<Process>(
      commands_.at(name), directory_ + "/" + name + ".log");
}

std::string Fleet::CallersAddress(int entry) const {
  return addresses_.at("entry-" + std::to_string(entry));
}

std::string Fleet::OperationsAddress(const std::string& node) const {
  return addresses_.at("operations-" + node);
}

std::string Fleet::EngineAddress(int index) const {
  return addresses_.at("engine-" + std::to_string(index));
}

std::string Fleet::ServiceAddress(int index) const {
  return addresses_.at("service-" + std::to_string(index));
}

std::string Fleet::LinkAddress(int index) const {
  return addresses_.at("sidecar-link-" + std::to_string(index));
}

std::string Fleet::ConfigServiceAddress() const {
  return addresses_.at("config");
}

std::string Fleet::HostListAddress() const { return addresses_.at("hosts"); }

void Fleet::SetFault(const std::string& name, const json& fault) {
  const std::string address = name == "config"
                                  ? ConfigServiceAddress()
                                  : addresses_.at(name + "-control");
  Request(address, "POST", "/control/fault", fault.dump());
}

void Fleet::Publish(const std::string& key, const std::string& value) {
  Request(ConfigServiceAddress(), "POST", "/control/values/" + key, value);
}

std::uint32_t Fleet::PlanAndPublish(const std::string& node,
                                    const json& request) {
  const HttpResponse answer = Request(OperationsAddress(node), "POST",
                                      "/rpc/harecrank.v1.Administration/Plan",
                                      request.dump(), kOperatorKey);
  if (answer.status != http_status::kOk) {
    return 0;
  }
  const json plan = Parsed(answer.body);
  Publish("document", plan["document_json"].get<std::string>());
  Publish("changes", plan["changes_json"].get<std::string>());
  document_ = Parsed(plan["document_json"].get<std::string>());
  return plan["revision"].get<std::uint32_t>();
}

void Fleet::SetLeaving(const std::vector<std::string>& ids) {
  json hosts = json::array();
  for (const std::string& id : ids) {
    hosts.push_back({{"id", id}, {"state", "leaving"}});
  }
  Request(HostListAddress(), "POST", "/control/hosts", hosts.dump());
}

json Fleet::Dump(const std::string& node) {
  return Parsed(
      Request(OperationsAddress(node), "GET", "/dump", "", kOperatorKey).body);
}

std::string Fleet::Metrics(const std::string& node) {
  return Request(OperationsAddress(node), "GET", "/metrics").body;
}

std::string Fleet::ProcessNameOf(const std::string& node) const {
  const auto found = commands_.find(node);
  if (found != commands_.end()) {
    return node;
  }
  const auto dash = node.rfind('-');
  const std::string number = node.substr(dash);
  const std::string kind = node.substr(0, dash);
  return (kind == "endpoint" ? "sidecar"
          : kind == "plain"  ? "service-sidecar"
                             : "bare-sidecar") +
         number;
}

Process& Fleet::ProcessOf(const std::string& node) {
  return Get(ProcessNameOf(node));
}

std::int64_t Fleet::EngineUsedTokens(int index) {
  const json account =
      Parsed(Request(EngineAddress(index), "GET", "/v1/account").body);
  return account.is_object() ? account.value("used", std::int64_t{-1}) : -1;
}

std::string Fleet::EngineNode(int index) {
  return "endpoint-" + std::to_string(index);
}

std::string Fleet::ServiceNode(int index) {
  return "plain-" + std::to_string(index);
}

std::string Fleet::BareNode(int index) {
  return "bare-" + std::to_string(index);
}

std::string Fleet::NextAddress() {
  return ip_ + ":" + std::to_string(next_port_++);
}

void Fleet::Add(const std::string& name, std::vector<std::string> command) {
  commands_[name] = std::move(command);
  Restart(name);
}

void Fleet::AddStandIns() {
  const std::string program = HARECRANK_STANDINS_BINARY;
  const auto add = [&](const std::string& name,
                       std::vector<std::string> arguments) {
    std::vector<std::string> command{program, "--address", addresses_.at(name)};
    command.insert(command.end(), arguments.begin(), arguments.end());
    Add(name, std::move(command));
  };
  add("config", {"config", "--calls-per-second",
                 std::to_string(options_.config_calls_per_second)});
  if (options_.host_list) {
    add("hosts",
        {"hosts", "--lag-ms", std::to_string(options_.host_list_lag_ms)});
  }
  if (options_.weight_store) {
    add("weights", {"weights", "--at-once",
                    std::to_string(options_.max_concurrent_weight_loads),
                    "--load-ms", std::to_string(options_.weight_load_ms)});
  }
  const auto add_proxy = [&](const std::string& name,
                             const std::string& target) {
    addresses_[name + "-control"] = NextAddress();
    add(name, {"proxy", "--target", target, "--control",
               addresses_[name + "-control"]});
  };
  for (int i = 0; i < options_.engines; ++i) {
    const std::string n = std::to_string(i);
    std::vector<std::string> arguments{
        "engine",
        "--memory",
        std::to_string(options_.engine_memory),
        "--prefill-rate",
        std::to_string(options_.prefill_rate),
        "--step-ms",
        std::to_string(options_.step_ms),
        "--step-ms-per-stream",
        std::to_string(options_.step_ms_per_stream),
        "--step-tokens",
        std::to_string(options_.step_tokens)};
    if (options_.models_loaded) {
      arguments.insert(arguments.end(),
                       {"--model", std::string(kModel) + ":1"});
    }
    if (options_.weight_store) {
      arguments.insert(arguments.end(), {"--weights", addresses_["weights"]});
    }
    if (options_.ignore_fences) {
      arguments.emplace_back("--ignore-fences");
    }
    add("engine-" + n, std::move(arguments));
    if (options_.proxied_links) {
      add_proxy("link-proxy-" + n, addresses_["sidecar-link-" + n]);
    }
    if (options_.proxied_endpoints) {
      add_proxy("endpoint-proxy-" + n, addresses_["engine-" + n]);
    }
  }
  for (int i = 0; i < options_.services; ++i) {
    add("service-" + std::to_string(i), {"service"});
  }
}

void Fleet::AddSidecar(const std::string& name, const std::string& node,
                       int data_centre, const std::string& link,
                       const std::string& endpoint) {
  json settings = NodeSettings(node, data_centre);
  settings["link_address"] = link;
  settings["endpoint_address"] = endpoint;
  settings["max_running"] = options_.max_running;
  settings["reconcile_interval_ms"] = 300;
  settings["pulse_interval_ms"] = 500;
  settings["weight_load_time_ms"] = 200;
  settings.update(options_.sidecar_settings);
  WriteSettings(name, settings);
  Add(name, {HARECRANK_BINARY, "sidecar", "--settings",
             directory_ + "/" + name + ".json"});
  nodes_.push_back(node);
}

void Fleet::AddEntries() {
  for (int i = 0; i < options_.entries; ++i) {
    const std::string name = "entry-" + std::to_string(i);
    json settings = NodeSettings(name, i);
    settings["callers_address"] = addresses_[name];
    settings["max_requests"] = options_.max_requests;
    settings["routing_policy"] = options_.routing_policy;
    settings.update(options_.entry_settings);
    WriteSettings(name, settings);
    Add(name, {HARECRANK_BINARY, "entry", "--settings",
               directory_ + "/" + name + ".json"});
    nodes_.push_back(name);
  }
}

void Fleet::WriteSettings(const std::string& name, const json& settings) {
  std::ofstream(directory_ + "/" + name + ".json") << settings.dump(2);
}

json Fleet::NodeSettings(const std::string& node, int data_centre) {
  json settings{{"node_id", node},
                {"data_centre", DataCentre(data_centre)},
                {"operations_address", OperationsAddress(node)},
                {"config_service", ConfigServiceAddress()},
                {"operator_keys_sha256", {Sha256Hex(kOperatorKey)}},
                {"compare_interval_ms", 500}};
  if (options_.host_list) {
    settings["host_list"] = HostListAddress();
  }
  return settings;
}

void Fleet::BuildDocument() {
  for (const char* name : {"config", "hosts", "weights"}) {
    addresses_[name] = NextAddress();
  }
  json& document = document_;
  document["revision"] = 1;
  document["accounts"]["tinta"] = {{"key_sha256", Sha256Hex(kAccountKey)},
                                   {"weight", 1}};
  document["models"][kModel] = {{"context_tokens", 2000000}, {"version", "1"}};
  document["policy"] = DefaultPolicy();
  document["policy"].update(options_.policy);
  document["endpoints"] = json::object();
  for (int i = 0; i < options_.engines; ++i) {
    const std::string n = std::to_string(i);
    addresses_["engine-" + n] = NextAddress();
    addresses_["sidecar-link-" + n] = NextAddress();
    addresses_["link-proxy-" + n] = NextAddress();
    addresses_["endpoint-proxy-" + n] = NextAddress();
    addresses_["operations-" + EngineNode(i)] = NextAddress();
    document["endpoints"][EngineNode(i)] = {
        {"link_address",
         addresses_[(options_.proxied_links ? "link-proxy-" : "sidecar-link-") +
                    n]},
        {"operations_address", OperationsAddress(EngineNode(i))},
        {"data_centre", DataCentre(i)},
        {"engine",
         {{"models", {kModel}},
          {"memory_tokens", options_.engine_memory},
          {"checks_fences", !options_.ignore_fences}}}};
  }
  for (int i = 0; i < options_.services; ++i) {
    const std::string n = std::to_string(i);
    addresses_["service-" + n] = NextAddress();
    addresses_["service-link-" + n] = NextAddress();
    addresses_["operations-" + ServiceNode(i)] = NextAddress();
    document["endpoints"][ServiceNode(i)] = {
        {"link_address", addresses_["service-link-" + n]},
        {"operations_address", OperationsAddress(ServiceNode(i))},
        {"data_centre", DataCentre(i)},
        {"service", {{"name", "orders"}}}};
  }
  ListMore();
  for (int i = 0; i < options_.entries; ++i) {
    const std::string name = "entry-" + std::to_string(i);
    addresses_[name] = NextAddress();
    addresses_["operations-" + name] = NextAddress();
    document["entries"][name] = {
        {"operations_address", OperationsAddress(name)},
        {"data_centre", DataCentre(i)}};
  }
}

void Fleet::ListMore() {
  const auto endpoint = [&](const std::string& link,
                            const std::string& operations, int index) {
    return json{{"link_address", link},
                {"operations_address", operations},
                {"data_centre", DataCentre(index)},
                {"engine",
                 {{"models", {kModel}},
                  {"memory_tokens", options_.engine_memory},
                  {"checks_fences", true}}}};
  };
  for (int i = 0; i < options_.bare_sidecars; ++i) {
    const std::string n = std::to_string(i);
    addresses_["bare-" + n] = NextAddress();
    addresses_["bare-link-" + n] = NextAddress();
    addresses_["operations-" + BareNode(i)] = NextAddress();
    document_["endpoints"][BareNode(i)] = endpoint(
        addresses_["bare-link-" + n], OperationsAddress(BareNode(i)), i);
  }
  for (int i = 0; i < options_.listed_endpoints; ++i) {
    document_["endpoints"]["listed-" + std::to_string(i)] = endpoint(
        ip_ + ":1", ip_ + ":1",
        // None in the first data centre: those listed there would be
        // its readers, and no process is behind them.
        options_.data_centres > 1 ? 1 + i % (options_.data_centres - 1) : 0);
  }
  for (int i = 0; i < options_.listed_accounts; ++i) {
    const std::string id = "account-" + std::to_string(i);
    document_["accounts"][id] = {{"key_sha256", Sha256Hex(id)},
                                 {"weight", 1},
                                 {"tokens_per_second", 1000000}};
  }
}

std::string Fleet::DataCentre(int index) const {
  return "dc-" + std::to_string(index % options_.data_centres);
}

std::string HarecrankBinary() { return HARECRANK_BINARY; }

bool WaitUntil(const std::function<bool()>& condition, Millis limit) {
  const auto until = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= until) {
      return false;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

std::string ClientResponse::Code() const {
  const json& from = end_event == "error" ? end : body;
  return from.is_object() && from.contains("error")
             ? from["error"].value("code", std::string())
             : std::string();
}

std::string ClientResponse::Outcome() const {
  const json& from = end_event == "error" ? end : body;
  return from.is_object() && from.contains("error")
             ? from["error"].value("outcome", std::string())
             : std::string();
}

std::string ClientResponse::Text() const {
  if (body.is_object() && body.contains("choices")) {
    return body["choices"][0].value("text", std::string());
  }
  std::string text;
  for (const std::string& part : parts) {
    text += part;
  }
  return text;
}

ClientResponse Call(const ClientRequest& asked) {
  HttpCall call;
  call.address = asked.address;
  call.method = asked.method;
  call.path = asked.path;
  call.body = asked.body.is_null()
                  ? ""
                  : (asked.body.is_string() ? asked.body.get<std::string>()
                                            : asked.body.dump());
  call.timeout = asked.timeout;
  call.fields = asked.fields;
  call.fields.push_back(HttpHeader{"Authorization", "Bearer " + asked.key});
  const bool stream =
      asked.body.is_object() && asked.body.value("stream", false);
  ClientResponse answer;
  if (!stream) {
    const HttpResponse got = CallOrEmpty(call);
    answer.status = got.status;
    answer.body = Parsed(got.body);
    answer.retry_after = got.retry_after;
    return answer;
  }
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        return StreamHttp(call, [&](int status, std::istream& body) {
          answer.status = status;
          if (status == http_status::kOk) {
            ReadEvents(body, &answer);
            return;
          }
          std::string line;
          std::getline(body, line);
          answer.body = Parsed(line);
        });
      },
      [] {});
  return answer;
}

ClientRequest Completion(const std::string& address, const std::string& label,
                         int tokens, int answer_tokens, bool stream) {
  std::string prompt = label + " ";
  const std::size_t bytes = static_cast<std::size_t>(tokens) * kBytesPerToken;
  while (prompt.size() < bytes) {
    prompt += "a word and another ";
  }
  prompt.resize(bytes);
  ClientRequest call;
  call.address = address;
  call.body = {{"model", kModel},
               {"prompt", prompt},
               {"max_tokens", answer_tokens},
               {"stream", stream}};
  return call;
}

std::string ExpectedText(const ClientRequest& call) {
  const auto digest =
      standins::DigestText(call.body["prompt"].get<std::string>());
  std::string text;
  for (int i = 0; i < call.body["max_tokens"].get<int>(); ++i) {
    text += standins::TokenAt(digest, i);
  }
  return text;
}

std::string FetchTicket(const std::string& address, const json& target) {
  ClientRequest call;
  call.address = address;
  call.path = "/v1/tickets";
  call.body = target;
  const ClientResponse answer = Call(call);
  return answer.status == http_status::kOk
             ? answer.body.value("ticket", std::string())
             : std::string();
}

int CountRuns(Fleet* fleet, int engines, const std::string& label) {
  int runs = 0;
  for (int i = 0; i < engines; ++i) {
    const json all =
        Parsed(Request(fleet->EngineAddress(i), "GET", "/control/runs").body);
    for (const auto& run : all.items()) {
      const bool same =
          run.key().compare(0, std::min(label.size(), kLabelBytes),
                            label.substr(0, kLabelBytes)) == 0;
      runs += same ? run.value().get<int>() : 0;
    }
  }
  return runs;
}

}  // namespace harecrank::testing
