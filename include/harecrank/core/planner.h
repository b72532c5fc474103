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
#include "harecrank/core/engine_timetable.h"
#include "harecrank/core/fleet_messages.h"
#include "harecrank/core/long_prompt_schedule.h"
#include "harecrank/core/placement.h"
#include "harecrank/core/return_promises.h"
#include "harecrank/core/room_admission.h"
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

// Numbers of decisions by the timetable of long prompts since the process
// started.
struct PlanningCounts {
  // Prompts that were given a later start when they arrived or first waited.
  std::uint64_t planned_ahead = 0;
  // Prompts that were placed while one before them in the plan waited for its
  // start.
  std::uint64_t backfilled = 0;
  // Prompts that were rejected because no engines are free before their callers
  // give up.
  std::uint64_t no_room = 0;
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

  // Adds the queued queries and the work of a previous planner to what this
  // planner, which must have begun, knows already. If `complete`, the records
  // are all that the previous planner knew, and this planner places queries
  // without waiting for the reports of the hosts. Returns the number of records
  // that were used; a queued query whose time is up, or whose service no longer
  // exists, is not.
  std::size_t Restore(const std::vector<PlannerRecord>& records, bool complete);

  // Decides on a query. If a query is repeated, the planner repeats its
  // placement, or QueryQueued while it waits, and does not place it twice. A
  // query that wants only a return time is answered with QueryRejected.
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
  // has arrived for kHostTimeout, and their work. Drops expired promises.
  void RemoveSilentHosts();

  // Returns whether the queries of `host` can be remembered: it is known, or
  // there is room for another host.
  bool HasRoomFor(const HostAddress& host) const {
    return hosts_.size() < kMaxHosts || hosts_.count(host) != 0;
  }
  // Returns the number of queries of all hosts that have not ended. Visits each
  // host.
  std::size_t QueryCount() const;

  // Removes the state of all hosts. Must be called when another host becomes
  // the planner.
  void Clear();

  // Returns whether the queue should be processed soon after a long prompt was
  // queued, because its start may be now.
  bool PlansArrivals() const {
    return std::holds_alternative<ReserveEnginesAhead>(policy_.long_placing);
  }
  // Starts or ends the recording of queries whose state changes. Off initially.
  void RecordChanges(bool enabled);
  // Returns the queries whose state has changed since the last call.
  std::set<QueryKey> TakeChanges();
  // Returns all queries that wait or are placed.
  std::set<QueryKey> KnownQueries() const;
  // Returns a QueryQueued reply to each query that waits.
  std::vector<DeferredReply> QueuedReplies() const;
  // Returns the state of a query; nothing if it has ended.
  std::optional<PlannerRecord> RecordOf(const QueryKey& key) const;

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
  // Number of rejected callers that were told when to return and have not
  // returned yet.
  std::size_t PromiseCount() const { return promises_.Count(); }
  const PromiseCounts& PromiseTotals() const { return promises_.Counts(); }

  const PlanningCounts& PlanningTotals() const { return planning_counts_; }
  // Returns the delays until the planned starts of the queued long prompts, as
  // of the latest plan and in the order in which they were planned.
  const std::vector<Millis>& NextStarts() const { return plan_.starts; }

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
  // Maximum number of queued prompts that are planned ahead in one pass; the
  // others keep waiting.
  static constexpr std::size_t kMaxPlannedPrompts = 32;
  // Maximum numbers of hosts and of queries that are remembered, several times
  // what one planner plans for.
  static constexpr std::size_t kMaxHosts = 4096;
  static constexpr std::size_t kMaxQueries = 32768;
  // Maximum number of promises that take part in a pass.
  static constexpr std::size_t kMaxPlannedPromises = 16;
  // Time for which a plan is used. The queue is processed more often than this
  // while prompts wait.
  static constexpr Millis kPlanLifetime{100};

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
    // Whether the query has been given a later start by the timetable.
    bool planned_ahead = false;
    // Whether the request was rejected earlier with a retry time and its caller
    // has now retried at that time.
    bool has_reservation = false;
    // The promise in whose place the query waits, if its room is on the
    // timetable.
    std::optional<ReturnPromise> promise;
    // Whether another planner received the query, and this one has it from that
    // planner's records.
    bool is_restored = false;
    std::optional<PlannedPlacement> placed;
    // Ids of the request's work in `loads_`, and that work; empty if it has not
    // been placed.
    std::vector<WorkId> work;
    std::vector<WorkPart> parts;
    bool prefill_done = false;
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
  // Returns whether queries are still queued because not all hosts have
  // reported their work since Begin().
  bool IsLearning() const;
  // Returns the entry of a host, which is added if necessary. If the host has a
  // new incarnation, the queries of its previous incarnation are removed.
  HostQueries* FindOrAddHost(const HostAddress& address,
                             Incarnation incarnation);
  // Returns the entry of a query that arrives now.
  Entry NewEntry(const PlacementQuery& query) const;
  // Records that the state of the query changes, if changes are recorded.
  void OnChanged(const Entry& entry);
  bool RestoreQueued(const PlannerRecord& record, const QueuedRecord& queued);
  bool RestorePlaced(const PlannerRecord& record, const PlacedRecord& placed);
  // Tries to place the query and records its work. Returns the placement,
  // NoEndpoint, or nothing if the query must wait for an engine.
  std::optional<PlacementDecision> TryPlace(Entry* entry);
  // Records the placement and its work, and returns it as the decision.
  PlacementDecision RecordPlacement(Entry* entry,
                                    const PlacementRequest& request,
                                    const Placement& placement);
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
  // Removes a query from its queue and adds the reply that ends its wait.
  void EndWait(const QueryKey& key, PlacementDecision decision,
               std::vector<DeferredReply>* replies);

