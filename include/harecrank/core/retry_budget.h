// Retry budget that keeps retries from amplifying an overload.

#ifndef HARECRANK_CORE_RETRY_BUDGET_H_
#define HARECRANK_CORE_RETRY_BUDGET_H_

#include <atomic>
#include <cstdint>

namespace harecrank {

// Limits the retries of this host to a configured percentage of its first
// attempts.
//
// Each first attempt earns `percent` hundredths of a retry, and each retry
// costs a whole one. An initial reserve allows a host with little traffic to
// retry. Thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(int percent);

  // Changes the percentage that later first attempts earn.
  void SetPercent(int percent);

  // Records the first attempt of a request, which earns a part of a retry.
  void OnFirstAttempt();

  // Returns how many retries are left.
  std::int64_t Left() const { return hundredths_.load() / 100; }

  // Spends one retry. Returns false if none is left.
  bool TryRetry();

 private:
  std::atomic<std::int64_t> percent_;
  // Balance in hundredths of a retry.
  std::atomic<std::int64_t> hundredths_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_RETRY_BUDGET_H_
