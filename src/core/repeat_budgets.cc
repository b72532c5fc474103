#include "harecrank/core/repeat_budgets.h"

#include <utility>

namespace harecrank {

RepeatBudgets::RepeatBudgets(RepeatLimit limit,
                             std::function<std::optional<int>()> host_count,
                             MonotonicClock clock)
    : limit_(limit),
      host_count_(std::move(host_count)),
      clock_(std::move(clock)) {}

void RepeatBudgets::OnFirstAttempt(const ServiceName& service) {
  BudgetOf(service)->OnFirstAttempt();
}

RepeatDecision RepeatBudgets::TryRepeat(const ServiceName& service) {
  return BudgetOf(service)->TryRepeat(host_count_());
}

void RepeatBudgets::OnRepeatSent(const ServiceName& service,
                                 const RepeatPermit& permit) {
  BudgetOf(service)->OnRepeatSent(permit);
}

void RepeatBudgets::OnRepeatWithdrawn(const ServiceName& service,
                                      const RepeatPermit& permit) {
  BudgetOf(service)->OnRepeatWithdrawn(permit);
}

std::map<ServiceName, RepeatUse> RepeatBudgets::Uses() const {
  std::map<ServiceName, RepeatUse> uses;
  for (const auto& [service, budget] : budgets_) {
    uses.emplace(service, budget.Use(host_count_()));
  }
  return uses;
}

RepeatBudget* RepeatBudgets::BudgetOf(const ServiceName& service) {
  return &budgets_.try_emplace(service, limit_, clock_).first->second;
}

}  // namespace harecrank
