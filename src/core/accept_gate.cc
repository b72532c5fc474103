#include "harecrank/core/accept_gate.h"

#include <utility>

namespace harecrank {

AcceptGate::AcceptGate(std::size_t max_sessions, const ConnectionShare* share,
                       MonotonicClock clock)
    : max_sessions_(max_sessions),
      share_(share),
      clock_(std::move(clock)),
      last_admitted_at_(clock_()) {}

void AcceptGate::OnLoopDelay(TimePoint::duration delay) {
  is_behind_ = delay > (is_behind_ ? kResumeDelay : kMaxDelay);
}

bool AcceptGate::Admit(std::size_t open) {
  const TimePoint now = clock_();
  const bool is_due = now - last_admitted_at_ >= kMaxRefusalTime;
  if (!HasRoom(open) || (IsOverloaded() && !is_due)) {
    return false;
  }
  last_admitted_at_ = now;
  return true;
}

bool AcceptGate::IsOverloaded() const {
  const bool is_used_up = part_used_up_at_.has_value() &&
                          clock_() - *part_used_up_at_ < kUsedUpTime;
  return is_behind_ || (is_used_up && share_->IsCrowded());
}

}  // namespace harecrank
