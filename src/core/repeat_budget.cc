#include "harecrank/core/repeat_budget.h"

#include <utility>

namespace harecrank {
namespace {

// Number of slices into which the sliding window is divided. The window moves
// on by whole slices.
constexpr int kSlicesPerWindow = 20;

}  // namespace

RepeatBudget::RepeatBudget(RepeatLimit limit, MonotonicClock clock)
    : limit_(limit), clock_(std::move(clock)) {}

void RepeatBudget::OnFirstAttempt() { ++Current()->first_attempts; }

bool RepeatBudget::TryRepeat(int hosts) {
  Slice* current = Current();
  int first_attempts = 0;
  int repeats = 0;
  for (const Slice& slice : slices_) {
    first_attempts += slice.first_attempts;
    repeats += slice.repeats;
  }
  const double max_repeats =
      kUsedShare * (limit_.ratio * first_attempts + limit_.allowance / hosts);
  if (repeats + 1 > max_repeats) {
    return false;
  }
  ++current->repeats;
  return true;
}

RepeatBudget::Slice* RepeatBudget::Current() {
  const TimePoint now = clock_();
  while (!slices_.empty() && now - slices_.front().start >= limit_.window) {
    slices_.pop_front();
  }
  if (slices_.empty() ||
      now - slices_.back().start >= limit_.window / kSlicesPerWindow) {
    slices_.push_back(Slice{now, 0, 0});
  }
  return &slices_.back();
}

}  // namespace harecrank
