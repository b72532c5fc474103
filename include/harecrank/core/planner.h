// Decides on which endpoints the prompts of all hosts of the fleet are placed.
//
// A long prompt may need sixteen engines at once, while bursts of short prompts
// arrive at up to a hundred hosts. If each host placed its own prompts with
// outdated knowledge of the other hosts' placements, all of them would choose
// the same engine that looked idle, and some engines chosen for a long prompt
// would already be busy. A single planner that decides every placement knows
// the current load.
//
// The planner's state need not survive a restart: hosts report their work in
// progress in heartbeats, and the planner forgets work that no host reports.

#ifndef HARECRANK_CORE_PLANNER_H_
#define HARECRANK_CORE_PLANNER_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "harecrank/core/admission_control.h"
#include "harecrank/core/clock.h"
#include "harecrank/core/endpoint_directory.h"
#include "harecrank/core/endpoint_health.h"
#include "harecrank/core/endpoint_loads.h"
#include "harecrank/core/fleet_messages.h"
#include "harecrank/core/placement.h"
#include "harecrank/core/routing_table.h"
#include "harecrank/core/start_quotas.h"
#include "harecrank/core/wait_queue.h"

namespace harecrank {

// The decision about a query that was queued (a placement, a rejection or
// NoEndpoint), with the host to which it must be sent.
struct DeferredReply {
  HostAddress host;
  Incarnation incarnation;
  QueryId id;
  PlacementDecision decision;
};

// Returns the current routing table, or null if there is none.
using RoutingTableProvider =
    std::function<std::shared_ptr<const RoutingTable>()>;

// Decides placements for the queries of all hosts, and holds the queries that
// wait for an engine. Not thread-safe.
class Planner {
 public:
  // All pointers must outlive the planner. `self` is this host's data centre.
  Planner(const EndpointDirectory* directory, EndpointHealth* health,
          const StartQuotas* start_quotas, DataCentreId self,
          RoutingTableProvider routing, const PlacementPolicy& policy,
          MonotonicClock clock, RandomSource random);

  // Makes this host the planner. Queries are queued until each of `hosts` has
  // reported its work in progress in a heartbeat, or until kLearningPeriod has
  // passed. Until the hosts have reported, engines that look idle may be busy,
  // and a long prompt placed on them would make their short prompts late.
  void Begin(const std::vector<HostAddress>& hosts);

  // Decides on a query. If a query is repeated, the planner repeats its
  // placement, or QueryQueued while it waits, and does not place it twice.
  PlacementDecision OnQuery(const PlacementQuery& query);

  // Records which placed requests have finished their prefill, and which have
  // ended.
  void OnProgressReport(const ProgressReport& report);

  // Replaces the known work of a host by the work that its heartbeat reports.
  // Placements newer than kHeartbeatGrace are kept, since the host may have
  // sent the heartbeat before it received them. Ignores heartbeats that do not
  // report work.
  void OnHeartbeat(const Heartbeat& heartbeat);

  // Tries to place the queued queries in queue order. Returns the replies to
  // the queries that leave the queue.
  std::vector<DeferredReply> ProcessWaitQueue();

  // Removes hosts from which no query, progress report or heartbeat with work
  // has arrived for kHostTimeout, and their work.
  void RemoveSilentHosts();

  // Removes the state of all hosts. Must be called when another host becomes
  // the planner.
  void Clear();

  std::size_t WaitingCount() const {
    return long_queue_.Count() + short_queue_.Count();
  }
  std::size_t HostCount() const { return hosts_.size(); }
  // Number of accounts with queued long prompts, and how many of these accounts
  // have used more than their fair share of engine time.
  std::size_t WaitingAccounts() const { return long_queue_.WaitingAccounts(); }
  std::size_t OverShareAccounts() const {
    return long_queue_.OverShareAccounts();
  }
  // Number of rejected callers that hold a reservation for their retry.
  std::size_t ReservationCount() const {
    return admission_control_.ReservationCount();
  }
  // Counts since the process started: reservations made, retries with a
  // reservation that were placed, and retries with a reservation that were
  // rejected again.
  const ReservationCounts& ReservationTotals() const {
    return admission_control_.Counts();
  }

