#include "harecrank/core/repeat_budget.h"

#include <algorithm>
#include <utility>

namespace harecrank {
namespace {

// Number of slices into which the sliding window is divided.
constexpr int kSlicesPerWindow = 20;
// A repeat is paid for if no more than this is lacking, which many additions of
// fractions may lose.
constexpr double kRoundingError = 1e-6;

}  // namespace

const char* NameOf(RepeatCause cause) {
  switch (cause) {
    case RepeatCause::kNotRun:
      return "not_run";
    case RepeatCause::kErrorAnswer:
      return "error_answer";
    case RepeatCause::kBroken:
      return "broken";
    case RepeatCause::kOverdue:
      return "overdue";
  }
  return "";
}

RepeatBudget::RepeatBudget(RepeatLimit limit, MonotonicClock clock)
    : limit_(limit), clock_(std::move(clock)) {}

void RepeatBudget::OnFirstAttempt() {
  credit_ = Use(std::nullopt).credit;
  ++Current()->first_attempts;
  credit_ += kUsedShare * limit_.ratio * kEarnedShare;
}

RepeatDecision RepeatBudget::TryRepeat(std::optional<int> hosts) {
  const RepeatUse use = Use(hosts);
  const double allowance_left =
      std::max(0.0, use.allowance - use.allowance_used);
  if (use.credit + allowance_left < 1 - kRoundingError) {
    return {std::nullopt, use};
  }
  RepeatPermit permit;
  permit.credit = std::min(1.0, use.credit);
  permit.allowance = 1 - permit.credit;
  credit_ = use.credit - permit.credit;
  reserved_.credit += permit.credit;
  reserved_.allowance += permit.allowance;
  ++unsent_;
  return {permit, use};
}

void RepeatBudget::OnRepeatSent(const RepeatPermit& permit) {
  Slice* slice = Current();
  ++slice->repeats;
  slice->allowance_used += permit.allowance;
  reserved_.credit -= permit.credit;
  reserved_.allowance -= permit.allowance;
  --unsent_;
}

void RepeatBudget::OnRepeatWithdrawn(const RepeatPermit& permit) {
  credit_ += permit.credit;
  reserved_.credit -= permit.credit;
  reserved_.allowance -= permit.allowance;
  --unsent_;
}

RepeatUse RepeatBudget::Use(std::optional<int> hosts) const {
  RepeatUse use;
  const TimePoint now = clock_();
  use.allowance_used = reserved_.allowance;
  for (const Slice& slice : slices_) {
    // A slice that is partly older than the window counts if it makes the use
    // larger, not if it makes the limit larger.
    if (now - slice.start < limit_.window) {
      use.first_attempts += slice.first_attempts;
    }
    if (now - slice.start < SliceLifetime()) {
      use.repeats += slice.repeats;
      use.allowance_used += slice.allowance_used;
    }
  }
  use.unsent = unsent_;
  use.credit = std::min(credit_, MaxCredit(use.first_attempts));
  use.hosts = hosts.value_or(0);
  if (hosts.has_value()) {
    use.allowance = kUsedShare * limit_.allowance / *hosts;
  }
  return use;
}

double RepeatBudget::MaxCredit(int first_attempts) const {
  const double max_held =
      kUsedShare * limit_.ratio * kHeldShare * first_attempts;
  return std::max(0.0, max_held - reserved_.credit);
}

RepeatBudget::Slice* RepeatBudget::Current() {
  const TimePoint now = clock_();
  while (!slices_.empty() && now - slices_.front().start >= SliceLifetime()) {
    slices_.pop_front();
  }
  if (slices_.empty() ||
      now - slices_.back().start >= limit_.window / kSlicesPerWindow) {
    slices_.push_back(Slice{now, 0, 0, 0});
  }
  return &slices_.back();
}

Millis RepeatBudget::SliceLifetime() const {
  return limit_.window + limit_.window / kSlicesPerWindow;
}

}  // namespace harecrank
