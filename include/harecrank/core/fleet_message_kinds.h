// The numbers by which fleet messages and their parts are told from each other.

#ifndef HARECRANK_CORE_FLEET_MESSAGE_KINDS_H_
#define HARECRANK_CORE_FLEET_MESSAGE_KINDS_H_

namespace harecrank {

// The first element of each message. Kept small: an ask is sent for each
// request.
enum class MessageKind {
  kHeartbeat = 1,
  kQuery = 2,
  kReply = 3,
  kProgress = 4,
  kChanges = 5,
  kCrashes = 6
};

// The first element of a decision.
enum class DecisionKind {
  kPlaced = 1,
  kQueued = 2,
  kRejected = 3,
  kNoEndpoint = 4,
  kNotPlanner = 5
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_FLEET_MESSAGE_KINDS_H_
