#include "src/entry/attempt.h"

#include <algorithm>
#include <utility>

namespace harecrank {
namespace {

// Interval at which a request that waits for its answer checks whether its
// caller is still connected.
constexpr Millis kCallerCheckInterval{100};
// How long before the deadline a request that has not started is withdrawn.
// This leaves time for the sidecar's reply to arrive before the deadline.
constexpr Millis kWithdrawMargin{150};
constexpr Millis kWithdrawTimeout{300};
// Maximum time between two outputs of a stream. A stream without output for
// longer is considered stuck, and its attempt ends. A stream can get stuck if
// packet loss in one direction holds back its credit messages. The limit is far
// above the normal time between two tokens.
constexpr Millis kMaxStall{3000};

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
  if (!ended_) {
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
  if (!SendRequest(std::move(submit), body)) {
    return AttemptEnd{AttemptLost{"the link broke while sending"}};
  }
  acknowledge_deadline_ = times_.acknowledge_timeout.count() == 0
                              ? times_.deadline
                              : ports_.clock() + times_.acknowledge_timeout;
  return WaitForResult(evidence);
}

bool Attempt::SendRequest(wire::Submit submit, const std::string& body) {
  if (!ports_.links->Send(link_, std::move(submit))) {
    return false;
  }
  for (std::size_t at = 0; at < body.size(); at += wire::kChunkBytes) {
    wire::BodyChunk chunk{stream_, body.substr(at, wire::kChunkBytes)};
    if (!ports_.links->Send(link_, std::move(chunk))) {
      return false;
    }
  }
  return true;
}

AttemptResult Attempt::WaitForResult(AttemptEvidence* evidence) {
  while (true) {
    const TimePoint now = ports_.clock();
    const auto timeout_result = CheckTimeouts(now, evidence);
    if (timeout_result) {
      return *timeout_result;
    }
    const auto event =
        inbox_->Take(std::min(now + kCallerCheckInterval, times_.deadline));
    if (!event) {
      caller_disconnected_ = !ports_.sink->OnIdle();
      if (caller_disconnected_) {
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
    ended_ = true;
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
    ended_ = true;
    evidence->OnNotStarted();
    return ToEnd(*refused);
  } else if (const auto* failed = std::get_if<wire::Failed>(message)) {
    ended_ = true;
    evidence->OnStarted();
    if (failed->ended) {
      evidence->OnRunFailed();
    }
    return AttemptEnd{AttemptFailed{failed->code, failed->message}};
  } else if (const auto* finished = std::get_if<wire::Finished>(message)) {
    ended_ = true;
    // `length` is the number of tokens in the whole answer. If fewer have
    // arrived before the end, the answer is incomplete.
    if (finished->length > ports_.assembler->NextPosition()) {
      return AttemptEnd{AttemptFailed{"answer_cut", "parts are missing"}};
    }
    return *finished;
  }
  return std::nullopt;
}

std::optional<AttemptResult> Attempt::OnOutput(const wire::Output& output) {
  last_output_at_ = ports_.clock();
  std::int64_t position = output.position;
  for (const std::string& text : output.tokens) {
    for (const AnswerToken& token :
         ports_.assembler->Accept(AnswerToken{position, text})) {
      Forward(token);
    }
    ++position;
  }
  if (caller_disconnected_) {
    return AttemptEnd{CallerDisconnected{}};
  }
  // The sidecar gets new credit only for tokens that have been written to the
  // caller. A slow caller therefore delays its own stream and no others.
  credit_owed_ += static_cast<std::int64_t>(output.tokens.size());
  if (credit_owed_ >= kWindow / 2) {
    ports_.links->Send(link_, wire::Credit{stream_, credit_owed_});
    credit_owed_ = 0;
  }
  return std::nullopt;
}

std::optional<AttemptResult> Attempt::CheckTimeouts(TimePoint now,
                                                    AttemptEvidence* evidence) {
  if (now >= times_.deadline) {
    return AttemptEnd{AttemptTimedOut{}};
  }
  if (!started_ && now >= times_.deadline - kWithdrawMargin) {
    return Withdraw(evidence, AttemptEnd{AttemptTimedOut{}});
  }
  if (!acknowledged_ && now >= acknowledge_deadline_) {
    return Withdraw(evidence,
                    AttemptEnd{AttemptLost{"the sidecar gave no word"}});
  }
  // A request without an acknowledge time-out cannot run at another endpoint.
  // It keeps waiting on a silent link, because its answer may still arrive.
  if (times_.acknowledge_timeout.count() > 0 && link_->IsSilent()) {
    return Withdraw(evidence,
                    AttemptEnd{AttemptLost{"the link to the endpoint is "
                                           "silent"}});
  }
  if (times_.acknowledge_timeout.count() > 0 && last_output_at_ &&
      now - *last_output_at_ > kMaxStall) {
    return AttemptEnd{AttemptLost{"the stream is stuck"}};
  }
  return std::nullopt;
}

AttemptResult Attempt::Withdraw(AttemptEvidence* evidence,
                                const AttemptEnd& end) {
  ports_.links->Send(link_, wire::Revoke{stream_});
  const TimePoint until =
      std::min(ports_.clock() + kWithdrawTimeout, times_.deadline);
  while (auto event = inbox_->Take(until)) {
    const auto result = Handle(*event, evidence);
    if (!result) {
      // The event does not end the request; for example, the request has just
      // started. The attempt ends nevertheless, unless the answer completes
      // before `until`.
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
  if (!caller_disconnected_ && !ports_.sink->OnPart(token.text)) {
    caller_disconnected_ = true;
  }
}

}  // namespace harecrank
