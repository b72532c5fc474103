// The repeat budgets of all services on one host.

#ifndef HARECRANK_CORE_REPEAT_BUDGETS_H_
#define HARECRANK_CORE_REPEAT_BUDGETS_H_

#include <functional>
#include <map>
#include <optional>

#include "harecrank/core/clock.h"
#include "harecrank/core/repeat_budget.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// Limits the retries of each service, so that they do not amplify an overload.
// Not thread-safe.
class RepeatBudgets {
 public:
  // `host_count` returns the number of hosts that share the limit (at least 1),
  // or nothing while this host must not use a part of the allowance.
  RepeatBudgets(RepeatLimit limit,
                std::function<std::optional<int>()> host_count,
                MonotonicClock clock);

  void OnFirstAttempt(const ServiceName& service);
  // Decides whether a request may be sent to `service` once more. One of the
  // two functions below must be called for each permit.
  RepeatDecision TryRepeat(const ServiceName& service);
  void OnRepeatSent(const ServiceName& service, const RepeatPermit& permit);
  void OnRepeatWithdrawn(const ServiceName& service,
                         const RepeatPermit& permit);

  // Returns what this host has sent to each service and may repeat there, for
  // operators.
  std::map<ServiceName, RepeatUse> Uses() const;

 private:
  RepeatBudget* BudgetOf(const ServiceName& service);

  RepeatLimit limit_;
  std::function<std::optional<int>()> host_count_;
  MonotonicClock clock_;
  std::map<ServiceName, RepeatBudget> budgets_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_REPEAT_BUDGETS_H_
