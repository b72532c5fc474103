#include "src/gateway/endpoint_updater.h"

#include <algorithm>
#include <utility>

namespace harecrank {
namespace {

// So many ids stand in a line about several endpoints.
constexpr std::size_t kMostNamed = 12;

nlohmann::json FirstOf(const std::vector<EndpointId>& endpoints) {
  nlohmann::json ids = nlohmann::json::array();
  for (std::size_t i = 0; i < std::min(kMostNamed, endpoints.size()); ++i) {
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
    NoteIncarnation(record);
  }
  const ListingChange change = directory_->ReplaceAll(records, at);
  log_->Write("listing", {{"endpoints", records.size()},
                          {"departed", change.departed},
                          {"may_have_lapsed", change.may_have_lapsed},
                          {"at", at.value}});
}

void EndpointUpdater::OnEndpoint(const EndpointRecord& record) {
  NoteIncarnation(record);
  if (!directory_->Upsert(record)) {
    return;
  }
  if (told_.has_value()) {
    told_->changed.push_back(record.id);
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
  const RemovalResult absence = directory_->Remove(id, revision);
  // Should it still be there, or come back under its id, it is learned anew.
  health_->Forget(id);
  if (absence == RemovalResult::kDeparted) {
    connections_->Forget(id);
  }
  if (told_.has_value()) {
    told_->gone.push_back(id);
    return;
  }
  log_->Write("endpoint_gone",
              {{"endpoint", id.value},
               {"kept", absence == RemovalResult::kMayHaveLapsed},
               {"revision", revision.value}});
}

bool EndpointUpdater::OnLeaveAnnounced(const EndpointRecord& endpoint,
                                       bool readable) {
  if (!directory_->MarkLeaving(endpoint.id, endpoint.incarnation)) {
    return false;
  }
  connections_->Forget(endpoint.id);
  metrics_->GetCounter("harecrank_gateway_leavings_answered_total")->Add();
  log_->Write("endpoint_leaving",
              {{"endpoint", endpoint.id.value}, {"readable", readable}});
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
    NoteClosed(order);
  }
  for (const DrainedDataCentre& order : change.restored) {
    NoteOpened(order);
  }
}

void EndpointUpdater::OnDrained(const DrainedDataCentre& order) {
  if (directory_->DrainDataCentre(order)) {
    NoteClosed(order);
  }
}

void EndpointUpdater::OnRestored(const DataCentreId& id,
                                 StoreRevision revision) {
  if (directory_->RestoreDataCentre(id, revision)) {
    NoteOpened(DrainedDataCentre{id, revision});
  }
}

void EndpointUpdater::NoteClosed(const DrainedDataCentre& order) {
  const std::vector<EndpointId> endpoints = directory_->In(order.id);
  for (const EndpointId& id : endpoints) {
    // Nothing is to be sent there any more, and they may be stopped soon.
    connections_->Forget(id);
  }
  log_->Write("data_centre_closed",
              {{"data_centre", order.id.value},
               {"known", !endpoints.empty()},
               {"endpoints", endpoints.size()},
               {"revision", order.revision.value}},
              LogRateLimit::kExempt);
}

void EndpointUpdater::NoteOpened(const DrainedDataCentre& order) {
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

void EndpointUpdater::BeginPeerUpdate() { told_.emplace(); }

void EndpointUpdater::EndPeerUpdate() {
  const Told told = *std::exchange(told_, std::nullopt);
  if (told.changed.empty() && told.gone.empty()) {
    return;
  }
  log_->Write("endpoints_told", {{"changed", told.changed.size()},
                                 {"gone", told.gone.size()},
                                 {"changed_ids", FirstOf(told.changed)},
                                 {"gone_ids", FirstOf(told.gone)}});
}

void EndpointUpdater::RemoveExpired() {
  for (const ExpiredEndpoint& dropped : directory_->RemoveExpired()) {
    connections_->Forget(dropped.id);
    log_->Write("endpoint_dropped", {{"endpoint", dropped.id.value},
                                     {"kept_ms", dropped.kept.count()}});
  }
}

void EndpointUpdater::NoteIncarnation(const EndpointRecord& record) {
  const EndpointRecord* held = directory_->Find(record.id);
  const bool is_new_incarnation = held != nullptr &&
                                  held->incarnation != record.incarnation &&
                                  !(record.revision < held->revision);
  if (!is_new_incarnation) {
    return;
  }
  Forget(record.id);
  log_->Write("endpoint_restarted", {{"endpoint", record.id.value},
                                     {"revision", record.revision.value}});
}

void EndpointUpdater::Forget(const EndpointId& id) {
  // Failures of an earlier incarnation would keep a sound endpoint unused, and
  // a connection to it cannot answer.
  health_->Forget(id);
  connections_->Forget(id);
}

}  // namespace harecrank
