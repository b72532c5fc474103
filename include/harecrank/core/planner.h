// Gives places to the prompts of all hosts of a group.
//
// The load that it answers: long prompts that want many engines at once, among
// waves of short ones that arrive at a hundred hosts. Hosts that each know a
// part of that, late, all choose the engine that looked free first, and a
// prompt that wants sixteen engines finds some of them just taken. One host
// that gives every place knows all of it at once.
//
// All that it knows is soft: hosts tell what they have under way, and what no
// host tells of is forgotten.

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

// A place for an ask that waited.
struct DeferredReply {
  HostAddress host;
  Incarnation incarnation;
  QueryId id;
  PlacementDecision decision;
};

// Returns the routing table in force, or null.
using RoutingTableProvider =
    std::function<std::shared_ptr<const RoutingTable>()>;

// Not thread-safe.
class Planner {
 public:
  // All of them must outlive this.
  Planner(const EndpointDirectory* directory, EndpointHealth* health,
          const StartQuotas* start_quotas, DataCentreId self,
          RoutingTableProvider routing, const PlacementPolicy& policy,
          MonotonicClock clock, RandomSource random);

  // This host plans from now on. Until `hosts` have told what they have under
  // way, or for kLearningPeriod, every ask waits: engines that look idle are
  // not. A long prompt that a new planner lays on engines in use makes the
  // short ones there late.
  void Begin(const std::vector<HostAddress>& hosts);

  // Decides on an ask. The same ask once more gets the same answer.
  PlacementDecision OnQuery(const PlacementQuery& query);

  // Takes what became of places.
  void OnProgressReport(const ProgressReport& report);

  // Takes a host's account of what it has under way, which replaces what was
  // known of it, but for places so new that the account may have crossed them.
  void OnHeartbeat(const Heartbeat& heartbeat);

  // Tries those that wait, first to last, and returns those that start.
  std::vector<DeferredReply> ProcessWaitQueue();

  // Forgets hosts that have been silent for kHostTimeout.
  void RemoveSilentHosts();

  // Forgets everything: another host plans now.
  void Clear();

  std::size_t WaitingCount() const {
    return long_queue_.Count() + short_queue_.Count();
  }
  std::size_t HostCount() const { return hosts_.size(); }
  // Accounts whose long prompts wait, and those of them that have had their
  // share of engine time.
  std::size_t WaitingAccounts() const { return long_queue_.WaitingAccounts(); }
  std::size_t OverShareAccounts() const {
    return long_queue_.OverShareAccounts();
  }
  // How many were told to return and have not come back yet.
  std::size_t ReservationCount() const {
    return admission_control_.ReservationCount();
  }
  const ReservationCounts& ReservationTotals() const {
    return admission_control_.Counts();
  }

  // Over how long the demand of short prompts is taken.
  static constexpr Millis kDemandWindow{500};
  // Hosts that live tell within milliseconds; short prompts cannot wait longer.
  static constexpr Millis kLearningPeriod{50};
  // How long a silent host's work counts: engines end it soon after the host's
  // connections have closed.
  static constexpr Millis kHostTimeout{1500};
  // A place that is as new as this may not have reached its host when the host
  // gave its account.
  static constexpr Millis kHeartbeatGrace{400};
  // For so long an ask's own account of what its host may not begin counts:
  // what the host had begun then makes place one after the other.
  static constexpr Millis kWithheldLifetime{400};
  // An ask that waits and is not repeated for this long was given up: several
  // times the pause between two repetitions.
  static constexpr Millis kQueryTimeout{1000};

 private:
  struct Entry {
    PlacementQuery query;
    TimePoint first_event_due{};
    TimePoint arrived_at{};
    // When its caller or route gives it up.
    TimePoint deadline{};
    TimePoint last_query_at{};
    TimePoint placed_at{};
    std::optional<WaitingRequestId> queue_id;
    bool is_short = false;
    // Whether room is foreseen for it.
    bool uses_admission_control = false;
    // It was turned away before and came when it was told to.
    bool has_reservation = false;
    std::optional<PlannedPlacement> placed;
    std::vector<WorkId> work;
    EndpointId endpoint;
  };
  struct Host {
    Incarnation incarnation;
    TimePoint last_heard{};
    std::unordered_map<QueryId, Entry> queries;
  };
  struct QueryKey {
    HostAddress host;
    QueryId id;
  };

  bool IsLearning() const;
  Host* FindOrAddHost(const HostAddress& address, Incarnation incarnation);
  // Returns nothing if all engines that could take it are busy.
  std::optional<PlacementDecision> TryPlace(Entry* entry);
  std::optional<PlacementRequest> RequestOf(const Entry& entry) const;
  // Returns where the host that asks may begin nothing now.
  std::set<EndpointId> WithheldFor(const Entry& entry,
                                   const ServiceProfile& service) const;
  bool IsShort(const PlacementRequest& request) const;
  ShareClaim ShareClaimOf(const PlacementRequest& request) const;
  ShareRank ShareRankOf(const Entry& entry,
                        const std::optional<PlacementRequest>& request);
  WaitQueue& QueueOf(const Entry& entry) {
    return entry.is_short ? short_queue_ : long_queue_;
  }
  bool HasLatePrecedent(const PlacementQuery& query,
                        const PlacementRequest& request) const;
  void Enqueue(Entry* entry, const PlacementRequest& request);
  void Dequeue(Entry* entry);
  void RecordDemand(const PlacementRequest& request);
  ShortDemand DemandWithin(Millis time) const;
  AdmissionCandidate CandidateOf(const Entry& entry,
                                 const PlacementRequest& request) const;
  // Returns the refusal of one that just came and found no place, if it should
  // not wait.
  std::optional<QueryRejected> RejectionOnArrival(
      const Entry& entry, const PlacementRequest& request,
      ShareRank share_rank);
  // Whether one that waits in `room` after `ahead` may take a place now.
  bool MayStart(const Entry& entry, const WaitQueue& queue,
                const WorkAhead& ahead) const;
  // Returns the answer to one that waits after `ahead`, if it should no longer.
  std::optional<PlacementDecision> RejectionWhileQueued(const Entry& entry,
                                                        const WorkAhead& ahead);
  // Whether a short prompt has waited for as long as is of use, where no room
  // is foreseen.
  bool HasTimedOut(const Entry& entry) const;
  void ProcessQueue(WaitQueue* queue, std::size_t max_failed,
                    std::vector<DeferredReply>* replies);
  void AdoptWork(Host* host, const QueryWork& work);
  void RemoveEntry(Entry* entry);
  void RemoveQueries(Host* host);

  const EndpointDirectory* directory_;
  EndpointHealth* health_;
  const StartQuotas* start_quotas_;
  RoutingTableProvider routing_;
  PlacementPolicy policy_;
  MonotonicClock clock_;
  EndpointLoads loads_;
  // What this planner has given to each host.
  StartHistory granted_starts_;
  Placer placer_;
  AdmissionControl admission_control_;
  // Of long prompts and of short ones.
  WaitQueue long_queue_;
  WaitQueue short_queue_;
  std::map<WaitingRequestId, QueryKey> long_query_keys_;
  std::map<WaitingRequestId, QueryKey> short_query_keys_;
  struct Demand {
    TimePoint at;
    FractionalMillis prefill_time{0};
  };
  // Short prompts that were asked for lately.
  std::deque<Demand> demand_;
  std::map<HostAddress, Host> hosts_;
  // Those that have not told yet what they have under way.
  std::set<HostAddress> unreported_hosts_;
  TimePoint learning_until_{};
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_PLANNER_H_
