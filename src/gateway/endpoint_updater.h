// Applies updates of endpoints to the state of this host.

#ifndef HARECRANK_SRC_GATEWAY_ENDPOINT_UPDATER_H_
#define HARECRANK_SRC_GATEWAY_ENDPOINT_UPDATER_H_

#include <optional>
#include <string>
#include <vector>

#include "harecrank/core/endpoint_directory.h"
#include "harecrank/core/endpoint_health.h"
#include "harecrank/core/endpoint_loads.h"
#include "src/adapters/event_log.h"
#include "src/adapters/metrics.h"
#include "src/gateway/endpoint_connection_pool.h"

namespace harecrank {

// Applies updates from the store and other hosts to the directory, and discards
// the health records and idle connections of endpoints that have left or
// started a new incarnation. Logs each update. Not thread-safe.
class EndpointUpdater {
 public:
  // All pointers must outlive this.
  EndpointUpdater(EndpointDirectory* directory, EndpointHealth* health,
                  EndpointConnectionPool* connections, EventLog* log,
                  Metrics* metrics);

  // Handles a complete list of the endpoints as of revision `at`.
  void OnListing(const std::vector<EndpointRecord>& records, StoreRevision at);

  // Handles an endpoint's new or changed entry in the store.
  void OnEndpoint(const EndpointRecord& record);

  // Handles the removal of an endpoint's entry from the store.
  void OnGone(const EndpointId& id, StoreRevision revision);

  // Handles a response in which the endpoint announces that it is about to shut
  // down. `is_readable` tells whether the announcement could be parsed. Returns
  // whether it was new.
  bool OnLeaveAnnounced(const EndpointRecord& endpoint, bool is_readable);

  // Handles an invalid entry of an endpoint; `reason` is logged.
  void OnUnusable(const EndpointId& id, StoreRevision revision,
                  const std::string& reason);

  // Handles a complete list of the drained data centres as of revision `at`.
  void OnDrainedListing(const std::vector<DrainedDataCentre>& drained,
                        StoreRevision at);

  // OnDrained handles an operator's order that drains a data centre, OnRestored
  // one that restores it.
  void OnDrained(const DrainedDataCentre& order);
  void OnRestored(const DataCentreId& id, StoreRevision revision);

  // Returns the number of endpoints in drained data centres on which, according
  // to `loads`, requests are still in progress.
  int BusyDrainedCount(const EndpointLoads& loads) const;

  // Removes endpoints whose entries have been missing for longer than the grace
  // period.
  void RemoveExpired();

  // Updates between BeginPeerUpdate and EndPeerUpdate come from another host.
  // They are logged in one line instead of one line per endpoint; otherwise the
  // log volume of the fleet would grow with the number of hosts times the
  // number of endpoints.
  void BeginPeerUpdate();
  void EndPeerUpdate();

 private:
  // The endpoints that one update from another host has changed or removed.
  struct PeerUpdate {
    std::vector<EndpointId> changed;
    std::vector<EndpointId> removed;
  };

  // Discards the state of an earlier incarnation of the endpoint if `record`
  // has a new one.
  void DiscardOldIncarnation(const EndpointRecord& record);
  void Forget(const EndpointId& id);
  void LogDrained(const DrainedDataCentre& order);
  void LogRestored(const DrainedDataCentre& order);

  EndpointDirectory* directory_;
  EndpointHealth* health_;
  EndpointConnectionPool* connections_;
  EventLog* log_;
  Metrics* metrics_;
  std::optional<PeerUpdate> peer_update_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_ENDPOINT_UPDATER_H_
