// One attempt of a request at one endpoint.

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

// What an attempt works with. All must outlive it.
struct AttemptPorts {
  LinkPool* links = nullptr;
  MonotonicClock clock;
  AnswerAssembler* assembler = nullptr;
  AnswerSink* sink = nullptr;
};

// How an attempt is timed.
struct AttemptTimes {
  TimePoint deadline;
  // How long to wait for the sidecar's word that it has the request. Zero to
  // wait to the deadline, for a request that has nowhere else to go.
  Millis acknowledge_timeout{1500};
};

using AttemptResult = std::variant<wire::Finished, AttemptEnd>;

// Runs one attempt on the caller's thread. Used once.
class Attempt {
 public:
  Attempt(AttemptPorts ports, std::shared_ptr<Link> link, AttemptTimes times);
  ~Attempt();
  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;

  // Submits the request with `body`, gives the parts of the answer to the sink,
  // and returns how it ended. `submit` needs no stream, deadline or window.
  AttemptResult Run(wire::Submit submit, const std::string& body,
                    AttemptEvidence* evidence);

  // How many tokens a sidecar may send before it hears of more credit.
  static constexpr std::int64_t kWindow = 64;

 private:
  bool SendWhole(wire::Submit submit, const std::string& body);
  AttemptResult Follow(AttemptEvidence* evidence);
  std::optional<AttemptResult> Handle(const StreamEvent& event,
                                      AttemptEvidence* evidence);
  std::optional<AttemptResult> OnOutput(const wire::Output& output);
  std::optional<AttemptResult> CheckTime(TimePoint now,
                                         AttemptEvidence* evidence);
  AttemptResult Withdraw(AttemptEvidence* evidence, const AttemptEnd& end);
  void Forward(const AnswerToken& token);

  AttemptPorts ports_;
  std::shared_ptr<Link> link_;
  AttemptTimes times_;
  std::shared_ptr<StreamInbox> inbox_;
  StreamId stream_;
  bool done_ = false;
  bool acknowledged_ = false;
  bool started_ = false;
  bool caller_left_ = false;
  TimePoint acknowledge_by_;
  // When the latest part came; none before the first.
  std::optional<TimePoint> last_output_;
  std::int64_t uncredited_ = 0;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_ENTRY_ATTEMPT_H_
