// Messages that the hosts of a fleet send to each other as datagrams.
//
// One host of the fleet, the planner, places the prompts of all hosts. The
// other hosts send the planner a query for each prompt and report the progress
// of each request. Their heartbeats, sent a few times a second, list all their
// requests in progress, from which a new planner rebuilds its state. Any
// message may be lost or duplicated.

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
#include "harecrank/core/part_evidence.h"
#include "harecrank/core/region_rule.h"
#include "harecrank/core/request_origin.h"
#include "harecrank/core/request_quarantine.h"
#include "harecrank/core/routing_table.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// Identifies one placement query. Unique within one incarnation of a host.
using QueryId = StrongNumber<struct QueryTag, std::uint64_t>;

// Identifies a query among the queries of all hosts.
struct QueryKey {
  HostAddress host;
  QueryId id;

  friend bool operator<(const QueryKey& a, const QueryKey& b) {
    return a.host != b.host ? a.host < b.host : a.id < b.id;
  }
};

// CPU share: the number of cores, possibly a fraction, that a host may use.
// Hosts with a greater share are preferred as the planner.
using CpuShare = StrongNumber<struct CpuShareTag, double>;

// A member of the fleet, as one host names it to another in a heartbeat.
struct KnownHost {
  HostAddress address;
  CpuShare cpu_share;
};

// The work in progress of the request for which a query was sent.
struct QueryWork {
  QueryId id;
  // Whether the first event of the request has been received.
  bool prefill_done = false;
  // The work of the request at each endpoint: first at the endpoint that
  // decodes, then the prompt parts at its helpers.
  std::vector<WorkPart> parts;
};

// State of a host's own polling of the store, as its heartbeats report it.
enum class PollState {
  // The host does not poll.
  kNone,
  // The host polls, but no poll has succeeded or failed recently.
  kStarted,
  // The store has recently answered a poll.
  kAnswered,
  // The last poll has recently failed: the store rejected it, aborted it or did
  // not answer it.
  kFailed
};

// A host's periodic report about itself.
struct Heartbeat {
  NodeId node;
  HostAddress address;
  Incarnation incarnation;
  CpuShare cpu_share;
  // Version of the routing table that the sender uses.
  RoutingVersion routing;
  // The store revision up to which the sender knows all changes.
  StoreRevision known_up_to;
  // Whether the sender's data from the store are fresh, from its own polls or
  // from another host.
  bool store_data_fresh = false;
  // Age of the sender's data from the store: the time since the store sent the
  // answer that contained them, to this or to another host.
  Millis store_data_age{0};
  PollState poll_state = PollState::kNone;
  // Set by the planner only: whether the receiver is one of the hosts that poll
  // the store for the fleet.
  std::optional<bool> should_poll;
  // The receiver's rank among the hosts that poll the store for the fleet. Rank
  // zero polls continuously; the others are standby hosts, which start to poll
  // in the order of their ranks.
  int poll_rank = 0;
  // The host that the sender regards as the planner, possibly itself. Empty if
  // it knows no planner.
  HostAddress planner;
  // Whether the sender is about to stop and therefore no longer available as
  // the planner.
  bool leaving = false;
  bool wants_reply = false;
  // Number of alive hosts that the sender observes, including itself.
  int alive_hosts = 1;
  // Some of the alive hosts that the sender knows.
  std::vector<KnownHost> hosts;
  // Endpoints that the sender avoids because of failures that it has observed
  // itself.
  std::vector<AvoidedEndpoint> avoided;
  // All work in progress of the sender's requests; unset if this heartbeat does
  // not report it.
  std::optional<std::vector<QueryWork>> work;
  // Digest of the sender's reports about requests and parts that crash
  // endpoints; zero if it has no such reports.
  std::uint64_t crash_digest = 0;
  // Largest number of hosts, including itself, that the sender has observed
  // (FleetSize::PeakObserved); zero if it does not report this number.
  int peak_hosts = 0;
  // Rate limits announced by endpoints, as far as the sender knows them.
  std::vector<RateLimitReport> limits;
  // Whether the fleet may have held parts of prompts before of which the sender
  // does not know (PartQuarantine::KnowsAllHolds).
  bool may_lack_holds = false;
  // Number of callers' requests that the sender got within
  // RequestShare::kWindow; unset if it has no room for more.
  std::optional<int> recent_requests;
};

// Asks the planner to place one request.
struct PlacementQuery {
  HostAddress host;
  Incarnation incarnation;
  QueryId id;
  ServiceName service;
  // Latency target for the first event, and the longest inter-token gap that is
  // within the target.
  Millis target_latency{0};
  Millis target_gap{0};
  // Length of the prompt and expected length of the answer.
  Tokens prompt;
  Tokens answer;
  // Time left until the first event is late; negative once it is late.
  FractionalMillis until_late{0};
  // Whether an endpoint may already have run the request. Such a request is not
  // rejected while it waits.
  bool may_have_run = false;
  // Endpoints to which the request was sent before. They are not chosen again.
  std::set<EndpointId> tried;
  // Time left until the caller or the route gives up the request.
  FractionalMillis until_deadline{0};
  RequestOrigin origin;
  // Endpoints at which the host may not start a request now, because it has
  // used up its start quota, which is its share of the endpoint's limit on
  // request starts.
  std::set<EndpointId> withheld;
  // The data centres in which the request may run, by the configuration that
  // the host uses.
  PermittedDataCentres permitted;
  // Set if the host can no longer send the request to an endpoint and wants no
  // placement, only the time at which its caller should return. The decision is
  // then a rejection.
  bool wants_return_time = false;
  // Whether the request may be executed more than once.
  bool may_repeat = false;
};

