// All-or-nothing reservation of memory on a group of engines.
//
// All members are asked at once. A member without capacity refuses at once, and
// all reservations of the round are then released before the next round begins.
// No reservation is held while the group waits for another, so groups cannot
// deadlock. Random pauses separate the rounds of groups that compete. The
// reservations of a coordinator that fails end with their leases.

#ifndef HARECRANK_CORE_GROUP_RESERVATION_H_
#define HARECRANK_CORE_GROUP_RESERVATION_H_

#include <map>
#include <variant>
#include <vector>

#include "harecrank/core/clock.h"
#include "harecrank/core/segment_plan.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// Ask each member to reserve its segment.
struct ReserveMembers {
  std::vector<Segment> segments;
};
// Wait for further replies of this round.
struct WaitForMembers {};
// Release these reservations, pause, and begin the next round.
struct ReleaseMembers {
  std::vector<EndpointId> members;
  // Time to wait before the next round.
  Millis pause;
};
// All members have reserved their segments.
struct GroupReserved {};
// The deadline leaves no time for another round. Release these reservations.
struct GroupRefused {
  std::vector<EndpointId> release;
};
// The next step that the group's coordinator must take.
using GroupStep = std::variant<ReserveMembers, WaitForMembers, ReleaseMembers,
                               GroupReserved, GroupRefused>;

// State machine of one group's reservation: takes events and returns the next
// step. Not thread-safe.
class GroupReservation {
 public:
  // No round is begun that could not start before `deadline`.
  GroupReservation(TimePoint deadline, MonotonicClock clock,
                   RandomSource random);

  // Begins a round with the given segments.
  GroupStep Begin(std::vector<Segment> segments);

  // `member` has reserved its segment.
  GroupStep OnReserved(const EndpointId& member);

  // `member` has refused, or the connection to it was lost.
  GroupStep OnRefused(const EndpointId& member);

 private:
  enum class Reply { kPending, kReserved, kRefused };

  GroupStep FinishRound();

  TimePoint deadline_;
  MonotonicClock clock_;
  RandomSource random_;
  int rounds_ = 0;
  std::map<EndpointId, Reply> replies_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_GROUP_RESERVATION_H_
