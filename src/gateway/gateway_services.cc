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

RepeatBudgets::RepeatBudgets(RepeatLimit bound, std::function<int()> hosts,
                             MonotonicClock clock)
    : bound_(bound), hosts_(std::move(hosts)), clock_(std::move(clock)) {}

void RepeatBudgets::OnFirstAttempt(const ServiceName& service) {
  Of(service)->OnFirstAttempt();
}

bool RepeatBudgets::TryRepeat(const ServiceName& service) {
  return Of(service)->TryRepeat(hosts_());
}

RepeatBudget* RepeatBudgets::Of(const ServiceName& service) {
  return &budgets_.try_emplace(service, bound_, clock_).first->second;
}

}  // namespace harecrank
