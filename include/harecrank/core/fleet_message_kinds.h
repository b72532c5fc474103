// Type numbers of fleet messages and of their variants, as they appear on the
// wire.

#ifndef HARECRANK_CORE_FLEET_MESSAGE_KINDS_H_
#define HARECRANK_CORE_FLEET_MESSAGE_KINDS_H_

namespace harecrank {

// Wire number of a FleetMessage's alternative; the first element of its
// encoding. The numbers are small to keep messages short, since a query is sent
// for each request.
enum class MessageKind {
  kHeartbeat = 1,
  kQuery = 2,
  kReply = 3,
  kProgress = 4,
  kChanges = 5,
  kCrashes = 6,
  kPlannerUpdate = 7,
  kPlannerStateRequest = 8
};

// Wire number of a PlacementDecision's alternative; the first element of its
// encoding.
enum class DecisionKind {
  kPlaced = 1,
  kQueued = 2,
  kRejected = 3,
  kNoEndpoint = 4,
  kNotPlanner = 5
};

// Wire number of the alternative of PlannerRecord::state.
enum class RecordKind { kQueued = 1, kPlaced = 2, kEnded = 3 };

}  // namespace harecrank

#endif  // HARECRANK_CORE_FLEET_MESSAGE_KINDS_H_
