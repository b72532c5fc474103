// Type numbers of fleet messages and of their variants, as they appear on the
// wire.

#ifndef HARECRANK_CORE_FLEET_MESSAGE_KINDS_H_
#define HARECRANK_CORE_FLEET_MESSAGE_KINDS_H_

namespace harecrank {

// The first element of each message. A small number, to keep messages short: a
// query is sent for each request.
enum class MessageKind {
  kHeartbeat = 1,
  kQuery = 2,
  kReply = 3,
  kProgress = 4,
  kChanges = 5,
  kCrashes = 6
};

// The first element of a placement decision.
enum class DecisionKind {
  kPlaced = 1,
  kQueued = 2,
  kRejected = 3,
  kNoEndpoint = 4,
  kNotPlanner = 5
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_FLEET_MESSAGE_KINDS_H_
