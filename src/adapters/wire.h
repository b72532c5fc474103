// The messages between entry hosts and sidecars, as CBOR in websocket frames.
//
// A message is encoded as an array of its type number and its fields. The
// fields are an object, or an array for messages that are sent often. Receivers
// check the protocol version only in Hello and Welcome, which open a link, and
// check all sizes before they store anything.

#ifndef HARECRANK_SRC_ADAPTERS_WIRE_H_
#define HARECRANK_SRC_ADAPTERS_WIRE_H_

#include <boost/leaf.hpp>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "harecrank/core/fair_queue.h"
#include "harecrank/core/remote_clock.h"
#include "harecrank/core/router.h"
#include "harecrank/core/strong_types.h"

namespace harecrank::wire {

constexpr int kProtocolVersion = 1;
// Maximum size of a received frame.
constexpr std::size_t kMaxFrameBytes = 1U << 20U;
// Maximum size of the chunk of a body in one frame.
constexpr std::size_t kChunkBytes = 256U << 10U;
// Maximum body size of one request that a sidecar accepts.
constexpr std::size_t kMaxBodyBytes = 64U << 20U;

// Opens a link. The entry host sends it as the first message, and the sidecar
// answers with Welcome. The messages up to Reserve go from the entry host to
// the sidecar.
struct Hello {
  int version = kProtocolVersion;
  NodeId node;
  Incarnation incarnation;
};

// Refers to a segment: the KV data of one part of a long prompt, held by the
// engine that prefilled this part. The engines that prefill the parts of one
// prompt form a group.
struct SegmentRef {
  // Address of the engine that holds the segment and exports it.
  std::string engine_address;
  std::string segment;
};

// The kind of work that a submission requests.
enum class Work {
  // Generates tokens with a model.
  kGenerate,
  // Prefills one part of a group's prompt. Uses the memory that Reserve has
  // reserved.
  kSegment,
  // Makes one call to a service that is not a model.
  kCall,
};

// Submits a request. Its body follows in BodyChunk messages.
struct Submit {
  StreamId stream;
  Work work = Work::kGenerate;
  AccountId account;
  int account_weight = 1;
  ModelId model;
  AdapterName adapter;
  LengthClass length = LengthClass::kShort;
  Tokens prompt;
  // Maximum length of the answer.
  Tokens answer;
  // Position in the answer at which the output starts. The sidecar does not
  // send earlier tokens.
  std::int64_t resume_from = 0;
  // Deadline on the receiver's clock. The request must not start after it.
  RemoteMillis deadline;
  // The request's ticket, which allows it to start at most once. Empty for a
  // request that may be repeated.
  std::string ticket;
  // Number of tokens that the sidecar may send before it receives Credit.
  std::int64_t window = 0;
  // For kGenerate in a group: the segments of the prompt, in the order of the
  // prompt.
  std::vector<SegmentRef> segments;
  // Stream for which Reserve reserved the memory that this request uses. Zero
  // if the request uses no reservation.
  StreamId reservation;
  // Method, path and content type of the HTTP request; used for kCall only.
  std::string method;
  std::string path;
  std::string content_type;
  // Total size in bytes of the body, which follows in BodyChunk messages.
  std::size_t body_bytes = 0;
};

// The next chunk of a submission's body. Chunks are sent in order.
struct BodyChunk {
  StreamId stream;
  std::string bytes;
};

// Withdraws a request unless it is already running. The sidecar answers with
// Refused if the request had not started; otherwise the message has no effect.
struct Revoke {
  StreamId stream;
};

// Ends a request in any state and releases its reservation. The sidecar does
// not answer.
struct Cancel {
  StreamId stream;
};

// Allows the sidecar to send `tokens` more tokens on one stream.
struct Credit {
  StreamId stream;
  std::int64_t tokens = 0;
};

// Requests a ticket, which allows one request to start at most once. The
// sidecar answers with TicketAnswer.
struct TicketRequest {
  StreamId call;
  AccountId account;
  Millis ttl{0};
};
// Revokes a ticket. The sidecar answers with TicketAnswer.
struct TicketRevoke {
  StreamId call;
  AccountId account;
  std::string ticket;
};

// Reserves KV memory for a part of a group's prompt. The sidecar answers
// immediately with Reserved or Refused. A repeated message for the same stream
// renews the reservation.
struct Reserve {
  StreamId stream;
  ModelId model;
  Tokens amount;
  Millis ttl{0};
};

// Answers Hello. This message and all that follow go from the sidecar to the
// entry host.
struct Welcome {
  int version = kProtocolVersion;
  NodeId node;
  Incarnation incarnation;
  // Interval between two heartbeats of the sidecar. A link without a message
  // for several intervals is considered lost.
  Millis pulse_interval{1000};
};

// Reports the sidecar's clock and load. Sent over all links every
// `pulse_interval`, and up to five times as often over links with active
// requests while the load changes. Settings and metrics call this message a
// pulse.
struct SidecarHeartbeat {
  RemoteMillis clock;
  LoadReport load;
  bool draining = false;
};

// Reports that the sidecar has received the whole submission and queued it.
struct Accepted {
  StreamId stream;
};

// Reports that the sidecar is passing the request to the endpoint.
struct Started {
  StreamId stream;
};

// Transfers the part of the answer that starts at `position`: tokens, or chunks
// of bytes for kCall.
struct Output {
  StreamId stream;
  std::int64_t position = 0;
  std::vector<std::string> tokens;
};

// Reports that the answer is complete.
struct Finished {
  StreamId stream;
  // Number of tokens or chunks in the whole answer.
  std::int64_t length = 0;
  std::string reason;
  // Status and content type of the HTTP response; set for kCall only.
  int status = 0;
  std::string content_type;
  // The prefilled segment; set for kSegment only.
  SegmentRef segment;
};

// Reports that the sidecar has rejected the request, which has not started and
// will not start.
struct Refused {
  StreamId stream;
  std::string code;
  std::string message;
  // Delay before a retry. Negative if a retry would be pointless.
  Millis retry_after{-1};
};

// Reports that the request failed after it had started or may have started. No
// more output follows.
struct Failed {
  StreamId stream;
  std::string code;
  std::string message;
  // True if the request is known to have ended ("failed"), false if it may
  // still be running ("unknown").
  bool ended = false;
};

// Answers TicketRequest and TicketRevoke.
struct TicketAnswer {
  StreamId call;
  // The issued ticket; empty if none was issued.
  std::string ticket;
  // Set in answers to TicketRevoke only: OutcomeName of kNotRun if the ticket
  // was revoked before its use, otherwise OutcomeName of kUnknown.
  std::string outcome;
};

// Confirms the reservation that Reserve requested.
struct Reserved {
  StreamId stream;
};

// Any message. The index of an alternative is its type number.
using Message = std::variant<Hello, Submit, BodyChunk, Revoke, Cancel, Credit,
                             TicketRequest, TicketRevoke, Reserve, Welcome,
                             SidecarHeartbeat, Accepted, Started, Output,
                             Finished, Refused, Failed, TicketAnswer, Reserved>;

// The bytes are not CBOR, or not an array of a type number and fields.
struct NotCbor {};
// The type number is not known.
struct UnknownMessage {
  int type = 0;
};
// A field is missing or has the wrong type.
struct BadField {
  std::string reason;
};
// Why a message could not be decoded.
using WireError = std::variant<NotCbor, UnknownMessage, BadField>;

// Returns a one-line message for logs and operators.
std::string Describe(const WireError& error);

std::string Encode(const Message& message);

// Decodes one message. Fails with WireError.
boost::leaf::result<Message> Decode(const std::string& bytes);

}  // namespace harecrank::wire

#endif  // HARECRANK_SRC_ADAPTERS_WIRE_H_
