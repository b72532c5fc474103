#include "harecrank/core/accept_gate.h"

#include <utility>

namespace harecrank {

const char* NameOf(AcceptDecision decision) {
  switch (decision) {
    case AcceptDecision::kTaken:
      return "taken";
    case AcceptDecision::kNoRoom:
      return "no_room";
    case AcceptDecision::kNoMemory:
      return "no_memory";
    case AcceptDecision::kBehind:
      return "behind";
    case AcceptDecision::kCrowded:
      return "crowded";
  }
  return "";
}

AcceptGate::AcceptGate(std::size_t max_sessions, const BodyBudget* bodies,
                       const RequestShare* share, MonotonicClock clock)
    : max_sessions_(max_sessions),
      bodies_(bodies),
      share_(share),
      clock_(std::move(clock)),
      started_at_(clock_()),
      last_taken_at_(started_at_) {}

void AcceptGate::OnLoopDelay(TimePoint::duration delay) {
  is_behind_ = delay > (is_behind_ ? kResumeDelay : kMaxDelay);
}

AcceptDecision AcceptGate::Decide(std::size_t open) {
  if (!HasRoom(open)) {
    return AcceptDecision::kNoRoom;
  }
  if (bodies_->IsNearlyUsed()) {
    return AcceptDecision::kNoMemory;
  }
  const TimePoint now = clock_();
  const bool is_late = is_behind_ || IsPartUsedUp();
  const bool may_refuse =
      HasSettled() && now - last_taken_at_ < kMaxRefusalTime;
  if (is_late && may_refuse && share_->IsCrowded()) {
    return is_behind_ ? AcceptDecision::kBehind : AcceptDecision::kCrowded;
  }
  last_taken_at_ = now;
  return AcceptDecision::kTaken;
}

bool AcceptGate::HasRoomForOthers() const {
  return HasSettled() && !bodies_->IsNearlyUsed() && !is_behind_;
}

bool AcceptGate::IsPartUsedUp() const {
  return part_used_up_at_.has_value() &&
         clock_() - *part_used_up_at_ < kUsedUpTime;
}

}  // namespace harecrank
