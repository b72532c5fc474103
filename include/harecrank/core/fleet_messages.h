// What entry hosts tell each other, by datagram.
//
// One host of a group plans for all of it. The others ask it for a place for
// each prompt, note what became of it, and tell a few times a second what they
// have under way, so that a planner that is new learns everything from the
// hosts themselves. Any message may be lost or come twice.

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

// Names a host: IP number and port where it answers operators and other hosts.
using HostAddress = StrongString<struct HostAddressTag>;

// Names one place that a host asked for. Never used twice in one incarnation of
// it.
using QueryId = StrongNumber<struct AskTag, std::uint64_t>;

// The processor share of a host's machine. Strong hosts plan for weak ones.
using CpuShare = StrongNumber<struct HostPowerTag, double>;

// A host that another one knows.
struct KnownHost {
  HostAddress address;
  CpuShare cpu_share;
};

// What a host has under way by one ask.
struct QueryWork {
  QueryId id;
  // The first event has come.
  bool prefill_done = false;
  // Of the endpoint first, then of the helpers.
  std::vector<WorkPart> parts;
};

// How a host's own reading of the platform's service goes.
enum class PollState {
  kNone,
  // It reads, and the first answer may still come.
  kStarted,
  kAnswered,
  // The service refused, broke off or was silent.
  kFailed
};

// A host's account of itself.
struct Heartbeat {
  NodeId node;
  HostAddress address;
  Incarnation incarnation;
  CpuShare cpu_share;
  RoutingVersion routing;
  StoreRevision known_up_to;
  // The platform answers it, or it hears from a host that the platform answers.
  bool store_data_fresh = false;
  // How long ago the platform answered the host that this is known from.
  Millis store_data_age{0};
  PollState poll_state = PollState::kNone;
  // In a planner's word: whether the host that it goes to is one of those that
  // read the platform's service for all.
  std::optional<bool> should_poll;
  // If it is: zero reads all the time, others stand by in this turn.
  int poll_rank = 0;
  // Whom it takes for the planner; itself if it plans. Empty if it knows none.
  HostAddress planner;
  // It is about to stop, and plans no more.
  bool leaving = false;
  bool wants_reply = false;
  // How many hosts it knows to be alive, itself among them.
  int alive_hosts = 1;
  // Some that it knows to be alive.
  std::vector<KnownHost> hosts;
  // Endpoints that it leaves alone by what it has seen itself.
  std::vector<AvoidedEndpoint> avoided;
  // All that it has under way; nothing where the word does not tell that.
  std::optional<std::vector<QueryWork>> work;
  // Of what it knows of requests that end endpoints; zero if it knows of none.
  std::uint64_t crash_digest = 0;
  // The most hosts that it has counted for a long time, itself among them; zero
  // from hosts that do not tell it.
  int peak_hosts = 0;
  // What it has heard of limits that endpoints name.
  std::vector<RateLimitReport> limits;
};

// Asks the planner for a place.
struct PlacementQuery {
  HostAddress host;
  Incarnation incarnation;
  QueryId id;
  ServiceName service;
  Millis target_latency{0};
  Millis target_gap{0};
  Tokens prompt;
  Tokens answer;
  // What is left until the first event is late; negative if it is.
  FractionalMillis until_late{0};
  // An endpoint may have run it already: it is not refused while it waits.
  bool may_have_run = false;
  std::set<EndpointId> tried;
  // What is left until its caller, or its route, gives it up.
  FractionalMillis until_deadline{0};
  RequestOrigin origin;
  // Where the host may begin nothing now, since its part of what the endpoint
  // takes from all hosts is used up.
  std::set<EndpointId> withheld;
};

// A helper and how much of the prompt's memory lies there.
struct PlannedHelper {
  EndpointId endpoint;
  Tokens held;
};

// Where the request goes.
struct PlannedPlacement {
  EndpointId endpoint;
  std::vector<PlannedHelper> helpers;
  WorkClass work_class = WorkClass::kShort;
  FractionalMillis prefill_time{0};
  FractionalMillis first_event{0};
  std::size_t candidates = 0;
};

// The ask stands in the planner's queue; a place follows when there is one.
struct QueryQueued {};
// It would wait in vain.
struct QueryRejected {
  // When its caller should come again; unset where the planner does not know.
  std::optional<Millis> retry_after;
};
// No endpoint of the service may be used.
struct NoEndpoint {};
// The host that was asked does not plan. Names the one that it takes for the
// planner; empty if it knows none.
struct NotPlanner {
  HostAddress planner;
};
using PlacementDecision = std::variant<PlannedPlacement, QueryQueued,
                                       QueryRejected, NoEndpoint, NotPlanner>;

// The planner's answer.
struct PlacementReply {
  HostAddress from;
  Incarnation incarnation;
  QueryId id;
  PlacementDecision decision;
};

// The first event of a request came.
struct PrefillDone {
  QueryId id;
  // How long that took in relation to the prediction.
  double pace = 1;
};
// A request ended, however.
struct RequestDone {
  QueryId id;
  // Its endpoint answered with a failure or broke off.
  bool failed = false;
};

// Tells the planner what became of places that it gave.
struct ProgressReport {
  HostAddress host;
  Incarnation incarnation;
  std::vector<PrefillDone> read;
  std::vector<RequestDone> ended;
};

// What the platform has published since a revision, told by the planner.
struct PublishedChanges {
  HostAddress from;
  // In the form of the feed that read it.
  std::string changes;
};

// What a host knows of requests that end endpoints.
struct CrashReports {
  HostAddress from;
  std::vector<CrashReport> reports;
};

using FleetMessage =
    std::variant<Heartbeat, PlacementQuery, PlacementReply, ProgressReport,
                 PublishedChanges, CrashReports>;

// Returns `message` as CBOR.
std::string EncodeFleetMessage(const FleetMessage& message);

// Reads what EncodeFleetMessage wrote. Returns nothing if `bytes` is no such
// message.
std::optional<FleetMessage> DecodeFleetMessage(const std::string& bytes);

}  // namespace harecrank

#endif  // HARECRANK_CORE_FLEET_MESSAGES_H_
