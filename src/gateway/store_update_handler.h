// Passes updates of the store's data to the components of this host that use
// them.

#ifndef HARECRANK_SRC_GATEWAY_STORE_UPDATE_HANDLER_H_
#define HARECRANK_SRC_GATEWAY_STORE_UPDATE_HANDLER_H_

#include <functional>
#include <string>
#include <vector>

#include "src/adapters/event_log.h"
#include "src/adapters/metrics.h"
#include "src/gateway/directory_feed.h"
#include "src/gateway/endpoint_updater.h"
#include "src/gateway/gateway_services.h"
#include "src/gateway/region_reporter.h"
#include "src/gateway/start_limiter.h"
#include "src/gateway/store_sync_state.h"

namespace harecrank {

// Receives the store's data from the feed and updates the routing table, the
// endpoint directory, the start limiter and the sync state. Not thread-safe.
class StoreUpdateHandler : public DirectorySink {
 public:
  // All pointers must outlive this. `on_usable` is called when the data may
  // have become sufficient to serve requests.
  StoreUpdateHandler(RoutingState* routing, RegionReporter* regions,
                     EndpointDirectory* directory,
                     EndpointUpdater* endpoint_updater,
                     StartLimiter* start_limiter, StoreSyncState* store_sync,
                     std::function<void()> on_usable, EventLog* log,
                     Metrics* metrics);

  void OnRouting(RoutingDocument document) override;
  void OnListing(std::vector<EndpointRecord> records,
                 std::vector<DrainedDataCentre> drained,
                 StoreRevision at) override;
  void OnEndpoint(const EndpointRecord& record) override;
  void OnEndpointGone(const EndpointId& id, StoreRevision revision) override;
  void OnEndpointUnusable(const EndpointId& id, StoreRevision revision,
                          const std::string& reason) override;
  void OnDataCentreDrained(const DrainedDataCentre& order) override;
  void OnDataCentreRestored(const DataCentreId& id,
                            StoreRevision revision) override;
  void OnSynced(StoreRevision at) override;
  void OnSyncedByPeer(StoreRevision at) override;
  void OnStoreUnreachable(const std::string& reason) override;
  void OnUnusable(const std::string& what, const std::string& reason) override;

 private:
  // Passes the incarnation of the endpoint `id` to the start limiter, if the
  // directory knows the endpoint.
  void PassIncarnation(const EndpointId& id);

  RoutingState* routing_;
  RegionReporter* regions_;
  EndpointDirectory* directory_;
  EndpointUpdater* endpoint_updater_;
  StartLimiter* start_limiter_;
  StoreSyncState* store_sync_;
  std::function<void()> on_usable_;
  EventLog* log_;
  Metrics* metrics_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_STORE_UPDATE_HANDLER_H_
