// Decides the placements of the prompts of all hosts in a group.
//
// A long prompt may need sixteen engines at once, while bursts of short prompts
// arrive at up to a hundred hosts. If each host placed its own prompts with
// stale knowledge of the others, all of them would choose the engine that
// looked idle first, and a long prompt would find some of its engines just
// taken. A single planner that decides every placement knows the current load.
//
// The planner keeps soft state only: hosts report their active work in
// heartbeats, and work that no host reports is forgotten.

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

// A decision about a query that was queued. It may be a rejection.
struct DeferredReply {
  HostAddress host;
  Incarnation incarnation;
  QueryId id;
  PlacementDecision decision;
};

// Returns the current routing table, or null if there is none.
using RoutingTableProvider =
    std::function<std::shared_ptr<const RoutingTable>()>;

// Decides placements and holds the queries that wait for an engine. Not
// thread-safe.
class Planner {
 public:
  // All pointers must outlive the planner. `self` is this host's data centre.
  Planner(const EndpointDirectory* directory, EndpointHealth* health,
          const StartQuotas* start_quotas, DataCentreId self,
          RoutingTableProvider routing, const PlacementPolicy& policy,
          MonotonicClock clock, RandomSource random);

  // Makes this host the planner. Queries are queued until each of `hosts` has
  // reported its active work in a heartbeat, or until kLearningPeriod has
  // passed. Before that, engines that look idle may be busy, and a long prompt
  // placed on them would make the short ones there late.
  void Begin(const std::vector<HostAddress>& hosts);

  // Decides on a query. A repeated query gets the same reply and no second
  // placement.
  PlacementDecision OnQuery(const PlacementQuery& query);

  // Records that placed requests have finished their prefill or ended.
  void OnProgressReport(const ProgressReport& report);

  // Replaces the known work of a host by the work in its heartbeat. Placements
  // newer than kHeartbeatGrace are kept, since the host may have sent the
  // heartbeat before it received them. Ignores heartbeats that carry no work.
  void OnHeartbeat(const Heartbeat& heartbeat);

  // Tries to place the queued queries in queue order. Returns the replies to
  // those that leave the queue.
  std::vector<DeferredReply> ProcessWaitQueue();

  // Removes hosts that have not been heard from for kHostTimeout, and their
  // work.
  void RemoveSilentHosts();

  // Drops all state. Called when another host becomes the planner.
  void Clear();

  std::size_t WaitingCount() const {
    return long_queue_.Count() + short_queue_.Count();
  }
  std::size_t HostCount() const { return hosts_.size(); }
  // Number of accounts with queued long prompts, and how many of them are over
  // their fair share of engine time.
  std::size_t WaitingAccounts() const { return long_queue_.WaitingAccounts(); }
  std::size_t OverShareAccounts() const {
    return long_queue_.OverShareAccounts();
  }
  // Number of callers that hold a reservation for a retry.
  std::size_t ReservationCount() const {
    return admission_control_.ReservationCount();
  }
  // Reservations made, kept and broken since the start.
  const ReservationCounts& ReservationTotals() const {
    return admission_control_.Counts();
  }

  // Window over which the arrival rate of short prompts is measured.
  static constexpr Millis kDemandWindow{500};
  // Longest time to wait for heartbeats after Begin(). Live hosts report within
  // milliseconds, and short prompts cannot wait longer.
  static constexpr Millis kLearningPeriod{50};
  // Time after which the work of a silent host no longer counts. Engines end
  // that work shortly after the host's connections have closed.
  static constexpr Millis kHostTimeout{1500};
  // Age below which a placement may be missing from its host's heartbeat, since
  // the host may not have received it yet.
  static constexpr Millis kHeartbeatGrace{400};
  // How long the withheld list of a query is used. The host's start quota is
  // released one start at a time, so an older list would block endpoints that
  // are available again.
  static constexpr Millis kWithheldLifetime{400};
  // Time after which a queued query that is not repeated is considered
  // abandoned. It is several times the interval between repetitions.
  static constexpr Millis kQueryTimeout{1000};

 private:
  // A query, its place in the queue if it waits, and its placement if it has
  // one.
  struct Entry {
    PlacementQuery query;
    // Time from which the first event is past its latency target.
    TimePoint first_event_due{};
    TimePoint arrived_at{};
    // Time at which the caller or the route gives up the request.
    TimePoint deadline{};
    TimePoint last_query_at{};
    // Time of the placement, or of the heartbeat that reported the work.
    TimePoint placed_at{};
    // Set while the query is queued.
    std::optional<WaitingRequestId> queue_id;
    bool is_short = false;
    // Whether admission control (and not a fixed time-out) ends its wait.
    bool uses_admission_control = false;
    // The request was rejected earlier with a retry time, and its caller came
    // back at that time.
    bool has_reservation = false;
    std::optional<PlannedPlacement> placed;
    // The request's work in `loads_`.
    std::vector<WorkId> work;
    // The endpoint that decodes.
    EndpointId endpoint;
  };
  struct Host {
    Incarnation incarnation;
    TimePoint last_heard{};
    std::unordered_map<QueryId, Entry> queries;
  };
  // Identifies a query among those of all hosts.
  struct QueryKey {
    HostAddress host;
    QueryId id;
  };

