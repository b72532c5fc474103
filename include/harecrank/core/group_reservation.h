// All-or-nothing reservation of a group of engines.
//
// Every member is asked at once and none waits for another: a member that has
// no room refuses at once, and then all that was got is given back before the
// next round. Nobody holds while waiting, so groups cannot deadlock; rounds
// that collide are spread by random pauses. What a coordinator that died held
// ends with its leases.

#ifndef HARECRANK_CORE_GROUP_RESERVATION_H_
#define HARECRANK_CORE_GROUP_RESERVATION_H_

#include <map>
#include <variant>
#include <vector>

#include "harecrank/core/clock.h"
#include "harecrank/core/segment_plan.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// What the owner of a group must do next.
struct ReserveMembers {
  std::vector<Segment> segments;
};
struct WaitForMembers {};
struct ReleaseMembers {
  std::vector<EndpointId> members;
  // How long to pause before the next round.
  Millis pause;
};
struct GroupReserved {};
struct GroupRefused {
  std::vector<EndpointId> release;
};
using GroupStep = std::variant<ReserveMembers, WaitForMembers, ReleaseMembers,
                               GroupReserved, GroupRefused>;

// The state of one group's reservation. Events in, steps out. Not thread-safe.
class GroupReservation {
 public:
  // Gives up at `deadline`.
  GroupReservation(TimePoint deadline, MonotonicClock clock,
                   RandomSource random);

  // Begins a round with the given members.
  GroupStep Begin(std::vector<Segment> segments);

  // A member reserved its part.
  GroupStep OnReserved(const EndpointId& member);

  // A member refused, or its link was lost.
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
