#include "harecrank/core/repeat_budget.h"

#include <utility>

namespace harecrank {
namespace {

// Number of slices into which the sliding window is divided.
constexpr int kSlicesPerWindow = 20;

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

void RepeatBudget::OnFirstAttempt() { ++Current()->first_attempts; }

RepeatDecision RepeatBudget::TryRepeat(std::optional<int> hosts) {
  RepeatUse use = Use(hosts);
  if (use.repeats + use.unsent + 1 > use.part) {
    return {false, use};
  }
  ++unsent_;
  ++use.unsent;
  return {true, use};
}

void RepeatBudget::OnRepeatSent() {
  --unsent_;
  ++Current()->repeats;
}

void RepeatBudget::OnRepeatWithdrawn() { --unsent_; }

RepeatUse RepeatBudget::Use(std::optional<int> hosts) const {
  const TimePoint now = clock_();
  RepeatUse use;
  use.unsent = unsent_;
  use.hosts = hosts.value_or(0);
  // A slice that is partly older than the window counts if it adds to the use,
  // and does not if it adds to the limit.
  for (const Slice& slice : slices_) {
    if (now - slice.start < limit_.window) {
      use.first_attempts += slice.first_attempts;
    }
    if (now - slice.start < SliceLifetime()) {
      use.repeats += slice.repeats;
    }
  }
  const double allowance = hosts.has_value() ? limit_.allowance / *hosts : 0.0;
  use.part = kUsedShare * (limit_.ratio * use.first_attempts + allowance);
  return use;
}

RepeatBudget::Slice* RepeatBudget::Current() {
  const TimePoint now = clock_();
  while (!slices_.empty() && now - slices_.front().start >= SliceLifetime()) {
    slices_.pop_front();
  }
  if (slices_.empty() ||
      now - slices_.back().start >= limit_.window / kSlicesPerWindow) {
    slices_.push_back(Slice{now, 0, 0});
  }
  return &slices_.back();
}

Millis RepeatBudget::SliceLifetime() const {
  return limit_.window + limit_.window / kSlicesPerWindow;
}

}  // namespace harecrank
