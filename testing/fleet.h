// A small fleet of real processes on loopback addresses.

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

// Configuration of a fleet.
struct FleetOptions {
  int entries = 2;
  int engines = 3;
  int services = 1;
  // Sidecars that run without an endpoint. They make the fleet larger at little
  // cost.
  int bare_sidecars = 0;
  // Endpoints and client accounts that are listed in the configuration document
  // and have no process. They make the document larger.
  int listed_endpoints = 0;
  int listed_accounts = 0;
  // In tokens.
  std::int64_t engine_memory = 20000;
  // In tokens per second.
  double prefill_rate = 200000;
  double step_ms = 2;
  double step_ms_per_stream = 0.05;
  std::int64_t step_tokens = 4096;
  // Inserts a fault-injecting proxy between the entry hosts and each sidecar.
  bool proxied_links = false;
  // Inserts a fault-injecting proxy between each sidecar and its endpoint.
  bool proxied_endpoints = false;
  // Whether a host list service runs, and the time until a change becomes
  // visible in it.
  bool host_list = false;
  int host_list_lag_ms = 0;
  // Whether a weight store runs, the number of loads that it serves
  // concurrently and the time of a load.
  bool weight_store = false;
  int max_concurrent_weight_loads = 2;
  int weight_load_ms = 50;
  // Whether engines have the model loaded when they start.
  bool models_loaded = true;
  // Engines accept orders with an outdated fence.
  bool ignore_fences = false;
  std::string routing_policy = "length_aware";
  // Number of data centres that entry hosts and endpoints are distributed over.
  int data_centres = 1;
  // Settings of each entry host and each sidecar.
  int max_requests = 256;
  int max_running = 64;
  int config_calls_per_second = 2000;
  // Merged into the policy of the first configuration document.
  nlohmann::json policy = nlohmann::json::object();
  // Merged into the settings of all entry hosts and all sidecars.
  nlohmann::json entry_settings = nlohmann::json::object();
  nlohmann::json sidecar_settings = nlohmann::json::object();
};

// Key of the client account, key of the operator and name of the model that
// every fleet has.
constexpr char kAccountKey[] = "account-key";
constexpr char kOperatorKey[] = "operator-key";
constexpr char kModel[] = "hare";

// Returns the options of a fleet with one entry host and one engine whose speed
// and memory never limit it, so that a measurement shows the cost of the system
// itself.
FleetOptions FastFleet();

// Starts all processes of a fleet and kills them in its destructor.
//
// The processes bind to a loopback address that is derived from the id of this
// process, so that fleets of concurrent tests don't conflict. Fleets of the
// same process must not exist at the same time.
//
// Not thread-safe.
class Fleet {
 public:
  explicit Fleet(const FleetOptions& options);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Waits until every entry host and sidecar is ready and each entry host can
  // use all endpoints. Returns false after a time-out or if a process has
  // exited, and prints the node's state and log.
  bool WaitReady();

  // Returns a process by name: "entry-0", "engine-0" (the stand-in),
  // "sidecar-0", "service-0", "service-sidecar-0", "config", "hosts",
  // "weights", "link-proxy-0", "endpoint-proxy-0".
  Process& Get(const std::string& name);

  // Kills a process if it is running and starts it with the same command.
  void Restart(const std::string& name);

  // Addresses of the interfaces of the processes: of an entry host for callers,
  // of a node for operators, of an endpoint, of a sidecar for entry hosts, and
  // of the platform's services.
  std::string CallersAddress(int entry) const;
  std::string OperationsAddress(const std::string& node) const;
  std::string EngineAddress(int index) const;
  std::string ServiceAddress(int index) const;
  std::string LinkAddress(int index) const;
  std::string ConfigServiceAddress() const;
  std::string HostListAddress() const;

  // Replaces the faults of a proxy, or of the configuration service, "config".
  void SetFault(const std::string& name, const nlohmann::json& fault);

  // Publishes a value at the configuration service.
  void Publish(const std::string& key, const std::string& value);

  // Has a node plan a configuration change and publishes the planned document.
  // Returns the new revision, or 0 if the node rejected the plan.
  std::uint32_t PlanAndPublish(const std::string& node,
                               const nlohmann::json& request);

  // Publishes a host list in which the nodes `ids` are leaving.
  void SetLeaving(const std::vector<std::string>& ids);

  // Returns the state dump of a node, or null if the node does not respond.
  nlohmann::json Dump(const std::string& node);

  // Returns the metrics of a node as text.
  std::string Metrics(const std::string& node);

  // Returns the process of a node, by its name in the document.
  Process& ProcessOf(const std::string& node);

  // Returns the names of the nodes that have a process, as in the document.
  const std::vector<std::string>& Nodes() const { return nodes_; }

  // Returns the tokens in use as the engine reports them, or -1 if it does not
  // respond.
  std::int64_t EngineUsedTokens(int index);

  // Returns the initial configuration document, or that of the last change that
  // PlanAndPublish has published.
  const nlohmann::json& Document() const { return document_; }
  // Returns the directory of settings and logs.
  const std::string& Directory() const { return directory_; }

  // Return the names of nodes in the document.
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
  // Returns the name of the node's process.
  std::string ProcessNameOf(const std::string& node) const;
  // Returns a description of the node's process and its readiness.
  std::string DescribeReadiness(const std::string& node);
  // Prints the state and the log of a node that did not become ready in time.
  void PrintNotReady(const std::string& node, const std::string& state);
  void WriteSettings(const std::string& name, const nlohmann::json& settings);
  nlohmann::json NodeSettings(const std::string& node, int data_centre);
  void BuildDocument();
  // Adds bare sidecars, listed endpoints and listed accounts to the document.
  void AddListedNodes();
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

// Evaluates `condition` every 10 ms until it holds. Returns false if it does
// not hold within `limit`. The default is far longer than any test needs.
bool WaitUntil(const std::function<bool()>& condition,
               Millis limit = Millis(30000));

// The response that a caller received.
struct ClientResponse {
  int status = 0;
  nlohmann::json body;
  std::string retry_after;
  // The text parts of a stream, in order, and the name and data of its last
  // named event.
  std::vector<std::string> parts;
  std::string end_event;
  nlohmann::json end;

  // Return code and outcome of the error in the body or in the last named
  // event, or an empty string if there is none.
  std::string Code() const;
  std::string Outcome() const;
  // Returns the generated text.
  std::string Text() const;
};

// A request of a caller.
struct ClientRequest {
  std::string address;
  std::string path = "/v1/completions";
  std::string method = "POST";
  nlohmann::json body;
  std::string key = kAccountKey;
  std::vector<HttpHeader> fields;
  Millis timeout{60000};
};

// Sends a request and reads the whole response, streamed or not. The status is
// 0 if the connection was lost before a status was received.
ClientResponse Call(const ClientRequest& request);

// Returns a request with a prompt of `tokens` tokens that begins with `label`.
ClientRequest Completion(const std::string& address, const std::string& label,
                         int tokens, int answer_tokens, bool stream);

// Returns the text that the engine stand-in generates for the request.
std::string ExpectedText(const ClientRequest& call);

// Requests a ticket for `target`, a JSON object with a model or a service.
// Returns an empty string if the entry host issued none.
std::string FetchTicket(const std::string& address,
                        const nlohmann::json& target);

// Returns how often requests whose prompt begins with `label` ran on the first
// `engines` engines. Engines compare the first 32 bytes.
int CountRuns(Fleet* fleet, int engines, const std::string& label);

}  // namespace harecrank::testing

#endif  // HARECRANK_TESTING_FLEET_H_