// A helper endpoint and the number of tokens of the request's KV memory that it
// holds.
struct PlannedHelper {
  EndpointId endpoint;
  Tokens held;
};

// The placement of a request: the endpoint that decodes the answer, and the
// helpers that prefill parts of its prompt.
struct PlannedPlacement {
  EndpointId endpoint;
  std::vector<PlannedHelper> helpers;
  WorkClass work_class = WorkClass::kShort;
  // Predicted prefill time of each prompt part, and predicted time until the
  // first event.
  FractionalMillis prefill_time{0};
  FractionalMillis first_event{0};
  // Number of endpoints among which the planner chose.
  std::size_t candidates = 0;
};

// The query waits in the planner's queue. A second reply follows with the final
// decision: a placement, a rejection or NoEndpoint.
struct QueryQueued {};
// The request is rejected because no endpoint would become free in time for it.
struct QueryRejected {
  // Time after which the caller should retry; unset if the planner cannot
  // predict it.
  std::optional<Millis> retry_after;
};
// No endpoint of the service is usable.
struct NoEndpoint {};
// The host that received the query is not the planner. `planner` is the host
// that it regards as the planner; empty if it knows none.
struct NotPlanner {
  HostAddress planner;
};
// The planner's decision about one query.
using PlacementDecision = std::variant<PlannedPlacement, QueryQueued,
                                       QueryRejected, NoEndpoint, NotPlanner>;

// The planner's answer to a query.
struct PlacementReply {
  HostAddress from;
  Incarnation incarnation;
  QueryId id;
  PlacementDecision decision;
};

// Reports that the first event of a request was received.
struct PrefillDone {
  QueryId id;
  // Measured time to the first event divided by the predicted time; above 1 if
  // the endpoint was slower than predicted.
  double pace = 1;
};
// Reports that a request has ended, with or without success.
struct RequestDone {
  QueryId id;
  // Whether the endpoint answered with a failure or broke the connection.
  bool failed = false;
};

// Reports that a request with helpers has no first event although it is overdue
// by far, or that it broke before its first event, and that no endpoint was
// named as the cause.
struct GroupTrouble {
  QueryId id;
  // The ratio of PrefillDone::pace for the time until now.
  double pace = 1;
};

// Reports the progress of placed requests to the planner.
struct ProgressReport {
  HostAddress host;
  Incarnation incarnation;
  // Requests whose first event was received, and requests that have ended.
  std::vector<PrefillDone> read;
  std::vector<RequestDone> ended;
  std::vector<GroupTrouble> troubles{};
};

// The changes of the store since one of its revisions, sent by the planner to
// the other hosts.
struct PublishedChanges {
  HostAddress from;
  // The changes, in the format of the feed that polled the store.
  std::string changes;
};

// A host's reports about requests, and parts of prompts, that crash endpoints.
struct CrashReports {
  HostAddress from;
  std::vector<CrashReport> reports;
  // Hosts of an earlier version send and read none.
  PartEvidence parts{};
};

// A query that waits in the planner's queue.
struct QueuedRecord {
  // The query, with the times that were left when the record was made.
  PlacementQuery query;
  // Time since the query arrived at the planner.
  FractionalMillis age{0};
  // Whether the caller's retry holds a reservation.
  bool has_reservation = false;
  // Queries that arrived earlier at the same queue have smaller numbers.
  std::uint64_t position = 0;
};
// A request that was placed and has not ended.
struct PlacedRecord {
  // Unset if the planner knows only the work, from a heartbeat.
  std::optional<PlannedPlacement> placement;
  QueryWork work;
  // Time since the request was placed.
  FractionalMillis age{0};
  // Time that was left until the first event is late.
  FractionalMillis until_late{0};
};
// A request that has ended or was rejected.
struct EndedRecord {};

// What the planner knows of one query.
struct PlannerRecord {
  HostAddress host;
  Incarnation incarnation;
  QueryId id;
  std::variant<QueuedRecord, PlacedRecord, EndedRecord> state;
};

// The queries whose state has changed since the planner's previous update. Sent
// to the standbys, the hosts that may become the next planner.
struct PlannerUpdate {
  HostAddress from;
  Incarnation incarnation;
  // Number of the update. Each update has the number of the previous one plus
  // one.
  std::uint64_t sequence = 0;
  // Whether the records that the receiver holds are obsolete: this update and
  // the following ones contain all queries.
  bool restarts = false;
  // Whether the next update follows at once because the records did not fit
  // into this one.
  bool has_more = false;
  std::vector<PlannerRecord> records;
};

// Asks the planner for an update that restarts, since an update was lost.
struct PlannerStateRequest {
  HostAddress from;
};

// Any message between hosts.
using FleetMessage =
    std::variant<Heartbeat, PlacementQuery, PlacementReply, ProgressReport,
                 PublishedChanges, CrashReports, PlannerUpdate,
                 PlannerStateRequest>;

// Encodes `message` as CBOR.
std::string EncodeFleetMessage(const FleetMessage& message);

// Decodes the output of EncodeFleetMessage. Returns nothing if `bytes` is not a
// valid message.
std::optional<FleetMessage> DecodeFleetMessage(const std::string& bytes);

}  // namespace harecrank

#endif  // HARECRANK_CORE_FLEET_MESSAGES_H_