  // Window over which the arrival rate of short prompts is measured.
  static constexpr Millis kDemandWindow{500};
  // After Begin(), queries are queued until all hosts have reported their work,
  // but at most for this time. Live hosts report within milliseconds, and short
  // prompts cannot wait longer.
  static constexpr Millis kLearningPeriod{50};
  // Time without a query, progress report or heartbeat with work from a host
  // after which RemoveSilentHosts() removes its work. Engines end the work of a
  // failed host shortly after its connections have closed.
  static constexpr Millis kHostTimeout{1500};
  // A placement younger than this is kept even if it is missing from its host's
  // heartbeat, since the host may not have received the placement yet.
  static constexpr Millis kHeartbeatGrace{400};
  // How long the planner excludes the endpoints in PlacementQuery::withheld, at
  // which the querying host may not start requests. The host's start quota is
  // released one start at a time, so an older list would exclude endpoints that
  // are available again.
  static constexpr Millis kWithheldLifetime{400};
  // Time after which a queued query is considered abandoned if its host does
  // not repeat it. It is several times the interval at which hosts repeat their
  // queries.
  static constexpr Millis kQueryTimeout{1000};

 private:
  // What the planner knows of one query: its place in the queue if it waits,
  // and its placement and work if it has been placed.
  struct Entry {
    PlacementQuery query;
    // Time after which the first event is late.
    TimePoint first_event_due{};
    TimePoint arrived_at{};
    // Time at which the caller or the route gives up the request.
    TimePoint deadline{};
    TimePoint last_query_at{};
    // Time of the placement, or of the heartbeat that first reported the work
    // if another planner placed it.
    TimePoint placed_at{};
    // Identifies the query in its wait queue; unset if it is not queued.
    std::optional<WaitingRequestId> queue_id;
    bool is_short = false;
    // Whether admission control, instead of a fixed time-out, ends the wait of
    // the query.
    bool uses_admission_control = false;
    // Whether the request was rejected earlier with a retry time and its caller
    // has now retried at that time.
    bool has_reservation = false;
    std::optional<PlannedPlacement> placed;
    // Ids of the request's work in `loads_`; empty if it has not been placed.
    std::vector<WorkId> work;
    // The endpoint that decodes the answer, if the request has been placed.
    EndpointId endpoint;
    // PrefillObservation::part of the placement.
    FractionalMillis least_first_event{0};
  };
  // A host's queries and work as the planner knows them.
  struct HostQueries {
    Incarnation incarnation;
    TimePoint last_heard{};
    std::unordered_map<QueryId, Entry> queries;
  };
  // Identifies a query among the queries of all hosts.
  struct QueryKey {
    HostAddress host;
    QueryId id;
  };

