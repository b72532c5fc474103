// The functions of PlacementSearch that carry out a placement and record its
// work. The other functions are in placement_search.cc.

#include <utility>

#include "src/gateway/placement_search.h"

namespace harecrank {
namespace {

// Delay before a new search if the memory for a placement could not be
// reserved, usually because another request has reserved it in the meantime.
constexpr Millis kMemoryRetryDelay{40};

}  // namespace

void PlacementSearch::Prepare(const Placement& placement) {
  ++placements_;
  StartWork(placement);
  std::vector<MemoryNeed> needs;
  for (const PrefillHelper& helper : placement.helpers) {
    if (Tokens{0} < helper.held) {
      needs.push_back(
          MemoryNeed{helper.record, TicketFor(helper.record.id), helper.held});
    }
  }
  if (needs.empty()) {
    Commit(placement);
    return;
  }
  reservation_ = std::make_shared<MemoryReservation>(
      services_->io, services_->orders, std::move(needs),
      [handler = services_->response_handler, sent_at = services_->clock()](
          const EndpointRecord& endpoint, const EndpointResponse& response) {
        handler->OnAnswer(endpoint, response, sent_at);
      });
  reservation_->Acquire([weak = weak_from_this(), placement](bool reserved) {
    const auto self = weak.lock();
    if (self != nullptr && self->observer_ != nullptr) {
      self->OnMemoryReserved(placement, reserved);
    }
  });
  observer_->OnWaiting();
}

void PlacementSearch::Commit(const Placement& placement) {
  services_->start_limiter->OnStart(placement, *params_.request.service);
  observer_->OnPlaced(placement);
}

void PlacementSearch::OnMemoryReserved(const Placement& placement,
                                       bool reserved) {
  nlohmann::json fields = log_fields_();
  // The reservation takes up to 300 ms. If an endpoint announces during that
  // time that it is shutting down, the request must not be sent there: together
  // with the time-out of the connection that would cost 0.6 s.
  SetPermitted();
  const bool usable = IsStillUsable(placement) && MayStart(placement);
  fields["held"] = reserved;
  fields["usable"] = usable;
  fields["prompt"] = params_.request.prompt.value;
  services_->log->Write("memory", std::move(fields));
  if (reserved && usable) {
    Commit(placement);
    return;
  }
  End();
  StartWaitClock();
  // The memory was probably reserved by another request in the meantime, or an
  // endpoint has become unusable, so the search is repeated after a delay.
  retry_timer_.expires_after(kMemoryRetryDelay);
  retry_timer_.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self != nullptr && self->observer_ != nullptr) {
          self->Search(self->history_);
        }
      });
}

MemoryTicket PlacementSearch::TicketFor(const EndpointId& holder) const {
  // The ticket is different for each placement, since the memory of an earlier
  // one may not have been released yet.
  return MemoryTicket{params_.ticket_name + "-" + std::to_string(placements_) +
                      "-" + holder.value};
}

void PlacementSearch::StartWork(const Placement& placement) {
  failed_ = false;
  std::vector<WorkPart> parts = PartsOf(placement, params_.request);
  for (const WorkPart& part : parts) {
    work_.push_back(services_->loads->Begin(part));
  }
  if (!params_.request.service->engine.has_value()) {
    return;
  }
  if (!query_id_.has_value()) {
    query_id_ = services_->places->NewId();
  }
  services_->places->OnStarted(*query_id_, std::move(parts));
}

void PlacementSearch::OnPrefillDone(double slowdown) {
  if (query_id_.has_value()) {
    services_->places->OnPrefillDone(*query_id_, slowdown);
  }
  for (const WorkId id : work_) {
    services_->loads->OnPrefillDone(id);
  }
}

void PlacementSearch::OnGroupTrouble(double slowdown) {
  if (query_id_.has_value()) {
    services_->places->OnGroupTrouble(*query_id_, slowdown);
  }
}

void PlacementSearch::End() {
  services_->queue->PumpSoon();
  for (const WorkId id : work_) {
    services_->loads->End(id);
  }
  work_.clear();
  EndQuery();
  if (reservation_ != nullptr) {
    reservation_->Release();
    reservation_.reset();
  }
}

void PlacementSearch::EndQuery() {
  if (query_id_.has_value()) {
    services_->places->OnEnd(*query_id_, failed_);
    query_id_.reset();
  }
  waits_at_planner_ = false;
}

void PlacementSearch::Close() {
  LeaveQueue();
  End();
  retry_timer_.cancel();
  observer_ = nullptr;
}

}  // namespace harecrank