  // Returns whether the query is planned on the timetable of its engines.
  bool PlansAhead(const Entry& entry) const {
    return PlansArrivals() && !entry.is_short;
  }
  // Decides on a new long prompt, which is planned at once if no other waits.
  PlacementDecision PlanOnArrival(Entry* entry,
                                  const PlacementRequest& request);
  // Plans the queued long prompts, places those whose start has come, and
  // rejects those without room. Adds the replies to `replies`.
  void PlanLongQueue(std::vector<DeferredReply>* replies);
  // Plans the queued prompts `ids`, which are of `service`.
  void PlanService(const ServiceName& service,
                   const std::vector<WaitingRequestId>& ids,
                   std::vector<DeferredReply>* replies);
  // Returns the timetable of the engines of the request's service.
  EngineTimetable TimetableFor(const PlacementRequest& request) const;
  // Returns the query as input for the schedule.
  WaitingPrompt WaitingPromptOf(const Entry& entry,
                                const PlacementRequest& request) const;
  // Returns the queued prompts of `service` that are planned in a pass.
  std::vector<WaitingPrompt> QueuedPromptsOf(const ServiceName& service) const;
  // Adds the prompts for which room is promised on the timetable of `service`.
  void AddPromises(const ServiceName& service,
                   std::vector<WaitingPrompt>* prompts);
  // Gives a query whose caller was told when to return its due time and, if
  // room was promised, the place of the promise. Returns a rejection with the
  // same time if the caller has returned too early to wait for it.
  std::optional<QueryRejected> ApplyPromise(Entry* entry,
                                            const PlacementRequest& request);
  ReturningCaller ReturningCallerOf(const Entry& entry,
                                    const PlacementRequest& request) const;
  // Returns the time at which the caller of a request that was not run should
  // return; unset if requests of this kind are not planned ahead.
  QueryRejected OnReturnQuery(const PlacementQuery& query);
  // Returns the latest first event after which the answer ends before the
  // deadline.
  TimePoint LastEventBeforeDeadline(const Entry& entry,
                                    const PlacementRequest& request) const;
  // Returns the time after which a first event is of no use.
  TimePoint LastUsefulEvent(const Entry& entry,
                            const PlacementRequest& request) const;
  // Returns whether the prompt must be rejected because a first event is of no
  // use any more.
  bool IsOfNoUse(const Entry& entry) const;
  // Returns the decision that follows from the plan for a prompt, or nothing if
  // the prompt waits. `timetable` holds all reservations of the pass.
  std::optional<PlacementDecision> DecideOnPlan(Entry* entry,
                                                const PromptPlan& plan,
                                                EngineTimetable* timetable);
  // Returns the rejection of a prompt that has no room, or nothing if it waits
  // all the same.
  std::optional<QueryRejected> RejectionWithoutRoom(const Entry& entry,
                                                    const PromptPlan& plan,
                                                    EngineTimetable* timetable);
  // Places the prompt on `group`, or returns nothing if that cannot be done.
  std::optional<PlacementDecision> StartPlanned(Entry* entry,
                                                const PlannedGroup& planned,
                                                std::size_t candidates);
  // Returns the parts that are planned to start while a short request runs.
  LaterParts LaterPartsDuring(const PlacementRequest& request) const;

  // Records work that a host reports and that this planner has not placed, and
  // marks the work whose prefill is done.
  void AdoptWork(const HostAddress& address, HostQueries* host,
                 const QueryWork& work);
  // Returns whether the host has started the restored query elsewhere than this
  // planner knows: on a placement that reached the host but not the records.
  static bool IsPlacedElsewhere(const Entry& entry, const QueryWork& work);
  void MarkPrefillDone(Entry* entry);
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
  ReturnPromises promises_;
  AdmissionControl admission_control_;
  RoomAdmission room_admission_;
  // The plan of the latest pass over the queue of long prompts.
  struct Plan {
    TimePoint made_at{};
    // Delays until the starts of the prompts that wait, in the order in which
    // they were planned.
    std::vector<Millis> starts;
    PlannedStarts later_parts;
  };
  struct LongQueueVisitor;
  Plan plan_;
  PlanningCounts planning_counts_;
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
  bool records_changes_ = false;
  std::set<QueryKey> changes_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_PLANNER_H_
