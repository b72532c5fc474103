// Finds a placement for one request, and records the work that the request
// causes at the endpoints of this placement.

#ifndef HARECRANK_SRC_GATEWAY_PLACEMENT_SEARCH_H_
#define HARECRANK_SRC_GATEWAY_PLACEMENT_SEARCH_H_

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/gateway/gateway_services.h"
#include "src/gateway/memory_reservation.h"
#include "src/gateway/request_regions.h"
#include "src/gateway/timer.h"

namespace harecrank {

// The reason for which a request is rejected that its caller may send again
// later.
enum class RejectionReason {
  // The engines are busy for so long that the request cannot meet its latency
  // target.
  kCannotMeetTarget,
  // This host's start quotas and the back-offs that endpoints have asked of it
  // do not allow the request to start until after the latest time at which
  // waiting is useful (see PlacementSearch::CannotStartInTime).
  kStartQuotaExhausted
};

// Whether a request was sent to an endpoint before, and whether one may have
// run it.
enum class SendingHistory {
  // It has not been sent.
  kNew,
  // It has been sent, and no endpoint has run it.
  kNotRun,
  // An endpoint may have run it, so it must not be rejected as not run.
  kMayHaveRun
};

// Receives the results of a search. Each call other than OnWaiting ends the
// search.
class PlacementObserver {
 public:
  PlacementObserver() = default;
  PlacementObserver(const PlacementObserver&) = delete;
  PlacementObserver& operator=(const PlacementObserver&) = delete;
  virtual ~PlacementObserver() = default;

  // The request may be sent to the endpoint of `placement` now. The memory that
  // it needs on helpers is reserved.
  virtual void OnPlaced(const Placement& placement) = 0;
  // The request is rejected; its caller may retry after `retry_after`.
  virtual void OnRejected(RejectionReason reason, Millis retry_after) = 0;
  // No endpoint of the service is usable.
  virtual void OnNoEndpoint() = 0;
  // No endpoint of the service is in a region that the request's route and
  // account permit, and nothing tells that this will change.
  virtual void OnForbidden() = 0;
  // The planner's answer to AskReturnTime: the delay after which the caller
  // should return, or nothing if the planner knows none or has not answered in
  // time.
  virtual void OnReturnTime(std::optional<Millis> return_after) = 0;
  // The request has begun to wait for a reply of the planner, a free engine, a
  // start quota or reserved memory, or what it waits for has changed.
  virtual void OnWaiting() = 0;
};

// The request to place, and its times.
struct PlacementSearchParams {
  // The request to place. At each try, `until_late` and `until_deadline` are
  // recomputed from `late_at` and `deadline`, and `permitted` from `regions`.
  PlacementRequest request;
  TimePoint late_at{};
  TimePoint deadline{};
  // Unique name of the request among those of all hosts, for its tickets.
  std::string ticket_name;
  RequestRegions regions;
};

// Queries the planner for a placement. If no planner answers, places the
// request based on this host's own state. Requests of a service without engines
// (ServiceProfile::engine is unset) are always placed by this host itself. Not
// thread-safe; runs on its io_context.
class PlacementSearch : public std::enable_shared_from_this<PlacementSearch> {
 public:
  // `services` must outlive this. `observer` must live until Close has been
  // called; it may be called from within Search. `log_fields` returns the
  // fields that identify the request in log lines.
  PlacementSearch(const GatewayServices* services, PlacementSearchParams params,
                  PlacementObserver* observer,
                  std::function<nlohmann::json()> log_fields);

  // Starts a search.
  void Search(SendingHistory history);

  // Returns whether, at each endpoint that was not tried yet, a start limit or
  // a back-off prevents this host from starting the request before the latest
  // time at which waiting is useful: its latency target, or its deadline if it
  // is still served after it has missed this target.
  bool CannotStartInTime(SendingHistory history) const;

  // Rejects a waiting request if all endpoints that were not tried yet have
  // asked for back-off and none of them can start it by the latest time at
  // which waiting is useful. A request that may have run is not rejected.
  // Returns whether the request was rejected.
  bool RejectIfAllBackingOff();

  // Searches anew if the request is waiting and the data centres in which it
  // may run have changed since it began to wait. Returns whether it did.
  bool SearchAnewIfRegionsChanged();

  // Returns the Retry-After time if all permitted endpoints have asked for a
  // back-off, otherwise nothing.
  std::optional<Millis> RetryAfterBackoffs() const;

  // Asks the planner when the caller of the request, which has ended without
  // having run, should return. The observer gets the answer, within
  // kReturnTimeTimeout. Returns false, and asks nothing, if the planner does
  // not plan requests of this kind ahead.
  bool AskReturnTime();

  // Returns whether the request is in the planner's queue or in that of this
  // host.
  bool IsWaiting() const { return queue_id_.has_value() || waits_at_planner_; }
  void LeaveQueue();

  // Excludes an endpoint from further searches, since the request is sent there
  // or the endpoint is not usable.
  void MarkTried(const EndpointId& id) { params_.request.tried.insert(id); }
  // Records that the first event has arrived. `slowdown` is the ratio of its
  // actual to its predicted latency.
  void OnPrefillDone(double slowdown);
  // Records trouble of the engines of the current placement; see GroupTrouble.
  void OnGroupTrouble(double slowdown);
  // Records that the endpoint of the current placement has failed.
  void OnFailure() { failed_ = true; }
  // Gives up the current placement, and a query that has not been answered.
  void End();
  // Ends the search because the request has ended. The observer is not called
  // any more.
  void Close();

