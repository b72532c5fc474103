#include "src/gateway/endpoint_updater.h"

#include <algorithm>
#include <utility>

namespace harecrank {
namespace {

// Maximum number of ids in a log line about several endpoints.
constexpr std::size_t kMaxLoggedIds = 12;

nlohmann::json FirstIds(const std::vector<EndpointId>& endpoints) {
  nlohmann::json ids = nlohmann::json::array();
  for (std::size_t i = 0; i < std::min(kMaxLoggedIds, endpoints.size()); ++i) {
    ids.push_back(endpoints[i].value);
  }
  return ids;
}

}  // namespace

EndpointUpdater::EndpointUpdater(EndpointDirectory* directory,
                                 EndpointHealth* health,
                                 EndpointConnectionPool* connections,
                                 EventLog* log, Metrics* metrics)
    : directory_(directory),
      health_(health),
      connections_(connections),
      log_(log),
      metrics_(metrics) {}

void EndpointUpdater::OnListing(const std::vector<EndpointRecord>& records,
                                StoreRevision at) {
  for (const EndpointRecord& record : records) {
    DiscardOldIncarnation(record);
  }
  const ListingChange change = directory_->ReplaceAll(records, at);
  log_->Write("listing", {{"endpoints", records.size()},
                          {"departed", change.departed},
                          {"may_have_lapsed", change.may_have_lapsed},
                          {"at", at.value}});
}

void EndpointUpdater::OnEndpoint(const EndpointRecord& record) {
  DiscardOldIncarnation(record);
  if (!directory_->Upsert(record)) {
    return;
  }
  if (peer_update_.has_value()) {
    peer_update_->changed.push_back(record.id);
    return;
  }
  log_->Write(
      "endpoint",
      {{"endpoint", record.id.value},
       {"service", record.service.value},
       {"address", record.address},
       {"draining", record.draining},
       {"life", record.incarnation.value_or(EndpointIncarnation{}).value},
       {"revision", record.revision.value}});
}

void EndpointUpdater::OnGone(const EndpointId& id, StoreRevision revision) {
  const RemovalResult result = directory_->Remove(id, revision);
  // If the endpoint is still running or a new one starts under the same id, its
  // health record starts empty.
  health_->Forget(id);
  if (result == RemovalResult::kDeparted) {
    connections_->Forget(id);
  }
  if (peer_update_.has_value()) {
    peer_update_->removed.push_back(id);
    return;
  }
  log_->Write("endpoint_gone",
              {{"endpoint", id.value},
               {"kept", result == RemovalResult::kMayHaveLapsed},
               {"revision", revision.value}});
}

bool EndpointUpdater::OnLeaveAnnounced(const EndpointRecord& endpoint,
                                       bool is_readable) {
  if (!directory_->MarkLeaving(endpoint.id, endpoint.incarnation)) {
    return false;
  }
  connections_->Forget(endpoint.id);
  metrics_->GetCounter("harecrank_gateway_leavings_answered_total")->Add();
  log_->Write("endpoint_leaving",
              {{"endpoint", endpoint.id.value}, {"readable", is_readable}});
  return true;
}

void EndpointUpdater::OnUnusable(const EndpointId& id, StoreRevision revision,
                                 const std::string& reason) {
  if (directory_->Withdraw(id, revision)) {
    Forget(id);
  }
  metrics_->GetCounter("harecrank_gateway_unusable_entries_total")->Add();
  log_->Write("endpoint_unusable", {{"endpoint", id.value},
                                    {"revision", revision.value},
                                    {"reason", reason}});
}

void EndpointUpdater::OnDrainedListing(
    const std::vector<DrainedDataCentre>& drained, StoreRevision at) {
  const DrainChange change = directory_->ReplaceDrained(drained, at);
  for (const DrainedDataCentre& order : change.drained) {
    LogDrained(order);
  }
  for (const DrainedDataCentre& order : change.restored) {
    LogRestored(order);
  }
}

void EndpointUpdater::OnDrained(const DrainedDataCentre& order) {
  if (directory_->DrainDataCentre(order)) {
    LogDrained(order);
  }
}

void EndpointUpdater::OnRestored(const DataCentreId& id,
                                 StoreRevision revision) {
  if (directory_->RestoreDataCentre(id, revision)) {
    LogRestored(DrainedDataCentre{id, revision});
  }
}

void EndpointUpdater::LogDrained(const DrainedDataCentre& order) {
  const std::vector<EndpointId> endpoints = directory_->In(order.id);
  for (const EndpointId& id : endpoints) {
    // No further requests are sent to the endpoints of a drained data centre,
    // and operators may stop them soon, so their idle connections are closed.
    connections_->Forget(id);
  }
  log_->Write("data_centre_closed",
              {{"data_centre", order.id.value},
               {"known", !endpoints.empty()},
               {"endpoints", endpoints.size()},
               {"revision", order.revision.value}},
              LogRateLimit::kExempt);
}

void EndpointUpdater::LogRestored(const DrainedDataCentre& order) {
  log_->Write("data_centre_opened",
              {{"data_centre", order.id.value},
               {"endpoints", directory_->In(order.id).size()},
               {"revision", order.revision.value}},
              LogRateLimit::kExempt);
}

int EndpointUpdater::BusyDrainedCount(const EndpointLoads& loads) const {
  int busy = 0;
  if (directory_->Drained().Count() == 0) {
    return busy;
  }
  for (const EndpointRecord& record : directory_->All()) {
    const EndpointLoad load = loads.Of(record.id);
    const bool is_busy = load.BatchSize() > 0 || load.pending_prefills > 0;
    if (is_busy && directory_->Drained().IsDrained(record.data_centre)) {
      ++busy;
    }
  }
  return busy;
}

void EndpointUpdater::BeginPeerUpdate() { peer_update_.emplace(); }

void EndpointUpdater::EndPeerUpdate() {
  const PeerUpdate update = *std::exchange(peer_update_, std::nullopt);
  if (update.changed.empty() && update.removed.empty()) {
    return;
  }
  log_->Write("endpoints_told", {{"changed", update.changed.size()},
                                 {"gone", update.removed.size()},
                                 {"changed_ids", FirstIds(update.changed)},
                                 {"gone_ids", FirstIds(update.removed)}});
}

void EndpointUpdater::RemoveExpired() {
  for (const ExpiredEndpoint& expired : directory_->RemoveExpired()) {
    connections_->Forget(expired.id);
    log_->Write("endpoint_dropped", {{"endpoint", expired.id.value},
                                     {"kept_ms", expired.kept.count()}});
  }
}

void EndpointUpdater::DiscardOldIncarnation(const EndpointRecord& record) {
  const EndpointRecord* known = directory_->Find(record.id);
  const bool is_new_incarnation = known != nullptr &&
                                  known->incarnation != record.incarnation &&
                                  !(record.revision < known->revision);
  if (!is_new_incarnation) {
    return;
  }
  Forget(record.id);
  log_->Write("endpoint_restarted", {{"endpoint", record.id.value},
                                     {"revision", record.revision.value}});
}

void EndpointUpdater::Forget(const EndpointId& id) {
  // If the failures of an earlier incarnation were kept, the new, healthy one
  // would not be used. Connections to the earlier incarnation are dead.
  health_->Forget(id);
  connections_->Forget(id);
}

}  // namespace harecrank
