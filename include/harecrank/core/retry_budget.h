// The budget that keeps retries from feeding an overload.

#ifndef HARECRANK_CORE_RETRY_BUDGET_H_
#define HARECRANK_CORE_RETRY_BUDGET_H_

#include <atomic>
#include <cstdint>

namespace harecrank {

// Lets through a fixed share of retries per first attempt.
//
// Each first attempt pays in `percent` hundredths; each retry takes out one
// whole. A small reserve lets a quiet host retry at all. Thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(int percent);

  // Changes the share for the attempts that follow.
  void SetPercent(int percent);

  // Notes a first attempt.
  void OnFirstAttempt();

  // Returns how many retries are left.
  std::int64_t Left() const { return hundredths_.load() / 100; }

  // Takes one retry out of the budget. Returns false if there is none left.
  bool TryRetry();

 private:
  std::atomic<std::int64_t> percent_;
  std::atomic<std::int64_t> hundredths_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_RETRY_BUDGET_H_