  // Returns the ticket for the memory that the current placement reserves on
  // `holder`.
  MemoryTicket TicketFor(const EndpointId& holder) const;
  // Returns the time until which the request may wait for engines, or nothing
  // if this host does not limit its wait. Only oversize requests (IsOversize)
  // that are waiting and certain not to have run are limited.
  std::optional<TimePoint> WaitEnd(bool may_have_run) const;
  // Returns the time since the request began to wait, or nothing if it never
  // has.
  std::optional<Millis> Waited() const;
  Tokens Prompt() const { return params_.request.prompt; }

  // A planner that has not answered AskReturnTime by then is not waited for:
  // its answer takes some milliseconds, and the caller waits meanwhile.
  static constexpr Millis kReturnTimeTimeout{60};

 private:
  // Queries the planner. OnResult receives the reply.
  void SendQuery();
  void OnResult(const QueryResult& result);
  // Ends a query by AskReturnTime and reports `return_after`.
  void EndReturnQuery(std::optional<Millis> return_after);
  // Uses the planner's placement. Queries the planner again if this host knows
  // that an endpoint of the placement is not usable, or if this host may not
  // start the request there.
  void UsePlanned(const PlannedPlacement& planned);
  // Excludes the unusable endpoints of `planned` from the next query. Otherwise
  // the planner could return placements on a dozen endpoints of a drained data
  // centre, one after the other.
  void ExcludeUnusable(const PlannedPlacement& planned);
  std::optional<Placement> PlacementOf(const PlannedPlacement& planned) const;
  // Returns the record of the endpoint `id` if it accepts new work, otherwise
  // null.
  const EndpointRecord* FindUsable(const EndpointId& id) const;
  // Returns the record of the endpoint `id` if it accepts new work and is in a
  // permitted data centre, otherwise null.
  const EndpointRecord* Usable(const EndpointId& id) const;
  // Returns whether this host's quotas allow it to start `placement`.
  bool MayStart(const Placement& placement) const;
  // Returns whether all endpoints of `placement` still accept new work and are
  // in permitted data centres.
  bool IsStillUsable(const Placement& placement) const;
  // Logs that this host, and not the planner, places the request.
  void LogPlacedLocally();
  // Places the request based on this host's own state. If that is not possible
  // now, the request waits on this host or is rejected.
  void PlaceWithLocalState();
  // Tries to place the request based on this host's own state, and reports a
  // placement or the lack of a usable endpoint to the observer. Returns false
  // if all engines that could take the request are busy.
  bool TryPlace();
  void SetTimes();
  // Updates `params_.request.permitted` by the configuration in force.
  void SetPermitted();
  // Ends the search if no endpoint is in a permitted data centre. Returns
  // whether the search was ended.
  bool EndIfForbidden();
  // Updates `params_.request.withheld`, the endpoints at which this host may
  // not start a request now because of start limits and back-offs.
  void SetWithheld();
  void Wait();
  // For services without engines: lets the request wait until this host may
  // start a request at one of the endpoints, and ends the search if that will
  // be too late.
  void WaitForStart();
  // Ends the search if the request cannot start in time, as CannotStartInTime
  // defines it. Returns whether the search was ended.
  bool EndIfStartLimited();
  // Returns when and how fast this host may start requests at the permitted
  // endpoints that are not in `tried`. Returns nothing if one of them has no
  // limit.
  std::optional<StartAvailability> AvailabilityExcluding(
      const std::set<EndpointId>& tried) const;
  // Returns the latest time at which waiting for an endpoint is useful: the
  // time at which the request misses its latency target, or its deadline if it
  // is still served after that.
  TimePoint WaitDeadline(SendingHistory history) const;
  void RejectStartLimited(const StartAvailability& availability);
  // Returns whether the request has been sent before.
  bool WasSent() const { return history_ != SendingHistory::kNew; }
  void StartWaitClock();
  // Returns whether a request in this host's queue with at most as much prefill
  // work as this one can no longer meet its latency target, so that this one
  // probably could not either. False for a request that was sent before.
  bool CannotMeetTarget() const;
  // Returns the engine time that the request would take, which is charged to
  // its account's fair share, or nothing for services without engines.
  std::optional<ShareClaim> Claim() const;
  // Returns the Retry-After time for a request that is rejected because the
  // engines are busy.
  Millis RetryAfterRejection() const;
  WaitingRequest MakeWaitingRequest() const;
  // Reserves memory on the helpers if `placement` needs it, then commits
  // `placement`.
  void Prepare(const Placement& placement);
  void OnMemoryReserved(const Placement& placement, bool reserved);
  // Counts the start toward this host's start quotas and passes `placement` to
  // the observer.
  void Commit(const Placement& placement);
  void StartWork(const Placement& placement);
  // Ends the query, or the placement that resulted from it, at the planner.
  void EndQuery();

  const GatewayServices* services_;
  PlacementSearchParams params_;
  // Null after Close.
  PlacementObserver* observer_;
  std::function<nlohmann::json()> log_fields_;
  // Timer for the next try, after a memory reservation has failed or while this
  // host may not start a request at any endpoint.
  Timer retry_timer_;
  SendingHistory history_ = SendingHistory::kNew;
  // Id of the current query, or of the current placement if it has been made;
  // unset if there is neither.
  std::optional<QueryId> query_id_;
  bool waits_at_planner_ = false;
  std::optional<WaitingRequestId> queue_id_;
  TimePoint waiting_since_{};
  int placements_ = 0;
  int unusable_placements_ = 0;
  // Ids of the work that the current placement causes in EndpointLoads: first
  // that of the endpoint, then those of the helpers.
  std::vector<WorkId> work_;
  std::shared_ptr<MemoryReservation> reservation_;
  bool failed_ = false;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_PLACEMENT_SEARCH_H_