  // Returns whether queries are still queued because not all hosts have
  // reported their work since Begin().
  bool IsLearning() const;
  // Returns the entry of a host, which is added if necessary. If the host has a
  // new incarnation, the queries of its previous incarnation are removed.
  HostQueries* FindOrAddHost(const HostAddress& address,
                             Incarnation incarnation);
  // Tries to place the query and records its work. Returns the placement,
  // NoEndpoint, or nothing if the query must wait for an engine.
  std::optional<PlacementDecision> TryPlace(Entry* entry);
  // Returns PrefillObservation::part of a placement that has not begun yet.
  FractionalMillis LeastFirstEvent(const Placement& placement,
                                   const PlacementRequest& request) const;
  // Returns the first event of the placed query.
  static PrefillObservation ObservationOf(const Entry& entry, double slowdown);
  // Returns the request of a query as input for the placer, or nothing if the
  // routing table has no such service.
  std::optional<PlacementRequest> RequestOf(const Entry& entry) const;
  // Returns the endpoints at which the querying host may not start a request
  // now, because its start quota is used up.
  std::set<EndpointId> WithheldFor(const Entry& entry,
                                   const ServiceProfile& service) const;
  bool IsShort(const PlacementRequest& request) const;
  ShareClaim ShareClaimOf(const PlacementRequest& request) const;
  // Returns whether the request goes before or after the queued requests, by
  // its account's fair share of engine time.
  ShareRank ShareRankOf(const Entry& entry,
                        const std::optional<PlacementRequest>& request);
  WaitQueue& QueueOf(const Entry& entry) {
    return entry.is_short ? short_queue_ : long_queue_;
  }
  // Returns whether the queue holds a long prompt that can no longer meet its
  // target although its prefill takes no longer than that of the given request.
  // Always false if the given request may already have run.
  bool HasLatePrecedent(const PlacementQuery& query,
                        const PlacementRequest& request) const;
  void Enqueue(Entry* entry, const PlacementRequest& request);
  void Dequeue(Entry* entry);
  // Records the arrival of a short prompt.
  void RecordDemand(const PlacementRequest& request);
  // Returns the short prompts that are expected to arrive within `time`,
  // extrapolated from those that arrived within the last kDemandWindow.
  ShortDemand DemandWithin(Millis time) const;
  // Returns the query as input for admission control. The result refers to
  // `request`, which must outlive it.
  AdmissionCandidate CandidateOf(const Entry& entry,
                                 const PlacementRequest& request) const;
  // Returns a rejection if a new query for which no engine was found must be
  // rejected, or nothing if it should be queued.
  std::optional<QueryRejected> RejectionOnArrival(
      const Entry& entry, const PlacementRequest& request,
      ShareRank share_rank);
  // Returns whether the queued query may be placed now, given the work `ahead`
  // of it in `queue`.
  bool MayStart(const Entry& entry, const WaitQueue& queue,
                const WorkAhead& ahead) const;
  // Returns a decision that ends the wait of a queued query, given the work
  // `ahead` of it in the queue: a rejection, or NoEndpoint if its service no
  // longer exists. Returns nothing if the query should keep waiting.
  std::optional<PlacementDecision> RejectionWhileQueued(const Entry& entry,
                                                        const WorkAhead& ahead);
  // Returns whether a short prompt has waited longer than
  // PlacementPolicy::late_wait_share allows. Always false under admission
  // control.
  bool HasTimedOut(const Entry& entry) const;
  // Tries to place the queries in `queue` until `max_failed` of them could not
  // be placed, and removes the queries that are placed, are rejected or have
  // timed out. Adds the replies to `replies`.
  void ProcessQueue(WaitQueue* queue, std::size_t max_failed,
                    std::vector<DeferredReply>* replies);
  // Records work that a host reports and that this planner has not placed, and
  // marks the work whose prefill is done.
  void AdoptWork(HostQueries* host, const QueryWork& work);
  // Removes the query from its queue and its work from `loads_`.
  void RemoveEntry(Entry* entry);
  // Removes all queries of a host, with their work.
  void RemoveQueries(HostQueries* host);

  const EndpointDirectory* directory_;
  EndpointHealth* health_;
  const StartQuotas* start_quotas_;
  RoutingTableProvider routing_;
  PlacementPolicy policy_;
  MonotonicClock clock_;
  EndpointLoads loads_;
  // The requests that this planner has placed, counted as starts by host and
  // endpoint.
  StartHistory granted_starts_;
  Placer placer_;
  AdmissionControl admission_control_;
  // Long and short prompts wait in separate queues.
  WaitQueue long_queue_;
  WaitQueue short_queue_;
  std::map<WaitingRequestId, QueryKey> long_query_keys_;
  std::map<WaitingRequestId, QueryKey> short_query_keys_;
  // The arrival of a short prompt.
  struct Demand {
    TimePoint at;
    FractionalMillis prefill_time{0};
  };
  // Short prompts that arrived within kDemandWindow, oldest first.
  std::deque<Demand> demand_;
  std::map<HostAddress, HostQueries> hosts_;
  // Hosts passed to Begin() that have not reported their work yet.
  std::set<HostAddress> unreported_hosts_;
  TimePoint learning_until_{};
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_PLANNER_H_
