#include "src/sidecar/work_runner.h"

#include <algorithm>
#include <cstdio>
#include <thread>
#include <utility>

#include "harecrank/core/answer_check.h"
#include "harecrank/core/process_ending.h"

namespace harecrank {
namespace {

namespace leaf = boost::leaf;

constexpr int kShortPriority = 10;
constexpr int kLongPriority = 1;
// Prefill chunk sizes in tokens. Short prompts use kMaxChunk. For long prompts
// the size grows from kMinLongChunk, at a long_weight_percent of 0, to
// kMaxChunk at 100.
constexpr std::int64_t kMinLongChunk = 512;
constexpr std::int64_t kMaxChunk = 4096;
constexpr std::int64_t kPercent = 100;
constexpr Millis kRetryAfter{500};
constexpr std::size_t kServiceChunkBytes = 64U << 10U;
constexpr std::size_t kMaxServiceResponseBytes = 16U << 20U;
constexpr Millis kProbeTimeout{250};
constexpr Millis kMemoryPollInterval{5};
constexpr Millis kGrowthPatience{300};

// Returns whether the process at `address` still listens, after a time in which
// one that is ending has closed its sockets.
bool RunsOn(const std::string& address) {
  std::this_thread::sleep_for(kProcessEndingTime);
  return AcceptsConnection(address, kProbeTimeout);
}

// Converts an engine error to a message to the entry host. The message is
// Refused only if the request cannot have run.
struct EngineErrorToMessage {
  StreamId stream;

  wire::Message operator()(const EngineRejected& error) const {
    return wire::Refused{stream, "engine_refused", error.reason, kRetryAfter};
  }
  wire::Message operator()(const EngineUnreachable& error) const {
    return wire::Refused{stream, "endpoint_unreachable", error.reason,
                         kRetryAfter};
  }
  wire::Message operator()(const EngineOutcomeUnknown& error) const {
    return wire::Failed{stream, "engine_lost", error.reason, false};
  }
  wire::Message operator()(const EngineFenceOutdated&) const {
    return wire::Refused{stream, "engine_refused", "fenced", kRetryAfter};
  }
  wire::Message operator()(const EngineGarbled& error) const {
    return wire::Failed{stream, "engine_garbled", NameOf(error.fault), false};
  }
};

// Converts an error of a call to a plain service to a message to the entry
// host. The message is Refused only if the service cannot be reached.
struct HttpErrorToMessage {
  StreamId stream;

