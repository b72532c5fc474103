#include "src/gateway/store_update_handler.h"

#include <memory>
#include <utility>

namespace harecrank {

StoreUpdateHandler::StoreUpdateHandler(
    RoutingState* routing, RegionReporter* regions,
    EndpointDirectory* directory, EndpointUpdater* endpoint_updater,
    StartLimiter* start_limiter, StoreSyncState* store_sync,
    std::function<void()> on_usable, EventLog* log, Metrics* metrics)
    : routing_(routing),
      regions_(regions),
      directory_(directory),
      endpoint_updater_(endpoint_updater),
      start_limiter_(start_limiter),
      store_sync_(store_sync),
      on_usable_(std::move(on_usable)),
      log_(log),
      metrics_(metrics) {}

void StoreUpdateHandler::OnRouting(RoutingDocument document) {
  const auto table = std::make_shared<const RoutingTable>(std::move(document));
  if (!routing_->Offer(table)) {
    return;
  }
  log_->Write("configuration",
              {{"version", table->Version().value},
               {"routes", table->Document().routes.size()},
               {"services", table->Document().services.size()}},
              LogRateLimit::kExempt);
  regions_->ReportUnknown();
  on_usable_();
}

void StoreUpdateHandler::OnListing(std::vector<EndpointRecord> records,
                                   std::vector<DrainedDataCentre> drained,
                                   StoreRevision at) {
  start_limiter_->OnListing(records);
  endpoint_updater_->OnListing(records, at);
  for (const EndpointRecord& record : records) {
    PassIncarnation(record.id);
  }
  endpoint_updater_->OnDrainedListing(drained, at);
  on_usable_();
}

void StoreUpdateHandler::OnEndpoint(const EndpointRecord& record) {
  start_limiter_->OnEndpoint(record);
  endpoint_updater_->OnEndpoint(record);
  PassIncarnation(record.id);
}

void StoreUpdateHandler::PassIncarnation(const EndpointId& id) {
  const EndpointRecord* record = directory_->Find(id);
  if (record != nullptr) {
    start_limiter_->OnIncarnation(id, record->incarnation);
  }
}

void StoreUpdateHandler::OnEndpointGone(const EndpointId& id,
                                        StoreRevision revision) {
  start_limiter_->OnGone(id);
  endpoint_updater_->OnGone(id, revision);
}

void StoreUpdateHandler::OnEndpointUnusable(const EndpointId& id,
                                            StoreRevision revision,
                                            const std::string& reason) {
  endpoint_updater_->OnUnusable(id, revision, reason);
}

void StoreUpdateHandler::OnDataCentreDrained(const DrainedDataCentre& order) {
  endpoint_updater_->OnDrained(order);
}

void StoreUpdateHandler::OnDataCentreRestored(const DataCentreId& id,
                                              StoreRevision revision) {
  endpoint_updater_->OnRestored(id, revision);
}

void StoreUpdateHandler::OnSynced(StoreRevision at) {
  store_sync_->OnPollSucceeded(at);
}

void StoreUpdateHandler::OnSyncedByPeer(StoreRevision at) {
  store_sync_->OnPeerSynced(at);
}

void StoreUpdateHandler::OnStoreUnreachable(const std::string& reason) {
  store_sync_->OnPollFailed(reason);
}

void StoreUpdateHandler::OnUnusable(const std::string& what,
                                    const std::string& reason) {
  metrics_->GetCounter("harecrank_gateway_unusable_entries_total")->Add();
  log_->Write("unusable", {{"what", what}, {"reason", reason}},
              LogRateLimit::kExempt);
}

}  // namespace harecrank
