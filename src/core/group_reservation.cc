#include "harecrank/core/group_reservation.h"

#include <algorithm>
#include <utility>

namespace harecrank {
namespace {

// The pause after a refused round is random. Its upper limit is kInitialPause,
// doubled for each round begun so far, but at most kMaxDoublings times.
constexpr Millis kInitialPause{20};
constexpr int kMaxDoublings = 6;

}  // namespace

GroupReservation::GroupReservation(TimePoint deadline, MonotonicClock clock,
                                   RandomSource random)
    : deadline_(deadline),
      clock_(std::move(clock)),
      random_(std::move(random)) {}

GroupStep GroupReservation::Begin(std::vector<Segment> segments) {
  replies_.clear();
  for (const Segment& segment : segments) {
    replies_[segment.member] = Reply::kPending;
  }
  ++rounds_;
  return ReserveMembers{std::move(segments)};
}

GroupStep GroupReservation::OnReserved(const EndpointId& member) {
  replies_[member] = Reply::kReserved;
  return FinishRound();
}

GroupStep GroupReservation::OnRefused(const EndpointId& member) {
  replies_[member] = Reply::kRefused;
  return FinishRound();
}

GroupStep GroupReservation::FinishRound() {
  // A round ends only when every member has replied, so that no member can
  // report a reservation for this round after the other reservations were
  // released.
  std::vector<EndpointId> reserved;
  bool refused = false;
  for (const auto& reply : replies_) {
    if (reply.second == Reply::kPending) {
      return WaitForMembers{};
    }
    if (reply.second == Reply::kReserved) {
      reserved.push_back(reply.first);
    } else {
      refused = true;
    }
  }
  if (!refused) {
    return GroupReserved{};
  }
  const Millis max_pause =
      kInitialPause * (1 << std::min(rounds_, kMaxDoublings));
  const auto span = static_cast<std::uint64_t>(max_pause.count());
  const Millis pause{static_cast<std::int64_t>(1 + random_() % span)};
  if (clock_() + pause >= deadline_) {
    return GroupRefused{std::move(reserved)};
  }
  return ReleaseMembers{std::move(reserved), pause};
}

}  // namespace harecrank
