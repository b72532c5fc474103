// Passes the planner's state on, so that the next planner can plan at once.

#ifndef HARECRANK_SRC_GATEWAY_PLANNER_HANDOVER_H_
#define HARECRANK_SRC_GATEWAY_PLANNER_HANDOVER_H_

#include <vector>

#include "harecrank/core/membership.h"
#include "harecrank/core/planner.h"
#include "harecrank/core/planner_journal.h"
#include "harecrank/core/planner_replica.h"
#include "src/adapters/event_log.h"
#include "src/adapters/metrics.h"
#include "src/gateway/fleet_socket.h"

namespace harecrank {

// On the planner: sends its state to the standbys, the hosts that would become
// the next planner. On a standby: holds that state. When a standby becomes the
// planner: begins with it. Does nothing if there are no standbys. Not
// thread-safe.
class PlannerHandover {
 public:
  // All pointers must outlive this. `standbys` is the number of hosts that
  // receive the planner's state.
  PlannerHandover(HostAddress self, Incarnation incarnation,
                  std::size_t standbys, Membership* membership,
                  Planner* planner, FleetSocket* socket, EventLog* log,
                  Metrics* metrics, MonotonicClock clock);

  // To be called when this host becomes the planner: begins planning, with the
  // state of the previous planner if this host holds it.
  void OnBecamePlanner();
  // To be called when another host becomes the planner.
  void OnStoppedPlanning();

  // Sends the changes since the last call to the standbys, or an empty update
  // if there are none but queries wait. To be called on the planner every few
  // tens of milliseconds.
  void SendUpdates();
  // Sends all that has changed. To be called on the planner before it leaves.
  void SendLastUpdates();

  // Applies an update of the planner that this host follows.
  void OnUpdate(const PlannerUpdate& update);
  // To be called on the planner.
  void OnStateRequest(const PlannerStateRequest& request);

  // Returns whether this host is a standby of a planner at which queries wait,
  // which therefore sends updates all the time.
  bool ExpectsUpdates() const { return replica_.HoldsWaiting(); }

  // Returns the number of records of the planner that this host holds.
  std::size_t HeldRecords() const { return replica_.Count(); }

 private:
  void SendUpTo(int max_updates);
  void Send(const PlannerUpdate& update);
  // Updates `standbys_`. Logs a change.
  void ChooseStandbys();

  HostAddress self_;
  std::size_t max_standbys_;
  Membership* membership_;
  Planner* planner_;
  FleetSocket* socket_;
  EventLog* log_;
  Metrics* metrics_;
  MonotonicClock clock_;
  PlannerJournal journal_;
  PlannerReplica replica_;
  // On the planner: the hosts that receive its state.
  std::vector<HostAddress> standbys_;
  TimePoint restarted_at_{};
  TimePoint requested_at_{};
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_PLANNER_HANDOVER_H_