  wire::Message operator()(const Unreachable& error) const {
    return wire::Refused{stream, "endpoint_unreachable", error.reason,
                         kRetryAfter};
  }
  wire::Message operator()(const NoResponse& error) const {
    return wire::Failed{stream, "service_lost", error.reason, false};
  }
  wire::Message operator()(const ResponseTooLarge& error) const {
    return wire::Failed{stream, "answer_too_large", Describe(HttpError{error}),
                        true};
  }
};

}  // namespace

WorkRunner::WorkRunner(WorkRunnerPorts ports) : ports_(std::move(ports)) {}

void WorkRunner::Run(const std::shared_ptr<SidecarStream>& stream,
                     const PrefillPolicy& policy) {
  const StreamId id = stream->submit.stream;
  wire::Message end = wire::Refused{id, "cancelled", "withdrawn"};
  // The deadline is checked again because the thread may have waited, or the
  // process may have been suspended, since the request was selected to start.
  if (ports_.clock() >= stream->deadline) {
    end = wire::Refused{id, "deadline_exceeded", "it could not start in time"};
  } else if (!stream->cancelled) {
    switch (stream->submit.work) {
      case wire::Work::kGenerate:
        end = Generate(stream.get(), policy);
        break;
      case wire::Work::kSegment:
        end = PrefillSegment(stream.get(), policy);
        break;
      case wire::Work::kCall:
        end = CallService(stream.get());
        break;
    }
  }
  if (stream->log != nullptr) {
    stream->log->End(std::move(end));
    return;
  }
  ports_.send(stream->connection, end);
}

void WorkRunner::Replay(const std::shared_ptr<SidecarStream>& stream) {
  const StreamId id = stream->submit.stream;
  std::int64_t position = stream->submit.resume_from;
  bool started = false;
  while (!stream->cancelled) {
    auto token = stream->log->WaitFor(static_cast<std::size_t>(position),
                                      stream->deadline);
    if (!token) {
      break;
    }
    if (!started) {
      started = true;
      ports_.send(stream->connection, wire::Started{id});
    }
    if (!stream->window.Take(stream->deadline) ||
        !ports_.send(stream->connection,
                     wire::Output{id, position, {std::move(*token)}})) {
      return;
    }
    ++position;
  }
  const auto end = stream->log->GetEnd();
  if (!end) {
    ports_.send(stream->connection,
                wire::Failed{id, "deadline_exceeded",
                             "the time limit passed before the end", false});
    return;
  }
  // The end message in the log has the stream ID of the first caller's request.
  // It is replaced by the ID of the stream to which the log is replayed.
  wire::Message end_message = *end;
  std::visit(
      [&](auto& typed) {
        using Type = std::decay_t<decltype(typed)>;
        if constexpr (std::is_same_v<Type, wire::Finished> ||
                      std::is_same_v<Type, wire::Failed> ||
                      std::is_same_v<Type, wire::Refused>) {
          typed.stream = id;
        }
      },
      end_message);
  ports_.send(stream->connection, end_message);
}

AllocationId WorkRunner::AllocationIdFor(std::uint64_t key) const {
  constexpr std::size_t kSize = 40;
  char text[kSize];
  std::snprintf(text, sizeof(text), "%016llx-%llu",
                static_cast<unsigned long long>(ports_.incarnation.value),
                static_cast<unsigned long long>(key));
  return AllocationId{text};
}

wire::Message WorkRunner::Generate(SidecarStream* stream,
                                   const PrefillPolicy& policy) {
  const EngineRequest request = MakeRequest(*stream, policy);
  const StreamId id = stream->submit.stream;
  const auto on_accepted = [&] {
    if (stream->log == nullptr) {
      ports_.send(stream->connection, wire::Started{id});
    }
  };
  const auto on_token = [&](std::int64_t position, std::string token) {
    return Deliver(stream, position, std::move(token));
  };
  return leaf::try_handle_all(
      [&]() -> leaf::result<wire::Message> {
        BOOST_LEAF_AUTO(
            length, ports_.engine->Generate(request, on_accepted, on_token));
        wire::Finished finished;
        finished.stream = id;
        finished.length = length;
        finished.reason = "length";
        return wire::Message(finished);
      },
      [&](const EngineError& error) { return ToMessage(*stream, error); },
      [&] {
        return wire::Message(
            wire::Failed{id, "internal", "an error of another layer", false});
      });
}

wire::Message WorkRunner::PrefillSegment(SidecarStream* stream,
                                         const PrefillPolicy& policy) {
  EngineRequest request = MakeRequest(*stream, policy);
  // The engine allocation has the ID of the group reservation, not that of the
  // prefill request, so that the segment is kept until the reservation ends.
  request.id = AllocationIdFor(stream->reservation_key);
  const StreamId id = stream->submit.stream;
  return leaf::try_handle_all(
      [&]() -> leaf::result<wire::Message> {
        BOOST_LEAF_CHECK(ports_.engine->Prefill(request));
        wire::Finished finished;
        finished.stream = id;
        finished.reason = "segment";
        finished.segment =
            wire::SegmentRef{ports_.endpoint_address, request.id.value};
        return wire::Message(finished);
      },
      [&](const EngineError& error) { return ToMessage(*stream, error); },
      [&] {
        return wire::Message(
            wire::Failed{id, "internal", "an error of another layer", false});
      });
}

wire::Message WorkRunner::CallService(SidecarStream* stream) {
  const wire::Submit& submit = stream->submit;
  BodyMemory::Holding memory(ports_.answer_memory);
  HttpCall call;
  call.address = ports_.endpoint_address;
  call.method = submit.method;
  call.path = submit.path;
  call.content_type = submit.content_type;
  call.body = stream->body;
  call.timeout = TimeLeft(*stream);
  if (stream->log == nullptr) {
    ports_.send(stream->connection, wire::Started{submit.stream});
  }
  return leaf::try_handle_all(
      [&]() -> leaf::result<wire::Message> {
        BOOST_LEAF_AUTO(response,
                        SendHttpRequest(call, kMaxServiceResponseBytes,
                                        [&](std::size_t bytes) {
                                          return HoldMemory(*stream, bytes,
                                                            &memory);
                                        }));
        return DeliverResponse(stream, response);
      },
      [&](const HttpError& error) {
        return std::visit(HttpErrorToMessage{submit.stream}, error);
      },
      [&] {
        return wire::Message(wire::Failed{submit.stream, "internal",
                                          "an error of another layer", false});
      });
}

bool WorkRunner::HoldMemory(const SidecarStream& stream, std::size_t bytes,
                            BodyMemory::Holding* memory) const {
  // Answers that grow may be without end. If each waited for the others, none
  // would free what it holds, and announced ones would wait, too.
  const TimePoint limit =
      memory->Bytes() > 0
          ? std::min(stream.deadline, ports_.clock() + kGrowthPatience)
          : stream.deadline;
  while (!memory->TryResize(bytes)) {
    if (stream.cancelled || ports_.clock() >= limit) {
      return false;
    }
    std::this_thread::sleep_for(kMemoryPollInterval);
  }
  return true;
}

wire::Message WorkRunner::DeliverResponse(SidecarStream* stream,
                                          const HttpResponse& response) {
  const StreamId id = stream->submit.stream;
  EndpointResponse head;
  head.status = static_cast<unsigned>(response.status);
  head.is_encoded = response.is_encoded;
  ExpectedAnswer expected;
  expected.is_signed = false;
  if (const auto fault = CheckAnswer(head, expected)) {
    return wire::Failed{id, "service_garbled", NameOf(*fault), true};
  }
  if (response.ends_with_connection && !RunsOn(ports_.endpoint_address)) {
    return wire::Failed{id, "service_lost", "the answer was cut", false};
  }
  std::int64_t chunks = 0;
  for (std::size_t at = 0; at < response.body.size();
       at += kServiceChunkBytes) {
    Deliver(stream, chunks++, response.body.substr(at, kServiceChunkBytes));
  }
  wire::Finished finished;
  finished.stream = id;
  finished.length = chunks;
  finished.reason = "answered";
  finished.status = response.status;
  finished.content_type = response.content_type;
  return finished;
}

bool WorkRunner::Deliver(SidecarStream* stream, std::int64_t position,
                         std::string token) {
  if (stream->cancelled || ports_.clock() >= stream->deadline) {
    return false;
  }
  if (stream->log != nullptr) {
    stream->log->Append(std::move(token));
    return true;
  }
  if (!stream->window.Take(stream->deadline)) {
    return false;
  }
  return ports_.send(
      stream->connection,
      wire::Output{stream->submit.stream, position, {std::move(token)}});
}

EngineRequest WorkRunner::MakeRequest(const SidecarStream& stream,
                                      const PrefillPolicy& policy) const {
  const wire::Submit& submit = stream.submit;
  EngineRequest request;
  request.id = AllocationIdFor(stream.key);
  request.owner = ports_.incarnation;
  request.model = submit.model;
  request.adapter = submit.adapter;
  request.prompt = stream.body;
  request.answer = submit.answer;
  request.resume_from = submit.resume_from;
  const bool is_long = submit.length == LengthClass::kLong;
  request.priority = is_long ? kLongPriority : kShortPriority;
  request.chunk =
      Tokens{is_long ? kMinLongChunk + (kMaxChunk - kMinLongChunk) *
                                           policy.long_weight_percent / kPercent
                     : kMaxChunk};
  for (const wire::SegmentRef& segment : submit.segments) {
    request.segments.push_back(
        RemoteSegment{segment.engine_address, AllocationId{segment.segment}});
  }
  request.timeout = TimeLeft(stream);
  return request;
}

wire::Message WorkRunner::ToMessage(const SidecarStream& stream,
                                    const EngineError& error) const {
  if (std::holds_alternative<EngineOutcomeUnknown>(error) &&
      ports_.clock() >= stream.deadline) {
    return wire::Failed{stream.submit.stream, "deadline_exceeded",
                        "the time limit passed while it ran", true};
  }
  return std::visit(EngineErrorToMessage{stream.submit.stream}, error);
}

Millis WorkRunner::TimeLeft(const SidecarStream& stream) const {
  const auto left =
      std::chrono::duration_cast<Millis>(stream.deadline - ports_.clock());
  return std::max(left, Millis(1));
}

}  // namespace harecrank
