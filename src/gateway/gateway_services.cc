#include "src/gateway/gateway_services.h"

#include <utility>

namespace harecrank {

bool RoutingState::Offer(std::shared_ptr<const RoutingTable> table) {
  if (table_ != nullptr && !(table_->Version() < table->Version())) {
    return false;
  }
  table_ = std::move(table);
  return true;
}

}  // namespace harecrank
