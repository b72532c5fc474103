// Takes what the platform tells of endpoints into what this host knows of them.

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

// Keeps the directory, and forgets what was seen of endpoints that have left or
// have begun a new incarnation. Each piece of news leaves a line in the log.
// Not thread-safe.
class EndpointUpdater {
 public:
  // All pointers must outlive this.
  EndpointUpdater(EndpointDirectory* directory, EndpointHealth* health,
                  EndpointConnectionPool* connections, EventLog* log,
                  Metrics* metrics);

  // All endpoints as published at `at`.
  void OnListing(const std::vector<EndpointRecord>& records, StoreRevision at);

  // One endpoint's entry was written.
  void OnEndpoint(const EndpointRecord& record);

  // It has vanished.
  void OnGone(const EndpointId& id, StoreRevision revision);

  // The endpoint has said in an answer that it leaves. `readable` tells whether
  // it said so in the expected words. Returns whether that is news.
  bool OnLeaveAnnounced(const EndpointRecord& endpoint, bool readable);

  // It names no endpoint that can be used, for `reason`.
  void OnUnusable(const EndpointId& id, StoreRevision revision,
                  const std::string& reason);

  // All data centres that are to take nothing, as published at `at`.
  void OnDrainedListing(const std::vector<DrainedDataCentre>& closed,
                        StoreRevision at);

  // A data centre is to take nothing, or takes work again.
  void OnDrained(const DrainedDataCentre& order);
  void OnRestored(const DataCentreId& id, StoreRevision revision);

  // Returns how many endpoints of closed data centres still have work, as
  // `loads` tells.
  int BusyDrainedCount(const EndpointLoads& loads) const;

  // Drops endpoints whose entries have been missing for too long.
  void RemoveExpired();

  // What follows, up to EndPeerUpdate, was told by another host: it leaves one
  // line in the log and not one for each endpoint, or the lines of all hosts
  // would grow with hosts times endpoints.
  void BeginPeerUpdate();
  void EndPeerUpdate();

 private:
  // What one telling of another host has changed.
  struct Told {
    std::vector<EndpointId> changed;
    std::vector<EndpointId> gone;
  };

  // Forgets what was seen of an earlier incarnation of the endpoint, if
  // `record` tells of a new one.
  void NoteIncarnation(const EndpointRecord& record);
  void Forget(const EndpointId& id);
  void NoteClosed(const DrainedDataCentre& order);
  void NoteOpened(const DrainedDataCentre& order);

  EndpointDirectory* directory_;
  EndpointHealth* health_;
  EndpointConnectionPool* connections_;
  EventLog* log_;
  Metrics* metrics_;
  std::optional<Told> told_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_ENDPOINT_UPDATER_H_
