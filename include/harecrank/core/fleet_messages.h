// Messages that hosts of a fleet send each other as datagrams.
//
// One host of the fleet, the planner, places the prompts of all hosts. The
// others send it a query for each prompt and report its progress. Their
// heartbeats, a few times a second, list all their requests in progress, so
// that a new planner learns its state from the hosts. Any message may be lost
// or duplicated.

#ifndef HARECRANK_CORE_FLEET_MESSAGES_H_
#define HARECRANK_CORE_FLEET_MESSAGES_H_

#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "harecrank/core/endpoint_directory.h"
#include "harecrank/core/endpoint_health.h"
#include "harecrank/core/endpoint_loads.h"
#include "harecrank/core/endpoint_rate_limits.h"
#include "harecrank/core/request_origin.h"
#include "harecrank/core/request_quarantine.h"
#include "harecrank/core/routing_table.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// Identifies a host: IP address and port of its server for operators and other
// hosts.
using HostAddress = StrongString<struct HostAddressTag>;

// Identifies one placement query. Unique within one incarnation of a host.
using QueryId = StrongNumber<struct QueryTag, std::uint64_t>;

// CPU share of a host, in cores. Hosts with a greater share are preferred as
// the planner.
using CpuShare = StrongNumber<struct CpuShareTag, double>;

// A host that another host knows.
struct KnownHost {
  HostAddress address;
  CpuShare cpu_share;
};

// The work in progress for one query.
struct QueryWork {
  QueryId id;
  // The first event has been received.
  bool prefill_done = false;
  // The part at the endpoint first, then those at its helpers.
  std::vector<WorkPart> parts;
};

// State of a host's own polling of the store.
enum class PollState {
  // The host does not poll.
  kNone,
  // The host polls; no poll has succeeded or failed recently.
  kStarted,
  kAnswered,
  // The store has rejected or aborted the last poll, or has not answered it.
  kFailed
};

// A host's periodic report about itself.
struct Heartbeat {
  NodeId node;
  HostAddress address;
  Incarnation incarnation;
  CpuShare cpu_share;
  // The routing table that it uses.
  RoutingVersion routing;
  // The store revision up to which it knows all changes.
  StoreRevision known_up_to;
  // Its data of the store are fresh, whether from its own polls or from another
  // host.
  bool store_data_fresh = false;
  // Time since the store gave the answer from which its data come, to whichever
  // host.
  Millis store_data_age{0};
  PollState poll_state = PollState::kNone;
  // Set by the planner only: whether the receiver is one of the hosts that poll
  // the store for the fleet.
  std::optional<bool> should_poll;
  // The receiver's rank among those hosts: zero polls continuously, the others
  // stand by in this order.
  int poll_rank = 0;
  // The host that it takes for the planner, which may be itself. Empty if it
  // knows none.
  HostAddress planner;
  // It is about to stop and is no longer available as the planner.
  bool leaving = false;
  bool wants_reply = false;
  // Number of alive hosts that it observes, including itself.
  int alive_hosts = 1;
  // Some of the alive hosts that it knows.
  std::vector<KnownHost> hosts;
  // Endpoints that it avoids because of failures that it has seen itself.
  std::vector<AvoidedEndpoint> avoided;
  // All its work in progress; unset if this heartbeat does not report it.
  std::optional<std::vector<QueryWork>> work;
  // Digest of its reports of requests that crash endpoints; zero if it has
  // none.
  std::uint64_t crash_digest = 0;
  // Largest number of hosts, including itself, that it has observed over a long
  // time; zero if the sender does not report it.
  int peak_hosts = 0;
  // Rate limits that endpoints have announced, as far as it knows.
  std::vector<RateLimitReport> limits;
};

// Asks the planner for a placement.
struct PlacementQuery {
  HostAddress host;
  Incarnation incarnation;
  QueryId id;
  ServiceName service;
  // Targets for the time to the first event and for the inter-token gap.
  Millis target_latency{0};
  Millis target_gap{0};
  // Length of the prompt and expected length of the answer.
  Tokens prompt;
  Tokens answer;
  // Time left until the first event is late; negative once it is late.
  FractionalMillis until_late{0};
  // An endpoint may have run the request already: it is not rejected while it
  // waits.
  bool may_have_run = false;
  // Endpoints that were tried already.
  std::set<EndpointId> tried;
  // Time left until the caller or the route gives the request up.
  FractionalMillis until_deadline{0};
  RequestOrigin origin;
  // Endpoints at which the host may not start a request now, because its share
  // of their start limit is used up.
  std::set<EndpointId> withheld;
};

// A helper endpoint and the part of the prompt's KV cache that it holds.
struct PlannedHelper {
  EndpointId endpoint;
  Tokens held;
};

// The endpoints that run a request.
struct PlannedPlacement {
  EndpointId endpoint;
  std::vector<PlannedHelper> helpers;
  WorkClass work_class = WorkClass::kShort;
  // Predicted duration of the prefill, and predicted time until the first
  // event.
  FractionalMillis prefill_time{0};
  FractionalMillis first_event{0};
  // Number of endpoints that were considered.
  std::size_t candidates = 0;
};

// The query waits in the planner's queue. A second reply follows with the
// placement.
struct QueryQueued {};
// The request is rejected because no endpoint would become free in time for it.
struct QueryRejected {
  // When the caller should retry; unset if the planner cannot tell.
  std::optional<Millis> retry_after;
};
// No endpoint of the service is usable.
struct NoEndpoint {};
// The receiver of the query is not the planner. Names the host that it takes
// for the planner; empty if it knows none.
struct NotPlanner {
  HostAddress planner;
};
using PlacementDecision = std::variant<PlannedPlacement, QueryQueued,
                                       QueryRejected, NoEndpoint, NotPlanner>;

// The planner's answer to a query.
struct PlacementReply {
  HostAddress from;
  Incarnation incarnation;
  QueryId id;
  PlacementDecision decision;
};

// The first event of a request was received.
struct PrefillDone {
  QueryId id;
  // Measured time to the first event divided by the predicted time.
  double pace = 1;
};
// A request has ended, with or without success.
struct RequestDone {
  QueryId id;
  // Its endpoint answered with a failure or broke the connection.
  bool failed = false;
};

// Reports the progress of placed requests to the planner.
struct ProgressReport {
  HostAddress host;
  Incarnation incarnation;
  // Requests whose first event was received, and requests that have ended.
  std::vector<PrefillDone> read;
  std::vector<RequestDone> ended;
};

// Changes of the store since a revision, sent by the planner.
struct PublishedChanges {
  HostAddress from;
  // In the format of the feed that polled the store.
  std::string changes;
};

// What a host knows of requests that crash endpoints.
struct CrashReports {
  HostAddress from;
  std::vector<CrashReport> reports;
};

using FleetMessage =
    std::variant<Heartbeat, PlacementQuery, PlacementReply, ProgressReport,
                 PublishedChanges, CrashReports>;

// Returns `message` as CBOR.
std::string EncodeFleetMessage(const FleetMessage& message);

// Decodes the output of EncodeFleetMessage. Returns nothing if `bytes` is not a
// valid message.
std::optional<FleetMessage> DecodeFleetMessage(const std::string& bytes);

}  // namespace harecrank

#endif  // HARECRANK_CORE_FLEET_MESSAGES_H_
