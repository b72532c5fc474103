#include "harecrank/core/reading_duty.h"

#include <algorithm>
#include <utility>

namespace harecrank {

ReadingDuty::ReadingDuty(bool is_seed, MonotonicClock clock,
                         const RandomSource& random)
    : clock_(std::move(clock)),
      spread_(static_cast<std::int64_t>(
          random() % static_cast<std::uint64_t>(kSpread.count()))),
      reads_from_(clock_() +
                  (is_seed ? Millis(-1) : kPatienceAtStart + spread_)) {}

void ReadingDuty::OnAnswered() {
  own_ = OwnReading::kAnswered;
  answered_at_ = clock_();
}

void ReadingDuty::OnInformed(Millis age) {
  const TimePoint answered = clock_() - age;
  answered_at_ = std::max(answered_at_.value_or(answered), answered);
  reads_from_ = *answered_at_ + kInformedFor + spread_;
}

void ReadingDuty::SetAsked(bool asked) {
  const bool ends = asked_ && !asked;
  if (ends && Own() == OwnReading::kAnswered) {
    OnInformed(Millis(0));
  }
  asked_ = asked;
}

bool ReadingDuty::Reads() const { return asked_ || clock_() > reads_from_; }

OwnReading ReadingDuty::Own() const {
  if (!Reads()) {
    return OwnReading::kNone;
  }
  return own_ == OwnReading::kNone ? OwnReading::kBegun : own_;
}

bool ReadingDuty::IsWell() const {
  return Own() == OwnReading::kAnswered || Age() <= kInformedFor;
}

Millis ReadingDuty::Age() const {
  return answered_at_.has_value()
             ? std::chrono::duration_cast<Millis>(clock_() - *answered_at_)
             : kUnknownAge;
}

}  // namespace harecrank
