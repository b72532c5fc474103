#include "harecrank/core/retry_budget.h"

namespace harecrank {
namespace {

constexpr std::int64_t kOneRetry = 100;
// Initial balance: ten retries, which a host may spend before its first
// attempts have earned any.
constexpr std::int64_t kInitialBalance = 10 * kOneRetry;
// First attempts add nothing to a balance of at least this value.
constexpr std::int64_t kMaxBalance = 100 * kOneRetry;

}  // namespace

RetryBudget::RetryBudget(int percent)
    : percent_(percent), hundredths_(kInitialBalance) {}

void RetryBudget::SetPercent(int percent) { percent_.store(percent); }

void RetryBudget::OnFirstAttempt() {
  if (hundredths_.load() < kMaxBalance) {
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