  bool IsLearning() const;
  // Returns the state of a host. A new incarnation drops the queries of the
  // previous one.
  Host* FindOrAddHost(const HostAddress& address, Incarnation incarnation);
  // Returns nothing if all suitable engines are busy.
  std::optional<PlacementDecision> TryPlace(Entry* entry);
  // Returns the placer's input, or nothing if the service is unknown.
  std::optional<PlacementRequest> RequestOf(const Entry& entry) const;
  // Returns the endpoints at which the querying host has no start quota left.
  std::set<EndpointId> WithheldFor(const Entry& entry,
                                   const ServiceProfile& service) const;
  bool IsShort(const PlacementRequest& request) const;
  ShareClaim ShareClaimOf(const PlacementRequest& request) const;
  // Returns how the request ranks by fair share against the queued requests.
  ShareRank ShareRankOf(const Entry& entry,
                        const std::optional<PlacementRequest>& request);
  WaitQueue& QueueOf(const Entry& entry) {
    return entry.is_short ? short_queue_ : long_queue_;
  }
  // Returns whether the queue holds a long prompt that needs no more engine
  // time than this one and can no longer meet its target. Always false if the
  // request may already have run.
  bool HasLatePrecedent(const PlacementQuery& query,
                        const PlacementRequest& request) const;
  void Enqueue(Entry* entry, const PlacementRequest& request);
  void Dequeue(Entry* entry);
  // Records the arrival of a short prompt.
  void RecordDemand(const PlacementRequest& request);
  // Returns the short prompts expected to arrive within `time`, extrapolated
  // from the last kDemandWindow.
  ShortDemand DemandWithin(Millis time) const;
  // Returns the input of admission control. It refers to `request`.
  AdmissionCandidate CandidateOf(const Entry& entry,
                                 const PlacementRequest& request) const;
  // Returns the rejection of a new query that found no engine, or nothing if it
  // should be queued.
  std::optional<QueryRejected> RejectionOnArrival(
      const Entry& entry, const PlacementRequest& request,
      ShareRank share_rank);
  // Returns whether the queued query may start, given the work that is ahead of
  // it in `queue`.
  bool MayStart(const Entry& entry, const WaitQueue& queue,
                const WorkAhead& ahead) const;
  // Returns the rejection of a queued query with `ahead` before it, or nothing
  // if it should keep waiting. The decision is NoEndpoint if the service has
  // gone.
  std::optional<PlacementDecision> RejectionWhileQueued(const Entry& entry,
                                                        const WorkAhead& ahead);
  // Returns whether a short prompt has waited longer than
  // PlacementPolicy::late_wait_share allows. Always false under admission
  // control.
  bool HasTimedOut(const Entry& entry) const;
  // Tries to place queued queries until `max_failed` of them have failed, and
  // removes those that are rejected or have timed out.
  void ProcessQueue(WaitQueue* queue, std::size_t max_failed,
                    std::vector<DeferredReply>* replies);
  // Records work that a host reports and that this planner did not place. Marks
  // the prefills that are done.
  void AdoptWork(Host* host, const QueryWork& work);
  // Takes the query off the queue and ends its work.
  void RemoveEntry(Entry* entry);
  void RemoveQueries(Host* host);

  const EndpointDirectory* directory_;
  EndpointHealth* health_;
  const StartQuotas* start_quotas_;
  RoutingTableProvider routing_;
  PlacementPolicy policy_;
  MonotonicClock clock_;
  EndpointLoads loads_;
  // Requests started by each host through placements of this planner.
  StartHistory granted_starts_;
  Placer placer_;
  AdmissionControl admission_control_;
  // Long and short prompts compete separately.
  WaitQueue long_queue_;
  WaitQueue short_queue_;
  std::map<WaitingRequestId, QueryKey> long_query_keys_;
  std::map<WaitingRequestId, QueryKey> short_query_keys_;
  struct Demand {
    TimePoint at;
    FractionalMillis prefill_time{0};
  };
  // Short prompts that arrived within kDemandWindow, oldest first.
  std::deque<Demand> demand_;
  std::map<HostAddress, Host> hosts_;
  // Hosts that have not reported their work since Begin().
  std::set<HostAddress> unreported_hosts_;
  TimePoint learning_until_{};
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_PLANNER_H_
