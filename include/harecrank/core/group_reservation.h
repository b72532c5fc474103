// Reserves memory on all engines of a group, or on none of them.
//
// In each round the coordinator asks all members in parallel. A member without
// capacity refuses immediately instead of waiting. If any member refuses, the
// coordinator releases all reservations of the round before it begins the next
// one. Groups cannot deadlock, because no reservation is held while waiting for
// memory that another group has reserved. Random pauses before each further
// round keep competing groups from colliding again. If a coordinator fails, its
// reservations end when their leases expire.

#ifndef HARECRANK_CORE_GROUP_RESERVATION_H_
#define HARECRANK_CORE_GROUP_RESERVATION_H_

#include <map>
#include <variant>
#include <vector>

#include "harecrank/core/clock.h"
#include "harecrank/core/segment_plan.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// Next step: the coordinator asks each member of the group to reserve memory
// for its segment of the prompt.
struct ReserveMembers {
  std::vector<Segment> segments;
};
// Next step: the coordinator waits for the remaining replies of this round.
struct WaitForMembers {};
// Next step: the coordinator releases the reservations of `members`, pauses,
// and begins another round.
struct ReleaseMembers {
  std::vector<EndpointId> members;
  // Time to wait before the next round.
  Millis pause;
};
// Final step: all members have reserved memory, so the request may start.
struct GroupReserved {};
// Final step: the coordinator releases the reservations of the members in
// `release` and gives up, since the deadline leaves no time for another round.
struct GroupRefused {
  std::vector<EndpointId> release;
};
// The next step that the group's coordinator must take.
using GroupStep = std::variant<ReserveMembers, WaitForMembers, ReleaseMembers,
                               GroupReserved, GroupRefused>;

// State machine for the reservation of one group: each function records an
// event and returns the coordinator's next step. Not thread-safe.
class GroupReservation {
 public:
  // No further round is begun at or after `deadline`.
  GroupReservation(TimePoint deadline, MonotonicClock clock,
                   RandomSource random);

  // Begins a round with the given segments.
  GroupStep Begin(std::vector<Segment> segments);

  // Records that `member` has reserved memory for its segment.
  GroupStep OnReserved(const EndpointId& member);

  // Records that `member` has refused, or that the connection to it was lost.
  GroupStep OnRefused(const EndpointId& member);

 private:
  // A member's reply in the current round.
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
