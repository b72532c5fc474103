// The published routes, services, client accounts and limits of a gateway.

#ifndef HARECRANK_CORE_ROUTING_TABLE_H_
#define HARECRANK_CORE_ROUTING_TABLE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "harecrank/core/strong_types.h"

namespace harecrank {

// Version of a published routing table. Higher is newer; zero means none.
using RoutingVersion = StrongNumber<struct RoutingVersionTag, std::uint64_t>;

// Whether a request may be executed more than once.
enum class RequestKind {
  // Idempotent: may be executed any number of times.
  kSafe,
  // Must be executed at most once.
  kUnsafe,
  // Answered by a stream of events. Must be executed at most once unless the
  // route is resumable.
  kStreaming,
};

// The cost model of a model engine, as published by its operator. An engine
// works in passes: each pass prefills the prompts that arrived before it began
// and runs some decoding steps for the whole batch.
struct EngineProfile {
  // Maximum number of requests that run concurrently.
  int slots = 1;
  // Capacity of the KV memory.
  Tokens memory;
  // Fixed part of the duration of a decoding step, independent of the batch.
  double step_ms = 0;
  // Duration that each sequence of the batch adds to a step.
  double step_ms_per_sequence = 0;
  // Duration that each thousand tokens of context add to a step.
  double step_ms_per_thousand_context = 0;
  // Prompt tokens that are prefilled in a millisecond.
  double prefill_tokens_per_ms = 1;
  // Attention cost of the prefill: milliseconds for a million pairs of a prompt
  // token and an earlier token of the same prompt.
  double prefill_ms_per_million_pairs = 0;
  // Decoding steps that one pass runs for the whole batch.
  int steps_per_pass = 1;
};

// A service, with the limits that hosts observe at each of its endpoints.
struct ServiceProfile {
  ServiceName name;
  // Maximum number of connections that one endpoint accepts from all hosts
  // together.
  int max_connections = 0;
  // Path of the endpoints' health check; empty if they have none.
  std::string health_path;
  // Set for model engines, absent for plain services.
  std::optional<EngineProfile> engine;
  // Time after its start during which an endpoint is cold, that is, may accept
  // fewer requests than later.
  Millis cold_period{0};
  // Maximum number of requests per second that a cold endpoint accepts. Zero
  // means that there is no limit for cold endpoints.
  double cold_requests_per_s = 0;
};

// A service and its weight in the traffic split of a route.
struct WeightedService {
  ServiceName service;
  std::uint32_t weight = 1;
};

// The destination, limits and latency targets of the requests for one host name
// and path prefix.
struct RouteRule {
  std::string name;
  // Host name of the URL.
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  RequestKind kind = RequestKind::kUnsafe;
  // Maximum time from the arrival of a request to its deadline. A caller may
  // request a shorter time.
  Millis timeout{0};
  // Latency target for the whole answer, or for the first event of a stream.
  Millis target_latency{0};
  // Target for the longest inter-token gap of a stream, not including the time
  // to the first event.
  Millis target_gap{0};
  // Priority of the requests. Zero is the most urgent.
  int priority = 0;
  std::vector<WeightedService> services;
  // Maximum number of times that one request is sent, counted over all
  // endpoints.
  int max_attempts = 1;
  // Whether requests are accepted without an API key.
  bool is_public = false;
  // Whether an interrupted stream may be resumed at another endpoint.
  bool resumable = false;
  // Regions in which the requests may run. Empty: in all.
  std::vector<RegionId> permitted_regions;

  // Returns whether a request may be executed more than once.
  bool MayRepeat() const {
    return kind == RequestKind::kSafe ||
           (kind == RequestKind::kStreaming && resumable);
  }
};

// A client account and its API keys.
struct AccountEntry {
  AccountId id;
  std::vector<std::string> keys;
  // Overrides the priority of the route if set.
  std::optional<int> priority;
  // Regions in which the account's requests may run, in addition to the bound
  // of the route. Empty: in all.
  std::vector<RegionId> permitted_regions;
};

// Limits for the connections of callers.
struct CallerLimits {
  std::uint32_t max_header_bytes = 16384;
  std::uint64_t max_body_bytes = 4U << 20U;
  Millis header_timeout{3000};
  Millis idle_timeout{15000};
};

// A published routing configuration, before it is indexed.
struct RoutingDocument {
  RoutingVersion version;
  // Versions of the document that contain the same route usually share one
  // RouteRule object.
  std::vector<std::shared_ptr<const RouteRule>> routes;
  std::vector<ServiceProfile> services;
  // If absent, no request needs an API key.
  std::optional<std::vector<AccountEntry>> accounts;
  CallerLimits limits;
};

// A routing document with indexes for lookups. Immutable, hence safe to read
// from several threads.
class RoutingTable {
 public:
  explicit RoutingTable(RoutingDocument document);

  RoutingVersion Version() const { return document_.version; }
  const RoutingDocument& Document() const { return document_; }
  const CallerLimits& Limits() const { return document_.limits; }
  bool NeedsKeys() const { return document_.accounts.has_value(); }
  bool HasSeveralAccounts() const {
    return NeedsKeys() && document_.accounts->size() > 1;
  }

  // Returns the route of `host` with the longest path prefix that matches
  // `path`, or null. `host` may be in any case and have a port.
  const RouteRule* FindRoute(std::string_view host,
                             std::string_view path) const;

  // Returns the service called `name`, or null.
  const ServiceProfile* FindService(const ServiceName& name) const;

  // Returns the shortest target_gap of the routes to `service`, or zero if none
  // of them has one.
  Millis TightestGap(const ServiceName& service) const;

  // Returns the account with the API key `key`, or null.
  const AccountEntry* FindAccountByKey(const std::string& key) const;

  // Returns the account with the id `id`, or null.
  const AccountEntry* FindAccount(const AccountId& id) const;

 private:
  // Routes of one host name by path prefix. The keys point into document_.
  using RoutesByPrefix = std::unordered_map<std::string_view, const RouteRule*>;

  void IndexRoutes();

  RoutingDocument document_;
  // Routes by host name, in lower case and without a port.
  std::unordered_map<std::string, RoutesByPrefix> routes_;
  // Indexes into document_.services, by name.
  std::unordered_map<ServiceName, std::size_t> services_;
  std::unordered_map<ServiceName, Millis> tightest_gaps_;
  // Indexes into document_.accounts, by API key.
  std::unordered_map<std::string, std::size_t> account_by_key_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_ROUTING_TABLE_H_
