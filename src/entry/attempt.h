// Runs one attempt of a request: sends the request to one endpoint over its
// link and receives the answer.

#ifndef HARECRANK_SRC_ENTRY_ATTEMPT_H_
#define HARECRANK_SRC_ENTRY_ATTEMPT_H_

#include <memory>
#include <optional>
#include <variant>

#include "harecrank/core/answer_assembler.h"
#include "harecrank/core/retry_policy.h"
#include "src/entry/answer_sink.h"
#include "src/entry/link_pool.h"

namespace harecrank {

// Dependencies of an Attempt. All pointers must outlive it.
struct AttemptPorts {
  LinkPool* links = nullptr;
  MonotonicClock clock;
  AnswerAssembler* assembler = nullptr;
  AnswerSink* sink = nullptr;
};

// Deadlines and time-outs of an attempt.
struct AttemptTimes {
  TimePoint deadline;
  // How long to wait for the sidecar to acknowledge the request. Zero means to
  // wait until the deadline. Zero is used for a request with a ticket, which
  // cannot be sent to another endpoint.
  Millis acknowledge_timeout{1500};
};

// Result of an attempt: the end message of a complete answer, or the reason why
// the attempt ended without one.
using AttemptResult = std::variant<wire::Finished, AttemptEnd>;

// Sends a request to one endpoint and forwards the answer to an AnswerSink.
// Runs on the calling thread. An object can be used for one attempt only.
class Attempt {
 public:
  Attempt(AttemptPorts ports, std::shared_ptr<Link> link, AttemptTimes times);
  ~Attempt();
  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;

  // Submits the request with `body`, forwards the parts of the answer to the
  // AnswerSink, and returns the result. Sets the fields `stream`, `deadline`,
  // `window` and `body_bytes` of `submit`; the caller sets the others. Records
  // in `evidence` whether the request was submitted and started, which decides
  // whether it may be retried.
  AttemptResult Run(wire::Submit submit, const std::string& body,
                    AttemptEvidence* evidence);

  // Size of the flow-control window: number of tokens that a sidecar may send
  // before this host must grant it more credit.
  static constexpr std::int64_t kWindow = 64;

 private:
  // Sends the request and then its body in chunks. Returns false if the link
  // is not open.
  bool SendRequest(wire::Submit submit, const std::string& body);
  AttemptResult WaitForResult(AttemptEvidence* evidence);
  std::optional<AttemptResult> Handle(const StreamEvent& event,
                                      AttemptEvidence* evidence);
  std::optional<AttemptResult> OnOutput(const wire::Output& output);
  std::optional<AttemptResult> CheckTimeouts(TimePoint now,
                                             AttemptEvidence* evidence);
  // Asks the sidecar to revoke the request, and waits up to kWithdrawTimeout
  // for its reply. Returns the answer if the request completed in the meantime,
  // and `end` otherwise.
  AttemptResult Withdraw(AttemptEvidence* evidence, const AttemptEnd& end);
  void Forward(const AnswerToken& token);

  AttemptPorts ports_;
  std::shared_ptr<Link> link_;
  AttemptTimes times_;
  std::shared_ptr<StreamInbox> inbox_;
  StreamId stream_;
  bool ended_ = false;
  bool acknowledged_ = false;
  bool started_ = false;
  bool caller_disconnected_ = false;
  TimePoint acknowledge_deadline_;
  // Time at which the latest output arrived; empty before the first.
  std::optional<TimePoint> last_output_at_;
  // Number of tokens received for which the sidecar has not been granted new
  // credit yet.
  std::int64_t credit_owed_ = 0;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_ENTRY_ATTEMPT_H_
