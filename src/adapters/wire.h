// The messages between entry hosts and sidecars, as CBOR in websocket frames.
//
// Each message is an array of its type's number and its fields as an object,
// or as an array where it is sent often. A reader checks the version once, at
// the greeting, and every size before it keeps anything.

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
// The largest frame that is read, and the largest piece of a body in one.
constexpr std::size_t kMaxFrameBytes = 1U << 20U;
constexpr std::size_t kChunkBytes = 256U << 10U;
// The largest body that a sidecar takes for one request.
constexpr std::size_t kMaxBodyBytes = 64U << 20U;

// Entry host to sidecar: the first message of a link.
struct Hello {
  int version = kProtocolVersion;
  NodeId node;
  Incarnation incarnation;
};

// A part of a group's prompt that an engine holds.
struct SegmentRef {
  // Where the engine that holds it exports it from.
  std::string engine_address;
  std::string segment;
};

// What a submission asks for.
enum class Work {
  // Tokens from a model.
  kGenerate,
  // Prefill of one part of a group's prompt, under a reservation.
  kSegment,
  // One call to a plain service.
  kCall,
};

// Submits a request. Its body follows in pieces.
struct Submit {
  StreamId stream;
  Work work = Work::kGenerate;
  AccountId account;
  int account_weight = 1;
  ModelId model;
  AdapterName adapter;
  LengthClass length = LengthClass::kShort;
  Tokens prompt;
  Tokens answer;
  // The first position of the answer that is still wanted.
  std::int64_t resume_from = 0;
  // On the receiver's clock. Past it nothing may start.
  RemoteMillis deadline;
  // Empty for a request that may be repeated.
  std::string ticket;
  // Tokens that may be sent before more credit comes.
  std::int64_t window = 0;
  // For kGenerate over a group: the parts, in order, and the reservation under
  // which this member generates.
  std::vector<SegmentRef> segments;
  // The stream whose reservation this uses. Zero for none.
  StreamId reservation;
  // For kCall.
  std::string method;
  std::string path;
  std::string content_type;
  std::size_t body_bytes = 0;
};

// A piece of a submission's body, in order.
struct BodyChunk {
  StreamId stream;
  std::string bytes;
};

// Withdraws a request that is not to start any more. Answered by Refused if it
// had not started.
struct Revoke {
  StreamId stream;
};

// Ends a request wherever it is. Not answered.
struct Cancel {
  StreamId stream;
};

// Allows more tokens on one stream.
struct Credit {
  StreamId stream;
  std::int64_t tokens = 0;
};

// Asks for a ticket, or ends one. Answered by TicketAnswer.
struct TicketRequest {
  StreamId call;
  AccountId account;
  Millis ttl{0};
};
struct TicketRevoke {
  StreamId call;
  AccountId account;
  std::string ticket;
};

// Asks for memory for a part of a group's prompt. Answered at once by Reserved
// or Refused. Asking again for the same stream renews it.
struct Reserve {
  StreamId stream;
  ModelId model;
  Tokens amount;
  Millis ttl{0};
};

// Sidecar to entry host: the answer to Hello.
struct Welcome {
  int version = kProtocolVersion;
  NodeId node;
  Incarnation incarnation;
  // How often it pulses: a link that is silent for several of these is lost.
  Millis pulse_interval{1000};
};

// The sidecar's clock and load, sent at intervals and when load changes much.
struct SidecarHeartbeat {
  RemoteMillis clock;
  LoadReport load;
  bool draining = false;
};

// The submission is whole and waits for its start.
struct Accepted {
  StreamId stream;
};

// The endpoint is given the request now.
struct Started {
  StreamId stream;
};

// Tokens of the answer, or for kCall bytes of it, from `position` on.
struct Output {
  StreamId stream;
  std::int64_t position = 0;
  std::vector<std::string> tokens;
};

// The answer is whole.
struct Finished {
  StreamId stream;
  // The number of tokens or pieces in the whole answer.
  std::int64_t length = 0;
  std::string reason;
  // For kCall.
  int status = 0;
  std::string content_type;
  // For kSegment.
  SegmentRef segment;
};

// The request did not start and never will.
struct Refused {
  StreamId stream;
  std::string code;
  std::string message;
  // Negative if coming back makes no sense.
  Millis retry_after{-1};
};

// The request started, or may have, and brings no more.
struct Failed {
  StreamId stream;
  std::string code;
  std::string message;
  // Whether the end of the run is certain ("failed") or not ("unknown").
  bool ended = false;
};

struct TicketAnswer {
  StreamId call;
  // Empty if none was issued.
  std::string ticket;
  // What became of a revocation, as OutcomeName would say it.
  std::string outcome;
};

struct Reserved {
  StreamId stream;
};

using Message = std::variant<Hello, Submit, BodyChunk, Revoke, Cancel, Credit,
                             TicketRequest, TicketRevoke, Reserve, Welcome,
                             SidecarHeartbeat, Accepted, Started, Output,
                             Finished, Refused, Failed, TicketAnswer, Reserved>;

// Why bytes are no message.
struct NotCbor {};
struct UnknownMessage {
  int type = 0;
};
struct BadField {
  std::string reason;
};
using WireError = std::variant<NotCbor, UnknownMessage, BadField>;

// Returns one sentence for a person.
std::string Describe(const WireError& error);

// Returns the bytes of `message`.
std::string Encode(const Message& message);

// Reads the bytes of one message.
boost::leaf::result<Message> Decode(const std::string& bytes);

}  // namespace harecrank::wire

#endif  // HARECRANK_SRC_ADAPTERS_WIRE_H_
