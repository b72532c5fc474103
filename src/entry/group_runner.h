// Runs a request whose prompt is distributed over a group of engines.

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

// Dependencies and parameters of a GroupRunner. All pointers must outlive it.
struct GroupPorts {
  AttemptPorts attempt;
  RandomSource random;
  // Returns whether an endpoint accepts new work.
  std::function<bool(const EndpointId&)> is_available;
  int short_headroom_percent = 0;
  // Minimum number of engines over which the prompt is distributed, even if
  // fewer have enough memory for it. Halved each time that the group could not
  // reserve memory on all members.
  std::size_t min_members = 1;
  // Counter of segments that were prefilled again.
  Counter* segments_redone = nullptr;
};

// Coordinates the engines (members) of one group on the calling thread.
// Reserves memory on all members or on none, makes each member prefill its
// segment of the prompt, and makes the last member generate the answer from all
// segments. If a member is lost, it is replaced and only its segment is
// prefilled again.
class GroupRunner {
 public:
  GroupRunner(GroupPorts ports, const CallerRequest& request,
              std::vector<SubsetEndpoint> candidates, TimePoint deadline);
  ~GroupRunner();
  GroupRunner(const GroupRunner&) = delete;
  GroupRunner& operator=(const GroupRunner&) = delete;

  // Runs the request to completion.
  AttemptResult Run(AttemptEvidence* evidence);

  // DecodeEndpoint returns the endpoint of the member that generates the
  // answer, and MemberCount the number of members. Before Run has reserved
  // memory on all members, they return an empty ID and 0.
  EndpointId DecodeEndpoint() const;
  int MemberCount() const { return static_cast<int>(members_.size()); }

 private:
  // An engine in the group, with its segment of the prompt and its progress.
  struct Member {
    Segment segment;
    std::shared_ptr<Link> link;
    // Stream IDs of the reservation and of the prefill; zero if not open.
    StreamId reservation;
    StreamId prefill;
    bool lost = false;
    bool ready = false;
    wire::SegmentRef segment_ref;
  };

  // Returns whether the candidates would have enough memory for the prompt if
  // all of them were idle.
  bool FitsWhenIdle() const;
  // Returns `free`, the free memory of an engine with `memory` in total, minus
  // the part of its memory that is reserved for short requests.
  Tokens WithoutHeadroom(Tokens free, Tokens memory) const;
  bool ReserveAll(AttemptEnd* end_reason);
  GroupStep ReserveMembers(GroupReservation* reservation,
                           const std::vector<Segment>& segments);
  GroupStep SendReserve(GroupReservation* reservation, Member* member);
  bool PrefillAll(AttemptEvidence* evidence, AttemptEnd* end_reason);
  void SubmitSegment(Member* member);
  void OnEvent(const StreamEvent& event, AttemptEvidence* evidence);
  bool ReplaceLost(AttemptEnd* end_reason);
  bool Replace(Member* member);
  // Tries to reserve memory for the segment of a lost member on another
  // candidate. If `reuse_members` is set, other members of the group may take
  // the segment in addition to their own.
  bool TryReplace(Member* member, bool reuse_members);
  bool TryReserve(const EndpointId& id, Member* member);
  AttemptResult Generate(AttemptEvidence* evidence);
  // Marks all members as lost that do not confirm in time that their
  // reservation was renewed.
  void MarkLostMembers();
  void RenewAll();
  void Release(Member* member);
  void ReleaseAll();
  Member* FindByStream(StreamId stream);
  std::vector<SegmentCandidate> Candidates() const;
  std::shared_ptr<Link> GetLink(const EndpointId& id);
  bool IsPastDeadline(AttemptEnd* end_reason) const;

  GroupPorts ports_;
  const CallerRequest& request_;
  std::vector<SubsetEndpoint> candidates_;
  TimePoint deadline_;
  std::shared_ptr<StreamInbox> inbox_;
  std::vector<Member> members_;
  // Endpoints that were lost as members. They are not selected again.
  std::set<EndpointId> failed_;
  TimePoint next_renewal_{};
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_ENTRY_GROUP_RUNNER_H_
