// The functions of PlacementSearch that ask when a caller should return. The
// other functions are in placement_search.cc.

#include <variant>

#include "src/gateway/placement_search.h"

namespace harecrank {

bool PlacementSearch::AskReturnTime() {
  const PlacementRequest& request = params_.request;
  const bool is_planned_ahead = std::holds_alternative<ReserveEnginesAhead>(
                                    services_->policy->long_placing) &&
                                request.service->engine.has_value() &&
                                !IsShortPrompt(request, *services_->policy);
  if (!is_planned_ahead) {
    return false;
  }
  EndQuery();
  SetTimes();
  query_id_ = services_->places->SendReturnQuery(
      request, [weak = weak_from_this()](const QueryResult& result) {
        const auto self = weak.lock();
        // A planner of an earlier version may reply QueryQueued.
        const bool is_final = !std::holds_alternative<QueryQueued>(result);
        if (self != nullptr && self->observer_ != nullptr && is_final) {
          const auto* rejected = std::get_if<QueryRejected>(&result);
          self->EndReturnQuery(rejected == nullptr ? std::nullopt
                                                   : rejected->retry_after);
        }
      });
  retry_timer_.expires_after(kReturnTimeTimeout);
  retry_timer_.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self != nullptr && self->observer_ != nullptr) {
          self->EndReturnQuery(std::nullopt);
        }
      });
  return true;
}

void PlacementSearch::EndReturnQuery(std::optional<Millis> return_after) {
  retry_timer_.cancel();
  EndQuery();
  observer_->OnReturnTime(return_after);
}

}  // namespace harecrank
