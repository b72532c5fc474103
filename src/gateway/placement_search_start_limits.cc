// The functions of PlacementSearch that observe the limits on request starts.
// The other functions are in placement_search.cc.

#include <algorithm>
#include <iterator>

#include "src/gateway/placement_search.h"

namespace harecrank {
namespace {

// Interval at which a waiting request of a service without engines checks
// whether it may start.
constexpr Millis kStartRetryDelay{40};

}  // namespace

std::optional<StartAvailability> PlacementSearch::AvailabilityExcluding(
    const std::set<EndpointId>& tried) const {
  const ServiceProfile& service = *params_.request.service;
  const auto& usable = services_->directory->UsableOf(service.name);
  const PermittedDataCentres permitted = params_.regions.Permitted();
  if (!permitted.has_value()) {
    return services_->start_limiter->StartAvailabilityOf(usable, tried,
                                                         service);
  }
  std::vector<const EndpointRecord*> endpoints;
  std::copy_if(usable.begin(), usable.end(), std::back_inserter(endpoints),
               [&permitted](const EndpointRecord* record) {
                 return IsPermitted(permitted, record->data_centre);
               });
  return services_->start_limiter->StartAvailabilityOf(endpoints, tried,
                                                       service);
}

TimePoint PlacementSearch::WaitDeadline(SendingHistory history) const {
  // A request that was sent, has not run and is past its latency target has
  // already waited for an endpoint, so it is still served late.
  const bool is_late = params_.late_at <= services_->clock();
  const bool serves_late = history == SendingHistory::kMayHaveRun ||
                           (history == SendingHistory::kNotRun && is_late);
  return serves_late ? params_.deadline : params_.late_at;
}

bool PlacementSearch::CannotStartInTime(SendingHistory history) const {
  const auto availability = AvailabilityExcluding(params_.request.tried);
  return availability.has_value() && availability->next > WaitDeadline(history);
}

bool PlacementSearch::EndIfStartLimited() {
  const auto availability = AvailabilityExcluding(params_.request.tried);
  if (availability.has_value() && availability->next > services_->clock()) {
    services_->on_start_quota_exhausted();
  }
  if (!availability.has_value() ||
      availability->next <= WaitDeadline(history_)) {
    return false;
  }
  if (history_ == SendingHistory::kMayHaveRun) {
    observer_->OnNoEndpoint();
  } else {
    RejectStartLimited(*availability);
  }
  return true;
}

void PlacementSearch::RejectStartLimited(
    const StartAvailability& availability) {
  observer_->OnRejected(RejectionReason::kStartQuotaExhausted,
                        services_->start_limiter->NextRetryAfter(
                            params_.request.service->name, availability));
}

bool PlacementSearch::RejectIfAllBackingOff() {
  const auto availability = AvailabilityExcluding(params_.request.tried);
  const bool all_backing_off = availability.has_value() &&
                               availability->backoff_until > services_->clock();
  const bool may_reject = history_ != SendingHistory::kMayHaveRun;
  if (!all_backing_off || !may_reject ||
      availability->next <= WaitDeadline(history_)) {
    return false;
  }
  RejectStartLimited(*availability);
  return true;
}

std::optional<Millis> PlacementSearch::RetryAfterBackoffs() const {
  const auto availability = AvailabilityExcluding({});
  if (!availability.has_value() ||
      availability->backoff_until <= services_->clock()) {
    return std::nullopt;
  }
  return services_->start_limiter->NextRetryAfter(params_.request.service->name,
                                                  *availability);
}

void PlacementSearch::WaitForStart() {
  if (EndIfStartLimited()) {
    return;
  }
  StartWaitClock();
  retry_timer_.expires_after(kStartRetryDelay);
  retry_timer_.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self != nullptr && self->observer_ != nullptr) {
          self->PlaceWithLocalState();
        }
      });
  observer_->OnWaiting();
}

}  // namespace harecrank
