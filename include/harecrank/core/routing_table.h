// What the gateway knows of routes, services, client accounts and limits.

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

// Orders published routing tables. Higher is newer; zero means none.
using RoutingVersion = StrongNumber<struct RoutingVersionTag, std::uint64_t>;

// What may be repeated of a request.
enum class RequestKind {
  // May run any number of times.
  kSafe,
  // May run once at most.
  kUnsafe,
  // Answers with a series of events; may run once at most unless its route
  // says that it can be resumed.
  kStreaming,
};

// The costs of a model engine, as its operator publishes them.
struct EngineProfile {
  // Requests that run at once.
  int slots = 1;
  // KV memory.
  Tokens memory;
  // One decoding step of a batch, without its members.
  double step_ms = 0;
  // What each member adds to a step.
  double step_ms_per_sequence = 0;
  // What a thousand tokens of a member's context add to a step.
  double step_ms_per_thousand_context = 0;
  // Prompt tokens read in a millisecond.
  double prefill_tokens_per_ms = 1;
  // A million pairs of a prompt token and one before it.
  double prefill_ms_per_million_pairs = 0;
  // Steps that one pass over all members plays.
  int steps_per_pass = 1;
};

// A service, and how its endpoints may be used.
struct ServiceProfile {
  ServiceName name;
  // The most connections that one endpoint accepts from all callers together.
  int max_connections = 0;
  // Set for model engines, absent for plain services.
  std::optional<EngineProfile> engine;
  // How long an endpoint is cold after it has started.
  Millis cold_period{0};
  // The requests that a cold endpoint takes in a second; zero: as many as any.
  double cold_requests_per_s = 0;
};

// A service's share of a route's requests.
struct WeightedService {
  ServiceName service;
  std::uint32_t weight = 1;
};

// Where the requests under one host and path go, and within which bounds.
struct RouteRule {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  RequestKind kind = RequestKind::kUnsafe;
  // The longest that a request may be held.
  Millis timeout{0};
  // Within this an answer, or the first event of a stream, is in time.
  Millis target_latency{0};
  // The longest pause between events of a stream that is still in time.
  Millis target_gap{0};
  // Zero is the most urgent.
  int priority = 0;
  std::vector<WeightedService> services;
  // To how many endpoints one request may be sent.
  int max_attempts = 1;
  // Needs no key.
  bool is_public = false;
  // A stream may be taken up at another endpoint.
  bool resumable = false;

  // Returns whether a request may run more than once.
  bool MayRepeat() const {
    return kind == RequestKind::kSafe ||
           (kind == RequestKind::kStreaming && resumable);
  }
};

// A client account and the keys that its callers show.
struct AccountEntry {
  AccountId id;
  std::vector<std::string> keys;
  // Replaces the route's priority.
  std::optional<int> priority;
};

// What a caller may send, and how long it may take.
struct CallerLimits {
  std::uint32_t max_header_bytes = 16384;
  std::uint64_t max_body_bytes = 4U << 20U;
  Millis header_timeout{3000};
  Millis idle_timeout{15000};
};

// All of it as published, before it is indexed.
struct RoutingDocument {
  RoutingVersion version;
  // Shared with the versions before that have the same route.
  std::vector<std::shared_ptr<const RouteRule>> routes;
  std::vector<ServiceProfile> services;
  // Absent: no request needs a key.
  std::optional<std::vector<AccountEntry>> accounts;
  CallerLimits limits;
};

// A routing document with the indexes that a request needs. Immutable.
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

  // Returns the route whose host is `host` and whose prefix is the longest that
  // begins `path`, or null. `host` may carry a port and any case.
  const RouteRule* FindRoute(std::string_view host,
                             std::string_view path) const;

  // Returns the service called `name`, or null.
  const ServiceProfile* FindService(const ServiceName& name) const;

  // Returns the shortest pause between events that any streaming route to
  // `service` allows, or zero if there is no such route.
  Millis TightestGap(const ServiceName& service) const;

  // Returns the account that holds `key`, or null.
  const AccountEntry* FindAccountByKey(const std::string& key) const;

 private:
  // The texts are the document's.
  using RoutesByPrefix = std::unordered_map<std::string_view, const RouteRule*>;

  void IndexRoutes();

  RoutingDocument document_;
  // By host.

  std::unordered_map<std::string, RoutesByPrefix> routes_;
  std::unordered_map<ServiceName, std::size_t> services_;
  std::unordered_map<ServiceName, Millis> tightest_gaps_;
  std::unordered_map<std::string, std::size_t> account_by_key_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_ROUTING_TABLE_H_
