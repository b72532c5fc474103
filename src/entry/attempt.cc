#include "src/entry/attempt.h"

#include <algorithm>
#include <utility>

namespace harecrank {
namespace {

// How often a waiting request looks whether its caller is still there.
constexpr Millis kLook{100};
// How long before the deadline a request that has not started is withdrawn, so
// that the sidecar's word can still come in time.
constexpr Millis kWithdrawBefore{150};
constexpr Millis kWordWait{300};
// A stream that has begun and brings nothing for so long is stuck: far beyond
// the time between two tokens. One-way loss can hold back its credit.
constexpr Millis kMostStall{3000};

AttemptEnd ToEnd(const wire::Refused& refused) {
  AttemptRejected end{refused.code, refused.message, std::nullopt};
  if (refused.retry_after >= Millis(0)) {
    end.retry_after = refused.retry_after;
  }
  return end;
}

}  // namespace

Attempt::Attempt(AttemptPorts ports, std::shared_ptr<Link> link,
                 AttemptTimes times)
    : ports_(std::move(ports)),
      link_(std::move(link)),
      times_(times),
      inbox_(std::make_shared<StreamInbox>()),
      stream_(ports_.links->OpenStream(link_, inbox_)) {}

Attempt::~Attempt() {
  if (!done_) {
    ports_.links->Send(link_, wire::Cancel{stream_});
  }
  ports_.links->CloseStream(link_, stream_);
}

AttemptResult Attempt::Run(wire::Submit submit, const std::string& body,
                           AttemptEvidence* evidence) {
  const auto deadline = link_->Convert(times_.deadline);
  if (!deadline) {
    return AttemptEnd{AttemptRejected{"endpoint_unreachable",
                                      "the link is not ready", Millis(500)}};
  }
  submit.stream = stream_;
  submit.deadline = *deadline;
  submit.window = kWindow;
  submit.body_bytes = body.size();
  link_->AddUnreported(submit.prompt + submit.answer);
  evidence->OnSubmitted();
  if (!SendWhole(std::move(submit), body)) {
    return AttemptEnd{AttemptLost{"the link broke while sending"}};
  }
  acknowledge_by_ = times_.acknowledge_timeout.count() == 0
                        ? times_.deadline
                        : ports_.clock() + times_.acknowledge_timeout;
  return Follow(evidence);
}

bool Attempt::SendWhole(wire::Submit submit, const std::string& body) {
  if (!ports_.links->Send(link_, std::move(submit))) {
    return false;
  }
  for (std::size_t at = 0; at < body.size(); at += wire::kChunkBytes) {
    wire::BodyChunk piece{stream_, body.substr(at, wire::kChunkBytes)};
    if (!ports_.links->Send(link_, std::move(piece))) {
      return false;
    }
  }
  return true;
}

AttemptResult Attempt::Follow(AttemptEvidence* evidence) {
  while (true) {
    const TimePoint now = ports_.clock();
    const auto timed = CheckTime(now, evidence);
    if (timed) {
      return *timed;
    }
    const auto event = inbox_->Take(std::min(now + kLook, times_.deadline));
    if (!event) {
      caller_left_ = !ports_.sink->OnIdle();
      if (caller_left_) {
        return AttemptEnd{CallerDisconnected{}};
      }
      continue;
    }
    const auto result = Handle(*event, evidence);
    if (result) {
      return *result;
    }
  }
}

std::optional<AttemptResult> Attempt::Handle(const StreamEvent& event,
                                             AttemptEvidence* evidence) {
  const auto* message = std::get_if<wire::Message>(&event);
  if (message == nullptr) {
    done_ = true;
    return AttemptEnd{AttemptLost{"the link to the endpoint broke"}};
  }
  if (std::holds_alternative<wire::Accepted>(*message)) {
    acknowledged_ = true;
  } else if (std::holds_alternative<wire::Started>(*message)) {
    started_ = acknowledged_ = true;
    evidence->OnStarted();
  } else if (const auto* output = std::get_if<wire::Output>(message)) {
    started_ = acknowledged_ = true;
    evidence->OnStarted();
    return OnOutput(*output);
  } else if (const auto* refused = std::get_if<wire::Refused>(message)) {
    done_ = true;
    evidence->OnNotStarted();
    return ToEnd(*refused);
  } else if (const auto* failed = std::get_if<wire::Failed>(message)) {
    done_ = true;
    evidence->OnStarted();
    if (failed->ended) {
      evidence->OnRunFailed();
    }
    return AttemptEnd{AttemptFailed{failed->code, failed->message}};
  } else if (const auto* finished = std::get_if<wire::Finished>(message)) {
    done_ = true;
    // An end that comes before its parts is no whole answer.
    if (finished->length > ports_.assembler->NextPosition()) {
      return AttemptEnd{AttemptFailed{"answer_cut", "parts are missing"}};
    }
    return *finished;
  }
  return std::nullopt;
}

std::optional<AttemptResult> Attempt::OnOutput(const wire::Output& output) {
  last_output_ = ports_.clock();
  std::int64_t position = output.position;
  for (const std::string& text : output.tokens) {
    for (const AnswerToken& token :
         ports_.assembler->Accept(AnswerToken{position, text})) {
      Forward(token);
    }
    ++position;
  }
  if (caller_left_) {
    return AttemptEnd{CallerDisconnected{}};
  }
  // Credit follows what the caller has taken, so a slow caller holds back its
  // own stream and no other.
  uncredited_ += static_cast<std::int64_t>(output.tokens.size());
  if (uncredited_ >= kWindow / 2) {
    ports_.links->Send(link_, wire::Credit{stream_, uncredited_});
    uncredited_ = 0;
  }
  return std::nullopt;
}

std::optional<AttemptResult> Attempt::CheckTime(TimePoint now,
                                                AttemptEvidence* evidence) {
  if (now >= times_.deadline) {
    return AttemptEnd{AttemptTimedOut{}};
  }
  if (!started_ && now >= times_.deadline - kWithdrawBefore) {
    return Withdraw(evidence, AttemptEnd{AttemptTimedOut{}});
  }
  if (!acknowledged_ && now >= acknowledge_by_) {
    return Withdraw(evidence,
                    AttemptEnd{AttemptLost{"the sidecar gave no word"}});
  }
  // What has nowhere else to go waits on: its answer may still come.
  if (times_.acknowledge_timeout.count() > 0 && link_->IsSilent()) {
    return Withdraw(evidence,
                    AttemptEnd{AttemptLost{"the link to the endpoint is "
                                           "silent"}});
  }
  if (times_.acknowledge_timeout.count() > 0 && last_output_ &&
      now - *last_output_ > kMostStall) {
    return AttemptEnd{AttemptLost{"the stream is stuck"}};
  }
  return std::nullopt;
}

AttemptResult Attempt::Withdraw(AttemptEvidence* evidence,
                                const AttemptEnd& end) {
  ports_.links->Send(link_, wire::Revoke{stream_});
  const TimePoint until = std::min(ports_.clock() + kWordWait, times_.deadline);
  while (auto event = inbox_->Take(until)) {
    const auto result = Handle(*event, evidence);
    if (!result) {
      // It started after all: its time is up all the same.
      continue;
    }
    if (std::holds_alternative<wire::Finished>(*result)) {
      return *result;
    }
    break;
  }
  return end;
}

void Attempt::Forward(const AnswerToken& token) {
  if (!caller_left_ && !ports_.sink->OnPart(token.text)) {
    caller_left_ = true;
  }
}

}  // namespace harecrank
