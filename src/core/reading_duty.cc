#include "harecrank/core/reading_duty.h"

#include <utility>

namespace harecrank {

ReadingDuty::ReadingDuty(MonotonicClock clock, const RandomSource& random)
    : clock_(std::move(clock)),
      spread_(static_cast<std::int64_t>(
          random() % static_cast<std::uint64_t>(kSpread.count()))),
      informed_at_(clock_() - kInformedFor + kPatienceAtStart) {}

void ReadingDuty::SetAsked(bool asked) {
  const bool ends = asked_ && !asked;
  if (ends && IsOwnWell()) {
    OnInformed();
  }
  asked_ = asked;
}

bool ReadingDuty::Reads() const {
  return asked_ || clock_() - informed_at_ > kInformedFor + spread_;
}

bool ReadingDuty::IsWell() const {
  return IsOwnWell() ||
         (was_informed_ && clock_() - informed_at_ <= kInformedFor);
}

}  // namespace harecrank
