// Runs a prompt that is larger than any one engine on a group of them.

#ifndef HARECRANK_SRC_ENTRY_GROUP_RUNNER_H_
#define HARECRANK_SRC_ENTRY_GROUP_RUNNER_H_

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "harecrank/core/group_reservation.h"
#include "harecrank/core/segment_plan.h"
#include "src/entry/attempt.h"
#include "src/entry/caller_request.h"
#include "src/entry/endpoint_table.h"

namespace harecrank {

// What a group works with. All must outlive it.
struct GroupPorts {
  AttemptPorts attempt;
  RandomSource random;
  // Returns whether an endpoint may be given new work.
  std::function<bool(const EndpointId&)> is_available;
  int short_headroom_percent = 0;
  // Among how many engines to spread a prompt that fewer could hold. Halved
  // with each round that finds no room.
  std::size_t min_members = 1;
  // Counts segments that had to be prefilled again.
  Counter* segments_redone = nullptr;
};

// Coordinates one group, on the caller's thread: reserves all members or none,
// has each prefill its segment, and has the last one generate over all of
// them. A member that is lost is replaced, and only its segment is done again.
class GroupRunner {
 public:
  GroupRunner(GroupPorts ports, const CallerRequest& request,
              std::vector<SubsetEndpoint> candidates, TimePoint deadline);
  ~GroupRunner();
  GroupRunner(const GroupRunner&) = delete;
  GroupRunner& operator=(const GroupRunner&) = delete;

  // Runs the request to its end.
  AttemptResult Run(AttemptEvidence* evidence);

  // Returns the member that generates, and how many there are; none before
  // Run has reserved them.
  EndpointId DecodeEndpoint() const;
  int MemberCount() const { return static_cast<int>(members_.size()); }

 private:
  // One engine of the group.
  struct Member {
    Segment segment;
    std::shared_ptr<Link> link;
    // The stream that holds the reservation, and the one that prefills.
    StreamId reservation;
    StreamId prefill;
    bool lost = false;
    bool ready = false;
    wire::SegmentRef ref;
  };

  bool CanEverFit() const;
  Tokens WithoutHeadroom(Tokens free, Tokens memory) const;
  bool ReserveAll(AttemptEnd* why);
  GroupStep AskAll(GroupReservation* reservation,
                   const std::vector<Segment>& segments);
  GroupStep Ask(GroupReservation* reservation, Member* member);
  bool PrefillAll(AttemptEvidence* evidence, AttemptEnd* why);
  void SubmitSegment(Member* member);
  void OnEvent(const StreamEvent& event, AttemptEvidence* evidence);
  bool ReplaceLost(AttemptEnd* why);
  bool Replace(Member* member);
  bool ReplaceAmong(Member* member, bool members_too);
  bool ReserveAt(const EndpointId& id, Member* member);
  AttemptResult Generate(AttemptEvidence* evidence);
  void MarkLostMembers();
  void RenewAll();
  void Release(Member* member);
  void ReleaseAll();
  Member* FindByStream(StreamId stream);
  std::vector<SegmentCandidate> Candidates() const;
  std::shared_ptr<Link> LinkTo(const EndpointId& id);
  bool IsOutOfTime(AttemptEnd* why) const;

  GroupPorts ports_;
  const CallerRequest& request_;
  std::vector<SubsetEndpoint> candidates_;
  TimePoint deadline_;
  std::shared_ptr<StreamInbox> inbox_;
  std::vector<Member> members_;
  std::set<EndpointId> failed_;
  TimePoint next_renewal_{};
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_ENTRY_GROUP_RUNNER_H_
