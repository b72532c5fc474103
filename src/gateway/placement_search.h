// Finds a placement for one request, and accounts for the work that the request
// has in progress there.

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
#include "src/gateway/timer.h"

namespace harecrank {

// Why a request that may be retried later is rejected.
enum class RejectionReason {
  // The engines are busy for so long that the request cannot meet its latency
  // target.
  kCannotMeetTarget,
  // The start quotas of this host and the back-offs that endpoints have asked
  // it for allow no start before waiting is of no more use.
  kStartQuotaExhausted
};

// What has happened to a request so far.
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

  // The request may be sent now. The memory that it needs on helpers is
  // reserved.
  virtual void OnPlaced(const Placement& placement) = 0;
  // The request is rejected; its caller may retry after `retry_after`.
  virtual void OnRejected(RejectionReason reason, Millis retry_after) = 0;
  // No endpoint of the service is usable.
  virtual void OnNoEndpoint() = 0;
  // The request waits, or the reason for its wait has changed.
  virtual void OnWaiting() = 0;
};

// The parameters of a search.
struct PlacementSearchParams {
  // `until_late` and `until_deadline` are updated at each try.
  PlacementRequest request;
  TimePoint late_at{};
  TimePoint deadline{};
  std::string request_id;
};

// Queries the planner for a placement. If no planner answers, places the
// request from this host's own state. Requests of services without engines are
// always placed that way. Not thread-safe; runs on its io_context.
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

  // Returns whether the limits and back-offs of the endpoints allow no start on
  // this host before waiting is of no more use.
  bool CannotStartInTime(SendingHistory history) const;

  // Rejects a waiting request if all endpoints have asked for a back-off that
  // lasts longer than waiting is of use. Returns whether it did.
  bool RejectIfAllBackingOff();

  // Returns the Retry-After time if all endpoints have asked for a back-off,
  // otherwise nothing.
  std::optional<Millis> RetryAfterBackoffs() const;

  // Returns whether the request is in a queue, of the planner or of this host.
  bool IsWaiting() const { return queue_id_.has_value() || waits_at_planner_; }
  void LeaveQueue();

  // Excludes an endpoint from further searches, since the request has been sent
  // there.
  void MarkTried(const EndpointId& id) { params_.request.tried.insert(id); }
  // The first event has arrived. `slowdown` is the ratio of its actual to its
  // predicted latency.
  void OnPrefillDone(double slowdown);
  // The endpoint of the current placement failed.
  void OnFailure() { failed_ = true; }
  // Gives up the current placement, and a query that has not been answered.
  void End();
  // The request has ended. The observer is not called any more.
  void Close();

  // Returns the ticket for the memory that the current placement reserves on
  // `holder`.
  MemoryTicket TicketFor(const EndpointId& holder) const;
  // Returns the end of the wait for engines if it is limited for this kind of
  // request.
  std::optional<TimePoint> WaitEnd(bool may_have_run) const;
  // Returns the time since the request began to wait, or nothing if it never
  // has.
  std::optional<Millis> Waited() const;
  Tokens Prompt() const { return params_.request.prompt; }

 private:
  // Queries the planner. The reply comes to OnResult.
  void SendQuery();
  void OnResult(const QueryResult& result);
  // Uses the planner's placement. If this host knows that an endpoint in it is
  // not usable, or may not start the request there, queries the planner again.
  void UsePlanned(const PlannedPlacement& planned);
  // Excludes the unusable endpoints of `planned` from the next query. Without
  // this the planner may name a dozen endpoints of a drained data centre, one
  // after the other.
  void ExcludeUnusable(const PlannedPlacement& planned);
  std::optional<Placement> PlacementOf(const PlannedPlacement& planned) const;
  // Returns the record of `id` if it accepts new work, otherwise null.
  const EndpointRecord* Usable(const EndpointId& id) const;
  // Returns whether this host's quotas allow it to start `placement`.
  bool MayStart(const Placement& placement) const;
  // Returns whether all endpoints of `placement` still accept new work.
  bool IsStillUsable(const Placement& placement) const;
  // Logs that no planner made the placement.
  void LogPlacedLocally();
  // Places the request from this host's own state, or lets it wait here.
  void PlaceWithLocalState();
  // Returns false if all engines that could take the request are busy.
  bool TryPlace();
  void SetTimes();
  // Updates the endpoints at which this host may not start a request now.
  void SetWithheld();
  void Wait();
  // Waits while all endpoints of a service without engines are withheld, at
  // most until the request is past its latency target.
  void WaitForStart();
  // Ends the search if the condition of CannotStartInTime holds. Returns
  // whether it did.
  bool EndIfStartLimited();
  // Returns when and how fast this host may start requests at the endpoints
  // that are not in `tried`. Returns nothing if one of them has no limit.
  std::optional<StartAvailability> AvailabilityExcluding(
      const std::set<EndpointId>& tried) const;
  // Returns until when waiting for an endpoint is of use.
  TimePoint WaitDeadline(SendingHistory history) const;
  void RejectStartLimited(const StartAvailability& availability);
  // Returns whether the request has been sent before.
  bool WasSent() const { return history_ != SendingHistory::kNew; }
  void StartWaitClock();
  // Returns whether a waiting prompt with no more work than this one can no
  // longer meet its latency target.
  bool CannotMeetTarget() const;
  // Returns what the request takes of its account's fair share, or nothing for
  // services without engines.
  std::optional<ShareClaim> Claim() const;
  // Returns the Retry-After time for a request that is rejected because the
  // engines are busy.
  Millis RetryAfterRejection() const;
  WaitingRequest MakeWaitingRequest() const;
  // Reserves memory on the helpers if `placement` needs it, then commits
  // `placement`.
  void Prepare(const Placement& placement);
  void OnMemoryReserved(const Placement& placement, bool reserved);
  // Records the start and passes `placement` to the observer.
  void Commit(const Placement& placement);
  void StartWork(const Placement& placement);
  // Ends the query, or the placement that resulted from it, at the planner.
  void EndQuery();

  const GatewayServices* services_;
  PlacementSearchParams params_;
  // Null after Close.
  PlacementObserver* observer_;
  std::function<nlohmann::json()> log_fields_;
  // Delay before the next try, after a failed memory reservation or while all
  // endpoints are withheld.
  Timer retry_timer_;
  SendingHistory history_ = SendingHistory::kNew;
  // Id of the query or of the placement that resulted from it; unset if there
  // is none.
  std::optional<QueryId> query_id_;
  bool waits_at_planner_ = false;
  std::optional<WaitingRequestId> queue_id_;
  TimePoint waiting_since_{};
  int placements_ = 0;
  int unusable_placements_ = 0;
  // The work of the endpoint first, then of the helpers.
  std::vector<WorkId> work_;
  std::shared_ptr<MemoryReservation> reservation_;
  bool failed_ = false;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_PLACEMENT_SEARCH_H_
