#include "harecrank/core/repeat_budget.h"

#include <utility>

namespace harecrank {
namespace {

// A window is counted in this many slices.
constexpr int kSlices = 20;

}  // namespace

RepeatBudget::RepeatBudget(RepeatLimit bound, MonotonicClock clock)
    : bound_(bound), clock_(std::move(clock)) {}

void RepeatBudget::OnFirstAttempt() { ++Current()->firsts; }

bool RepeatBudget::TryRepeat(int hosts) {
  Slice* current = Current();
  int firsts = 0;
  int repeats = 0;
  for (const Slice& slice : slices_) {
    firsts += slice.firsts;
    repeats += slice.repeats;
  }
  const double most =
      kUsedShare * (bound_.ratio * firsts + bound_.allowance / hosts);
  if (repeats + 1 > most) {
    return false;
  }
  ++current->repeats;
  return true;
}

RepeatBudget::Slice* RepeatBudget::Current() {
  const TimePoint now = clock_();
  while (!slices_.empty() && now - slices_.front().start >= bound_.window) {
    slices_.pop_front();
  }
  if (slices_.empty() ||
      now - slices_.back().start >= bound_.window / kSlices) {
    slices_.push_back(Slice{now, 0, 0});
  }
  return &slices_.back();
}

}  // namespace harecrank
