// One caller's request, from its arrival to its final answer.

#ifndef HARECRANK_SRC_GATEWAY_EXCHANGE_H_
#define HARECRANK_SRC_GATEWAY_EXCHANGE_H_

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "harecrank/core/event_scanner.h"
#include "harecrank/core/request_fingerprint.h"
#include "src/gateway/attempt.h"
#include "src/gateway/caller_session.h"
#include "src/gateway/gateway_services.h"
#include "src/gateway/memory_hold.h"
#include "src/gateway/timer.h"

namespace harecrank {

// Not thread-safe; runs on its io_context.
class Exchange : public RequestHandle,
                 public AttemptObserver,
                 public GuardedRequest,
                 public std::enable_shared_from_this<Exchange> {
 public:
  // `services` must outlive this.
  Exchange(const GatewayServices* services, CallerRequest request,
           TimePoint arrived, std::shared_ptr<AnswerPort> answer);

  // Admits the request and sends it, or answers it at once.
  void Start();

  void OnCallerLeft() override;
  void OnSent() override;
  void OnAnswerHead(const AnswerHead& head) override;
  void OnAnswerBytes(std::string_view bytes) override;
  void OnAnswerEnd() override;
  void OnFailure(const AttemptFailure& failure) override;
  // Taken when it is first wanted: few requests ever are suspect.
  const RequestFingerprint& Fingerprint() override;
  void OnHeld() override;

 private:
  // What is done with the bytes of the answer under way.
  enum class AnswerUse { kNone, kRelay, kStream, kPassOver };

  // Places.
  void TryNext();
  // Asks the planner; the answer comes to OnPlaceResult.
  void AskForPlace();
  void OnPlaceResult(const AskResult& result);
  // Takes the place that the planner gave, unless this host knows better of its
  // endpoints: then it asks again.
  void UsePlanned(const PlannedPlacement& planned);
  std::optional<Placement> PlacementOf(const PlannedPlacement& planned) const;
  // Returns the record of `id` if new work may go there now, otherwise null.
  const EndpointRecord* Usable(const EndpointId& id) const;
  // Returns whether new work may still go to all that `placement` names.
  bool IsStillUsable(const Placement& placement) const;
  // Tells that no planner gave a place.
  void NotePlacedAlone();
  // Places by what this host knows itself, or waits here.
  void PlaceAlone();
  // Returns false if all engines that could take it are busy.
  bool TryPlace();
  void Wait();
  void NoteWaiting();
  bool IsWaiting() const { return waiter_.has_value() || waits_at_planner_; }
  // Whether another prompt that takes no longer to read waits and can no longer
  // be in time.
  bool WaitsInVain() const;
  void RefuseWaiting();
  Waiter AsWaiter() const;
  void LeaveQueue();
  // Sets memory aside first if the placement needs that.
  void Prepare(const Placement& placement);
  void OnMemory(const Placement& placement, bool held);
  void Send(const Placement& placement);
  std::string HeadFor(const Placement& placement) const;
  MemoryTicket TicketFor(const EndpointId& holder) const;
  void BeginWork(const Placement& placement);
  void EndWork();
  // Ends the place that was asked for, given or not.
  void EndAsk();
  void OnErrorAnswer();
  void OnFirstEvent();
  void NotePause();

  // Whether the endpoint has begun to run it only now, if it has at all.
  bool IsBeginning() const;
  // Finds out whether the endpoint has ended, and goes on from there.
  void JudgeBroken(const AttemptBroken& broken);
  // It ends endpoints, and is sent to no other.
  void RefuseHeld();
  // The answer has ended. It ended whole only if its head said where it ends:
  // an endpoint that crashes ends its connection, too.
  void NoteEnd();

  // What follows an attempt.
  void OnNotRun(const std::string& reason);
  void OnMayHaveRun(const std::string& reason);
  void NoteSentAgain(nlohmann::json fields);
  bool MaySendAgain();
  void AbandonAttempt();

  // Time.
  void ArmTimer();
  void OnTimer();
  std::optional<TimePoint> PatienceEnd() const;
  // Until when a request of its kind waits for engines, if that is limited.
  std::optional<TimePoint> WaitEnd() const;
  // How long the caller's patience with a silent stream may be used.
  Millis CallerPatience() const;
  Millis TimeLeft() const;

  // Answers.
  void JudgeHead(const AnswerHead& head);
  // Marks the helper that a refusal names, if it names one.
  void NoteFault(const AnswerHead& head);
  // With `retry_after` the request has not run; otherwise nothing is promised.
  void Refuse(unsigned status, const std::string& code,
              std::optional<Millis> retry_after);
  void SendOwnAnswer(unsigned status, const std::string& code,
                     std::optional<Millis> retry_after, bool not_run);
  void GiveUp(const std::string& reason);
  void Finish(const char* outcome, unsigned status, const std::string& reason);

  // Logs.
  nlohmann::json LogFields() const;
  void LogPlaced(const Placement& placement) const;

  const GatewayServices* services_;
  CallerRequest request_;
  TimePoint arrived_;
  std::shared_ptr<AnswerPort> answer_;
  Timer timer_;
  Timer memory_timer_;

  std::string id_;
  std::optional<RequestFingerprint> fingerprint_;
  std::unique_ptr<CrashGuard::Watching> watching_;
  std::shared_ptr<const std::string> body_;
  std::shared_ptr<const RoutingTable> table_;
  const RouteRule* route_ = nullptr;
  const ServiceProfile* service_ = nullptr;
  const AccountEntry* account_ = nullptr;
  bool strip_key_ = false;
  TimePoint deadline_{};
  PlacementRequest placement_request_;

  std::shared_ptr<Attempt> attempt_;
  // Where it was sent last.
  EndpointRecord endpoint_;
  std::vector<EndpointId> helpers_;
  // Of the endpoint first, then of the helpers.
  std::vector<WorkId> work_;
  std::shared_ptr<MemoryHold> hold_;
  int placements_ = 0;
  FractionalMillis predicted_{0};
  TimePoint sent_at_{};
  TimePoint last_bytes_at_{};
  TimePoint first_event_at_{};
  // The first event of the last attempt.
  TimePoint began_at_{};
  TimePoint last_event_at_{};
  // Between two events of the stream, also across a resumption.
  TimePoint::duration longest_pause_{0};
  // The place that was asked for, while it is waited for or used.
  std::optional<AskId> ask_;
  bool waits_at_planner_ = false;
  // The endpoint of the place failed.
  bool attempt_failed_ = false;
  std::optional<WaiterId> waiter_;
  TimePoint waits_since_{};
  int sendings_ = 0;
  int connect_failures_ = 0;
  int unusable_places_ = 0;
  bool may_have_run_ = false;
  bool attempt_sent_ = false;
  // It was held, and is let through this once.
  bool is_trial_ = false;
  bool budget_refused_ = false;

  AnswerUse use_ = AnswerUse::kNone;
  bool has_framed_end_ = false;
  std::optional<AnswerHead> head_;
  std::string answer_body_;
  EventScanner scanner_;
  bool stream_begun_ = false;
  bool first_event_seen_ = false;
  bool finished_ = false;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_EXCHANGE_H_
