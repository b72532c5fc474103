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

RepeatBudgets::RepeatBudgets(RepeatLimit limit, std::function<int()> host_count,
                             MonotonicClock clock)
    : limit_(limit),
      host_count_(std::move(host_count)),
      clock_(std::move(clock)) {}

void RepeatBudgets::OnFirstAttempt(const ServiceName& service) {
  BudgetOf(service)->OnFirstAttempt();
}

bool RepeatBudgets::TryRepeat(const ServiceName& service) {
  return BudgetOf(service)->TryRepeat(host_count_());
}

RepeatBudget* RepeatBudgets::BudgetOf(const ServiceName& service) {
  return &budgets_.try_emplace(service, limit_, clock_).first->second;
}

}  // namespace harecrank
