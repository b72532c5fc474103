#include "harecrank/core/reading_duty.h"

#include <utility>

namespace harecrank {

ReadingDuty::ReadingDuty(bool is_seed, MonotonicClock clock,
                         const RandomSource& random)
    : clock_(std::move(clock)),
      spread_(static_cast<std::int64_t>(
          random() % static_cast<std::uint64_t>(kSpread.count()))),
      reads_from_(clock_() +
                  (is_seed ? Millis(-1) : kPatienceAtStart + spread_)) {}

void ReadingDuty::OnInformed() {
  was_informed_ = true;
  informed_at_ = clock_();
  reads_from_ = informed_at_ + kInformedFor + spread_;
}

void ReadingDuty::SetAsked(bool asked) {
  const bool ends = asked_ && !asked;
  if (ends && IsOwnWell()) {
    OnInformed();
  }
  asked_ = asked;
}

bool ReadingDuty::Reads() const { return asked_ || clock_() > reads_from_; }

bool ReadingDuty::IsWell() const {
  return IsOwnWell() ||
         (was_informed_ && clock_() - informed_at_ <= kInformedFor);
}

}  // namespace harecrank
