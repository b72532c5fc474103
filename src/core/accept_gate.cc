#include "harecrank/core/accept_gate.h"

namespace harecrank {

AcceptGate::AcceptGate(std::size_t max_sessions)
    : max_sessions_(max_sessions) {}

void AcceptGate::OnLoopDelay(TimePoint::duration delay) {
  is_behind_ = delay > (is_behind_ ? kResumeDelay : kMaxDelay);
}

}  // namespace harecrank
