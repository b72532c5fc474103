#include "harecrank/core/retry_budget.h"

namespace harecrank {
namespace {

constexpr std::int64_t kOneRetry = 100;
// What a quiet host may spend before it has earned anything.
constexpr std::int64_t kReserve = 10 * kOneRetry;
constexpr std::int64_t kMost = 100 * kOneRetry;

}  // namespace

RetryBudget::RetryBudget(int percent)
    : percent_(percent), hundredths_(kReserve) {}

void RetryBudget::SetPercent(int percent) { percent_.store(percent); }

void RetryBudget::OnFirstAttempt() {
  if (hundredths_.load() < kMost) {
    hundredths_.fetch_add(percent_.load());
  }
}

bool RetryBudget::TryRetry() {
  if (hundredths_.fetch_sub(kOneRetry) >= kOneRetry) {
    return true;
  }
  hundredths_.fetch_add(kOneRetry);
  return false;
}

}  // namespace harecrank
