// Finds a place for one request, and counts what it has under way there.

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

// Why a request is turned away that was sent to no endpoint.
enum class RejectionReason {
  // Engines are busy for longer than waiting is of use.
  kCannotMeetTarget,
  // This host's part of what the endpoints take from all hosts is used up for
  // as long.
  kStartQuotaExhausted
};

// What has become of a request so far.
enum class SendingHistory {
  // It was sent nowhere.
  kNew,
  // It was sent, and no endpoint has run it.
  kNotRun,
  // An endpoint may have run it: it is not turned away.
  kMayHaveRun
};

// Told what a seeker found. Each call but the last one ends the search.
class PlacementObserver {
 public:
  PlacementObserver() = default;
  PlacementObserver(const PlacementObserver&) = delete;
  PlacementObserver& operator=(const PlacementObserver&) = delete;
  virtual ~PlacementObserver() = default;

  // The request may go there now; the memory that it needs on helpers is held.
  virtual void OnPlaced(const Placement& placement) = 0;
  // Its caller may come again after `pause`.
  virtual void OnRejected(RejectionReason reason, Millis retry_after) = 0;
  // No endpoint of the service may be used.
  virtual void OnNoEndpoint() = 0;
  // It waits, or waits for something else now.
  virtual void OnWaiting() = 0;
};

// What a seeker seeks a place for.
struct PlacementSearchParams {
  // Its times are set anew at each try.
  PlacementRequest request;
  TimePoint late_at{};
  TimePoint deadline{};
  std::string request_id;
};

// Asks the planner, and places by itself where none answers. Not thread-safe;
// runs on its io_context.
class PlacementSearch : public std::enable_shared_from_this<PlacementSearch> {
 public:
  // `services` must outlive this. `observer` must stay until Close has been
  // called; it may be called from within Search. `log_fields` returns what
  // names the request in log lines.
  PlacementSearch(const GatewayServices* services, PlacementSearchParams params,
                  PlacementObserver* observer,
                  std::function<nlohmann::json()> log_fields);

  // Looks for a place.
  void Search(SendingHistory history);

  // Whether this host may begin the request nowhere before waiting for that is
  // of no more use.
  bool CannotStartInTime(SendingHistory history) const;

  // Turns away a request that waits if all endpoints have come to rest for
  // longer than waiting is of use. Returns whether it did.
  bool RejectIfAllBackingOff();

  // Returns after which time a caller may come again, if all endpoints rest.
  std::optional<Millis> RetryAfterBackoffs() const;

  // Whether it stands in a queue, of the planner or of this host.
  bool IsWaiting() const { return queue_id_.has_value() || waits_at_planner_; }
  void LeaveQueue();

  // The endpoint of the place has been sent to, and is not chosen again.
  void MarkTried(const EndpointId& id) { params_.request.tried.insert(id); }
  // The first event came, `pace` times as late as predicted.
  void OnPrefillDone(double slowdown);
  // The endpoint of the place failed.
  void OnFailure() { failed_ = true; }
  // The request leaves its place, or wants this one no more.
  void End();
  // The request has ended: the observer hears nothing more.
  void Close();

  // Returns the ticket for the memory that the placement holds at `holder`.
  MemoryTicket TicketFor(const EndpointId& holder) const;
  // Returns until when a request of its kind waits for engines, if that is
  // limited.
  std::optional<TimePoint> WaitEnd(bool may_have_run) const;
  // Returns for how long it has waited, if it ever has.
  std::optional<Millis> Waited() const;
  Tokens Prompt() const { return params_.request.prompt; }

 private:
  // Asks the planner; the answer comes to OnResult.
  void SendQuery();
  void OnResult(const QueryResult& result);
  // Takes the place that the planner gave, unless this host knows better of its
  // endpoints: then it asks again.
  void UsePlanned(const PlannedPlacement& planned);
  // Keeps the next ask away from endpoints that only the planner takes for
  // usable: of a closed data centre it may name a dozen at once.
  void ExcludeUnusable(const PlannedPlacement& planned);
  std::optional<Placement> PlacementOf(const PlannedPlacement& planned) const;
  // Returns the record of `id` if new work may go there now, otherwise null.
  const EndpointRecord* Usable(const EndpointId& id) const;
  // Returns whether this host's part of what the endpoints of `placement` take
  // from all hosts allows a further request.
  bool MayStart(const Placement& placement) const;
  // Returns whether new work may still go to all that `placement` names.
  bool IsStillUsable(const Placement& placement) const;
  // Tells that no planner gave a place.
  void LogPlacedLocally();
  // Places by what this host knows itself, or waits here.
  void PlaceWithLocalState();
  // Returns false if all engines that could take it are busy.
  bool TryPlace();
  void SetTimes();
  // Notes where this host may begin nothing just now.
  void SetWithheld();
  void Wait();
  // Waits while all endpoints of a plain service are withheld, at most until
  // the request is late.
  void WaitForStart();
  // Ends the search if CannotStartInTime. Returns whether it did.
  bool EndIfStartLimited();
  // Returns when this host may begin a request at an endpoint that is not among
  // `tried`; nothing if no bound stands against one of them.
  std::optional<StartAvailability> AvailabilityExcluding(
      const std::set<EndpointId>& tried) const;
  // Returns until when waiting for an endpoint is of use.
  TimePoint WaitDeadline(SendingHistory history) const;
  void RejectStartLimited(const StartAvailability& availability);
  // Whether it was sent before.
  bool WasSent() const { return history_ != SendingHistory::kNew; }
  void StartWaitClock();
  // Whether another prompt that takes no longer to read waits and can no longer
  // be in time.
  bool CannotMeetTarget() const;
  // What it takes of its account's share; nothing from plain services.
  std::optional<ShareClaim> Claim() const;
  // Returns after which time a caller who is turned away may come again.
  Millis RetryAfterRejection() const;
  WaitingRequest MakeWaitingRequest() const;
  // Sets memory aside first if the placement needs that.
  void Prepare(const Placement& placement);
  void OnMemoryReserved(const Placement& placement, bool held);
  // The request is sent now.
  void Commit(const Placement& placement);
  void StartWork(const Placement& placement);
  // Ends the place that was asked for, given or not.
  void EndQuery();

  const GatewayServices* services_;
  PlacementSearchParams params_;
  // Null once this is closed.
  PlacementObserver* observer_;
  std::function<nlohmann::json()> log_fields_;
  // Until it seeks again, after memory was not to be had or while endpoints are
  // withheld.
  Timer retry_timer_;
  SendingHistory history_ = SendingHistory::kNew;
  // The place that was asked for, while it is waited for or used.
  std::optional<QueryId> query_id_;
  bool waits_at_planner_ = false;
  std::optional<WaitingRequestId> queue_id_;
  TimePoint waits_since_{};
  int placements_ = 0;
  int unusable_placements_ = 0;
  // Of the endpoint first, then of the helpers.
  std::vector<WorkId> work_;
  std::shared_ptr<MemoryReservation> reservation_;
  bool failed_ = false;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_PLACEMENT_SEARCH_H_
