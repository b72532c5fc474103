#include "src/gateway/cold_gate.h"

#include <utility>

namespace harecrank {

ColdGate::ColdGate(HostAddress self, ColdBound bound,
                   std::function<std::optional<int>()> hosts,
                   RoutingSource routing, EventLog* log, Metrics* metrics,
                   MonotonicClock clock)
    : self_(std::move(self)),
      routing_(std::move(routing)),
      log_(log),
      metrics_(metrics),
      endpoints_(clock),
      shares_(bound, &endpoints_, std::move(hosts), clock),
      starts_(std::move(clock)) {}

void ColdGate::OnListing(const std::vector<EndpointRecord>& records) {
  for (const EndpointRecord& record : records) {
    if (has_listing_) {
      OnEndpoint(record);
    } else {
      Take(record, Millis(0));
    }
  }
  has_listing_ = true;
}

void ColdGate::OnEndpoint(const EndpointRecord& record) {
  const auto table = routing_();
  const ServiceProfile* service =
      table == nullptr ? nullptr : table->FindService(record.service);
  Take(record, service == nullptr ? Millis(0) : service->cold_after_start);
}

void ColdGate::Take(const EndpointRecord& record, Millis after_start) {
  const ColdChange change = endpoints_.OnRecord(record, after_start);
  if (change == ColdChange::kTurnedCold) {
    log_->Write("endpoint_cold",
                {{"endpoint", record.id.value},
                 {"cold_ms", record.cold_for.value_or(after_start).count()},
                 {"revision", record.revision.value}});
  } else if (change == ColdChange::kTurnedWarm) {
    log_->Write("endpoint_warm",
                {{"endpoint", record.id.value}, {"by", "entry"}});
  }
}

void ColdGate::Tick() {
  for (const EndpointId& id : endpoints_.TakeWarmed()) {
    log_->Write("endpoint_warm", {{"endpoint", id.value}, {"by", "time"}});
  }
}

std::set<EndpointId> ColdGate::Withheld(const ServiceProfile& service) {
  std::set<EndpointId> withheld = shares_.Withheld(starts_, self_, service);
  if (!withheld.empty()) {
    CountWithheld();
  }
  return withheld;
}

bool ColdGate::MayStart(const EndpointId& endpoint,
                        const ServiceProfile& service) {
  const bool may = shares_.MayStart(starts_, self_, endpoint, service);
  if (!may) {
    CountWithheld();
  }
  return may;
}

void ColdGate::CountWithheld() {
  metrics_->GetCounter("harecrank_gateway_starts_withheld_total")->Add();
}

void ColdGate::OnStart(const EndpointId& endpoint,
                       const ServiceProfile& service) {
  if (shares_.IsBounded(service)) {
    starts_.Add(self_, endpoint);
  }
}

}  // namespace harecrank
