// A small fleet of real processes on the loopback range.

#ifndef HARECRANK_TESTING_FLEET_H_
#define HARECRANK_TESTING_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "harecrank/core/strong_types.h"
#include "src/adapters/http.h"
#include "testing/process.h"

namespace harecrank::testing {

// What the fleet is made of.
struct FleetOptions {
  int entries = 2;
  int engines = 3;
  int services = 1;
  // Sidecars that run without an endpoint beside them, and endpoints that are
  // only listed in the document: what a larger fleet costs this one.
  int bare_sidecars = 0;
  int listed_endpoints = 0;
  int listed_accounts = 0;
  std::int64_t engine_memory = 20000;
  double prefill_rate = 200000;
  double step_ms = 2;
  double step_ms_per_stream = 0.05;
  std::int64_t step_tokens = 4096;
  // Puts a fault-injecting proxy before each sidecar's link address.
  bool proxied_links = false;
  // Puts one between each sidecar and its endpoint.
  bool proxied_endpoints = false;
  bool host_list = false;
  int host_list_lag_ms = 0;
  bool weight_store = false;
  int max_concurrent_weight_loads = 2;
  int weight_load_ms = 50;
  // Whether engines hold the model when they start.
  bool models_loaded = true;
  bool ignore_fences = false;
  std::string routing_policy = "length_aware";
  // Entry hosts and endpoints are spread over so many data centres.
  int data_centres = 1;
  int max_requests = 256;
  int max_running = 64;
  int config_calls_per_second = 2000;
  // Merged into the policy of the first document.
  nlohmann::json policy = nlohmann::json::object();
  // Merged into the settings of each role.
  nlohmann::json entry_settings = nlohmann::json::object();
  nlohmann::json sidecar_settings = nlohmann::json::object();
};

// The account key and operator key that every fleet has.
constexpr char kAccountKey[] = "account-key";
constexpr char kOperatorKey[] = "operator-key";
constexpr char kModel[] = "hare";

// A fleet of one entry host and one engine so fast and large that it does not
// count: what is left to measure is the system itself.
FleetOptions FastFleet();

// Starts and ends all processes; those that live end with the fleet.
//
// Each fleet has an address of the loopback range of its own, taken from its
// process's number, so that fleets of tests that run at once never meet.
class Fleet {
 public:
  explicit Fleet(const FleetOptions& options);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Waits until every entry host and sidecar is ready and can serve. Returns
  // false if that does not come about.
  bool WaitReady();

  // Returns a process by name: "entry-0", "engine-0" (the stand-in),
  // "sidecar-0", "service-0", "service-sidecar-0", "config", "hosts",
  // "weights", "link-proxy-0", "endpoint-proxy-0".
  Process& Get(const std::string& name);

  // Starts a process again, under the same settings.
  void Restart(const std::string& name);

  // Addresses by what they serve.
  std::string CallersAddress(int entry) const;
  std::string OperationsAddress(const std::string& node) const;
  std::string EngineAddress(int index) const;
  std::string ServiceAddress(int index) const;
  std::string LinkAddress(int index) const;
  std::string ConfigServiceAddress() const;
  std::string HostListAddress() const;

  // Sets the faults of a proxy, or of the configuration service.
  void SetFault(const std::string& name, const nlohmann::json& fault);

  // Publishes values at the configuration service.
  void Publish(const std::string& key, const std::string& value);

  // Plans a change at a node and publishes what it returns. Returns the new
  // revision, or 0 if the plan was refused.
  std::uint32_t PlanAndPublish(const std::string& node,
                               const nlohmann::json& request);

  // Sets the host list: the ids that are leaving among all nodes.
  void SetLeaving(const std::vector<std::string>& ids);

  // Returns a node's dump.
  nlohmann::json Dump(const std::string& node);

  // Returns a node's metrics, as text.
  std::string Metrics(const std::string& node);

  // Returns the process that runs a node of the document.
  Process& ProcessOf(const std::string& node);

  // Returns the nodes that have a process, by their names in the document.
  const std::vector<std::string>& Nodes() const { return nodes_; }

  // Returns the memory in use by an engine's own account, or -1.
  std::int64_t EngineUsedTokens(int index);

  const nlohmann::json& Document() const { return document_; }
  const std::string& Directory() const { return directory_; }

  // The names that the document gives to nodes.
  static std::string EngineNode(int index);
  static std::string ServiceNode(int index);
  static std::string BareNode(int index);

 private:
  std::string NextAddress();
  void Add(const std::string& name, std::vector<std::string> command);
  void AddStandIns();
  void AddSidecar(const std::string& name, const std::string& node,
                  int data_centre, const std::string& link,
                  const std::string& endpoint);
  void AddEntries();
  // Returns the name under which the node's process runs.
  std::string ProcessNameOf(const std::string& node) const;
  // Returns whether the node's process runs, and what its readiness answers.
  std::string StateOf(const std::string& node);
  // Prints what is known of a node that did not become ready in time.
  void TellUnready(const std::string& node, const std::string& state);
  void WriteSettings(const std::string& name, const nlohmann::json& settings);
  nlohmann::json NodeSettings(const std::string& node, int data_centre);
  void BuildDocument();
  void ListMore();
  std::string DataCentre(int index) const;

  FleetOptions options_;
  std::string directory_;
  std::string ip_;
  int next_port_;
  nlohmann::json document_;
  std::map<std::string, std::string> addresses_;
  std::map<std::string, std::vector<std::string>> commands_;
  std::map<std::string, std::unique_ptr<Process>> processes_;
  std::vector<std::string> nodes_;
};

// Returns the path of the binary under test.
std::string HarecrankBinary();

// Waits until `condition` holds, looking often. Returns whether it came to
// hold before a limit that is far beyond what any test should need.
bool WaitUntil(const std::function<bool()>& condition,
               Millis limit = Millis(30000));

// What a caller got.
struct ClientResponse {
  int status = 0;
  nlohmann::json body;
  std::string retry_after;
  // Of a stream: the parts in order, and the data of its last named event.
  std::vector<std::string> parts;
  std::string end_event;
  nlohmann::json end;

  // Returns the error's code and outcome, from wherever it came.
  std::string Code() const;
  std::string Outcome() const;
  // Returns the whole text of the answer.
  std::string Text() const;
};

// One request as a caller makes it.
struct ClientRequest {
  std::string address;
  std::string path = "/v1/completions";
  std::string method = "POST";
  nlohmann::json body;
  std::string key = kAccountKey;
  std::vector<HttpHeader> fields;
  Millis timeout{60000};
};

// Makes a call and reads the whole answer, streamed or not. The status is 0 if
// the connection was lost.
ClientResponse Call(const ClientRequest& call);

// Returns a call for `tokens` of prompt that begins with `label`.
ClientRequest Completion(const std::string& address, const std::string& label,
                         int tokens, int answer_tokens, bool stream);

// Returns the answer that an engine gives to such a prompt.
std::string ExpectedText(const ClientRequest& call);

// Fetches a ticket. Returns an empty string if none was given.
std::string FetchTicket(const std::string& address,
                        const nlohmann::json& target);

// Returns `count` of the call's prompt beginnings at each engine: how often a
// request with this label ran anywhere in the fleet.
int CountRuns(Fleet* fleet, int engines, const std::string& label);

}  // namespace harecrank::testing

#endif  // HARECRANK_TESTING_FLEET_H_
