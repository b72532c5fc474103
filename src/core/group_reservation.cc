#include "harecrank/core/group_reservation.h"

#include <algorithm>
#include <utility>

namespace harecrank {
namespace {

constexpr Millis kFirstPause{20};
constexpr int kMaxDoublings = 6;

}  // namespace

GroupReservation::GroupReservation(TimePoint deadline, MonotonicClock clock,
                                   RandomSource random)
    : deadline_(deadline),
      clock_(std::move(clock)),
      random_(std::move(random)) {}

GroupStep GroupReservation::Begin(std::vector<Segment> segments) {
  answers_.clear();
  for (const Segment& segment : segments) {
    answers_[segment.member] = Answer::kNone;
  }
  ++rounds_;
  return ReserveMembers{std::move(segments)};
}

GroupStep GroupReservation::OnReserved(const EndpointId& member) {
  answers_[member] = Answer::kReserved;
  return Settle();
}

GroupStep GroupReservation::OnRefused(const EndpointId& member) {
  answers_[member] = Answer::kRefused;
  return Settle();
}

GroupStep GroupReservation::Settle() {
  // A round ends only when every member has answered, so that no reservation
  // of this round can come in after the give-back.
  std::vector<EndpointId> reserved;
  bool refused = false;
  for (const auto& answer : answers_) {
    if (answer.second == Answer::kNone) {
      return WaitForMembers{};
    }
    if (answer.second == Answer::kReserved) {
      reserved.push_back(answer.first);
    } else {
      refused = true;
    }
  }
  if (!refused) {
    return GroupReserved{};
  }
  const Millis most = kFirstPause * (1 << std::min(rounds_, kMaxDoublings));
  const auto span = static_cast<std::uint64_t>(most.count());
  const Millis pause{static_cast<std::int64_t>(1 + random_() % span)};
  if (clock_() + pause >= deadline_) {
    return GroupRefused{std::move(reserved)};
  }
  return ReleaseMembers{std::move(reserved), pause};
}

}  // namespace harecrank
