// Decides what to do about a connection whose peer takes no more bytes.

#ifndef HARECRANK_CORE_SEND_STATE_H_
#define HARECRANK_CORE_SEND_STATE_H_

#include <cstdint>

#include "harecrank/core/strong_types.h"

namespace harecrank {

// What the system tells of the bytes that a connection still has to send.
struct SendState {
  // Segments that were sent and not acknowledged.
  std::uint32_t in_flight = 0;
  // Bytes that were written and not sent.
  std::uint32_t unsent_bytes = 0;
  // Probes of a closed window since the peer last acknowledged anything.
  std::uint32_t unanswered_probes = 0;
  Millis since_acknowledged{0};
};

enum class SendVerdict {
  // All bytes have arrived.
  kDone,
  // Bytes are on their way. The system's time limit for bytes that nobody
  // acknowledges applies.
  kSending,
  // The peer reads nothing and acknowledges probes: it is alive, and no time
  // limit applies.
  kPeerNotReading,
  // The peer reads nothing and no longer acknowledges probes.
  kPeerLost
};

// Returns the verdict on a connection in `state`, whose peer may leave probes
// without an acknowledgement for `limit`.
SendVerdict JudgeSend(const SendState& state, Millis limit);

}  // namespace harecrank

#endif  // HARECRANK_CORE_SEND_STATE_H_
